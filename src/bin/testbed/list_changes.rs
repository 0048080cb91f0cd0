//! Encodes an endpoint list and its changes as discovery sends them, for the sweep over lists that change.

use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate, EndpointDirectory, EndpointState};
use delivery_gateway::{Endpoint, EndpointUpdate, Settings};

use crate::bounds::NotRun;
use crate::figures::{Figure, Figures};
use crate::processor_time::processor_time;
use crate::simulated_gateway::directory_for;

/// The maximum number of entries that change, one after another.
const CHANGING_ENTRIES: usize = 256;

/// The changes of an endpoint list, and the directory that applies them.
pub struct ListChanges {
    directory: EndpointDirectory,
    /// Each change, encoded as a line of the watch.
    lines: Vec<Vec<u8>>,
    /// The index of the next line to be applied.
    next: usize,
}

/// An endpoint list that has been read, and the cost of reading it.
pub struct ReadList {
    /// The changes to apply after the complete list.
    pub changes: ListChanges,
    /// The complete list, for the scheduler.
    pub snapshot: EndpointUpdate,
    /// [`Figure::ListBytes`] and [`Figure::ListNs`].
    pub figures: Figures,
}

impl ListChanges {
    /// Encodes a list and its changes, and reads the complete list as a gateway does when it starts.
    ///
    /// # Errors
    /// Returns an error if the list cannot be encoded or decoded.
    pub fn read(endpoints: &[Endpoint], settings: &Settings) -> Result<ReadList, NotRun> {
        let entries = endpoints.iter().map(|endpoint| entry(endpoint, EndpointState::Serving)).collect();
        let list = encode(&DiscoveryUpdate { revision: 1, is_snapshot: true, endpoints: entries })?;
        let lines = change_lines(endpoints)?;
        let mut directory = directory_for(settings);
        let begun_at = processor_time();
        let update = decode(&list)?;
        let snapshot = directory.apply(&update);
        let took = processor_time() - begun_at;
        let figures =
            Figures::from([(Figure::ListBytes, list.len() as f64), (Figure::ListNs, took.as_nanos() as f64)]);
        Ok(ReadList { changes: ListChanges { directory, lines, next: 0 }, snapshot, figures })
    }

    /// Decodes and applies the next change, as the watch and the real event loop do. The changes repeat in a cycle.
    ///
    /// # Errors
    /// Returns an error if the change cannot be decoded.
    pub fn apply_next(&mut self) -> Result<EndpointUpdate, NotRun> {
        let update = self.directory.apply(&decode(&self.lines[self.next])?);
        self.next = (self.next + 1) % self.lines.len();
        Ok(update)
    }

    /// Removes endpoints that are no longer listed from the directory, as the real event loop does after each update.
    pub fn remove_unlisted_endpoints(&mut self) {
        self.directory.remove_unlisted_endpoints(|_| false);
    }

    /// Returns the memory of the encoded changes, in bytes.
    pub fn bytes(&self) -> u64 {
        self.lines.iter().map(|line| (line.capacity() + size_of::<Vec<u8>>()) as u64).sum()
    }
}

/// Encodes changes in which some entries of the list begin to drain one after another, and then serve again in the same
/// order.
fn change_lines(endpoints: &[Endpoint]) -> Result<Vec<Vec<u8>>, NotRun> {
    let mut lines = Vec::new();
    for state in [EndpointState::Draining, EndpointState::Serving] {
        for endpoint in endpoints.iter().step_by(endpoints.len().div_ceil(CHANGING_ENTRIES)) {
            let endpoints = vec![entry(endpoint, state.clone())];
            lines.push(encode(&DiscoveryUpdate { revision: 2, is_snapshot: false, endpoints })?);
        }
    }
    Ok(lines)
}

fn entry(endpoint: &Endpoint, state: EndpointState) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        uid: format!("s-{:08x}", endpoint.id.0),
        address: "127.0.0.1:9".into(),
        zone: "kingston".into(),
        kind: "banks".into(),
        destination: endpoint.destination.0,
        state,
        capacity_hint: endpoint.capacity_hint,
    }
}

fn encode(update: &DiscoveryUpdate) -> Result<Vec<u8>, NotRun> {
    serde_json::to_vec(update).map_err(|error| NotRun::failed("cannot encode the endpoint list", error))
}

fn decode(line: &[u8]) -> Result<DiscoveryUpdate, NotRun> {
    serde_json::from_slice(line).map_err(|error| NotRun::failed("cannot decode the endpoint list", error))
}
