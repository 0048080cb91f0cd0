//! An endpoint list and its changes in discovery's own form, for the sweep over lists that change.

use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate, EndpointDirectory, EndpointState};
use delivery_gateway::{Endpoint, EndpointUpdate, Settings};

use crate::bounds::NotRun;
use crate::figures::{Figure, Figures};
use crate::processor_time::processor_time;
use crate::simulated_gateway::directory_for;

/// Entries that change in turn.
const CHANGING_ENTRIES: usize = 256;

/// The changes of an endpoint list, and the directory that applies them.
pub struct ListChanges {
    directory: EndpointDirectory,
    /// Each as a line of the watch.
    lines: Vec<Vec<u8>>,
    next: usize,
}

/// A list that has been read, and what that took.
pub struct ReadList {
    pub changes: ListChanges,
    /// The complete list, for the scheduler.
    pub snapshot: EndpointUpdate,
    pub figures: Figures,
}

impl ListChanges {
    /// Encodes a list and its changes, and reads the complete list as a gateway does at its start.
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

    /// Applies the next change, as the watch and the real event loop do.
    pub fn apply_next(&mut self) -> Result<EndpointUpdate, NotRun> {
        let update = self.directory.apply(&decode(&self.lines[self.next])?);
        self.next = (self.next + 1) % self.lines.len();
        Ok(update)
    }

    /// Forgets what has been removed, as the real event loop does after it has handled an update.
    pub fn remove_unlisted_endpoints(&mut self) {
        self.directory.remove_unlisted_endpoints(|_| false);
    }

    /// Bytes that the encoded changes take.
    pub fn bytes(&self) -> u64 {
        self.lines.iter().map(|line| (line.capacity() + size_of::<Vec<u8>>()) as u64).sum()
    }
}

/// Some entries of the list begin to drain one after the other, and then serve again.
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
    serde_json::to_vec(update).map_err(|error| NotRun::failed("the list", error))
}

fn decode(line: &[u8]) -> Result<DiscoveryUpdate, NotRun> {
    serde_json::from_slice(line).map_err(|error| NotRun::failed("the list", error))
}
