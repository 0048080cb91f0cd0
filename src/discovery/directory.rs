//! The reader of the list: numbers for the names that it uses, and where each endpoint is found.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tracing::warn;

use crate::{
    Availability, DestinationId, DestinationKindId, Endpoint, EndpointId, EndpointUpdate, ParsedSettings,
    ZoneId,
};

/// An entry of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveredEndpoint {
    /// The endpoint's name. Another one in its place has another.
    pub uid: String,
    /// Its address, as `IP:port`.
    #[serde(rename = "endpoint")]
    pub address: String,
    /// The name of its zone.
    #[serde(rename = "az")]
    pub zone: String,
    /// The name of its kind.
    #[serde(rename = "model")]
    pub kind: String,
    /// The number of its destination.
    #[serde(rename = "pod_group")]
    pub destination: u32,
    /// `SERVING`, `DRAINING` or `DELETED`; what else it may be counts as draining.
    pub state: String,
    /// See [`WeightSource`](crate::WeightSource).
    pub capacity_hint: f64,
}

impl DiscoveredEndpoint {
    /// Whether the list holds the endpoint no more.
    pub fn is_removed(&self) -> bool {
        self.state == "DELETED"
    }
}

/// The whole list, or what changed in it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryUpdate {
    /// The version of the list that this leads to.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The whole list: what it does not name is gone.
    #[serde(rename = "all")]
    pub is_snapshot: bool,
    /// The entries, or those that have changed.
    #[serde(rename = "targets")]
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// The numbers that stand for names, for the next process: the module's memory is in terms of them.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointIdTable {
    zones: Vec<String>,
    destination_kinds: Vec<String>,
    last: u32,
    numbers: Vec<(String, EndpointId)>,
}

/// Numbers for the names that the list uses, and where each endpoint is found.
pub struct EndpointDirectory {
    zones: Vec<String>,
    destination_kinds: Vec<String>,
    /// Messages in one call at most, by kind.
    batches: Vec<usize>,
    /// Whether a destination's endpoints have each their own limits and waits, by kind.
    apart: Vec<bool>,
    last: u32,
    numbers: HashMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, Entry>,
    /// Endpoints that operators leave out: they keep their numbers, listed or not.
    detached: BTreeSet<EndpointId>,
    /// Endpoints that are not listed and not forgotten, with their names.
    unlisted: BTreeMap<EndpointId, String>,
}

struct Entry {
    uid: String,
    zone: ZoneId,
    destination: DestinationId,
    address: Option<SocketAddr>,
    mode: Availability,
    batch: usize,
    is_apart: bool,
}

impl EndpointDirectory {
    /// Knows the names of the settings, and no endpoint.
    pub fn new(parsed: &ParsedSettings) -> Self {
        EndpointDirectory {
            zones: parsed.zone_names.clone(),
            destination_kinds: parsed.kind_names.clone(),
            apart: parsed.settings.destination_kinds.iter().map(|kind| kind.per_endpoint_limits).collect(),
            batches: parsed.settings.destination_kinds.iter().map(|kind| kind.batch.max(1)).collect(),
            last: 0,
            numbers: HashMap::new(),
            entries: BTreeMap::new(),
            detached: BTreeSet::new(),
            unlisted: BTreeMap::new(),
        }
    }

    /// What the next process needs to go on with the same numbers.
    pub fn id_table(&self) -> EndpointIdTable {
        EndpointIdTable {
            zones: self.zones.clone(),
            destination_kinds: self.destination_kinds.clone(),
            last: self.last,
            numbers: self.numbers.iter().map(|(uid, id)| (uid.clone(), *id)).collect(),
        }
    }

    /// Goes on with the numbers of another process.
    pub fn adopt_ids(&mut self, numbers: EndpointIdTable) {
        (self.zones, self.destination_kinds, self.last) =
            (numbers.zones, numbers.destination_kinds, numbers.last);
        self.numbers = numbers.numbers.into_iter().collect();
        // Those that are listed leave this with the list, which comes next.
        self.unlisted = self.numbers.iter().map(|(uid, id)| (*id, uid.clone())).collect();
    }

    /// Where an endpoint is called; none if it is not known, or its address cannot be read.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.get(&id).and_then(|entry| entry.address)
    }

    /// Where it stands.
    pub fn zone(&self, id: EndpointId) -> ZoneId {
        self.entries.get(&id).map_or(ZoneId(0), |entry| entry.zone)
    }

    /// Messages that one call to an endpoint may carry.
    pub fn max_batch(&self, id: EndpointId) -> usize {
        self.entries.get(&id).map_or(1, |entry| entry.batch)
    }

    /// Whether its limits and waits are its own, and not its whole destination's.
    pub fn has_own_limits(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.is_apart)
    }

    /// The destination that it belongs to.
    pub fn destination(&self, id: EndpointId) -> Option<DestinationId> {
        self.entries.get(&id).map(|entry| entry.destination)
    }

    /// The name of a listed endpoint.
    pub fn uid(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.uid.as_str())
    }

    /// The number of a name, if it has one.
    pub fn endpoint_id(&self, uid: &str) -> Option<EndpointId> {
        self.numbers.get(uid).copied()
    }

    /// Whether an endpoint may be given new work.
    pub fn is_open(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Availability::Ready)
            && !self.detached.contains(&id)
    }

    /// Leaves an endpoint out, or uses it again, and gives its number. It need not be listed (any more).
    pub fn set_disabled(&mut self, uid: &str, out: bool) -> EndpointId {
        let id = self.number_of(uid);
        if out {
            self.detached.insert(id);
        } else {
            self.detached.remove(&id);
        }
        if !self.entries.contains_key(&id) {
            self.unlisted.insert(id, uid.to_owned());
        }
        id
    }

    /// Whether an endpoint is not listed any more, and not forgotten yet.
    pub fn is_removed(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.mode == Availability::Removed)
    }

    /// Whether there are endpoints that are not listed and not forgotten.
    pub fn has_removed(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Forgets the endpoints that are not listed any more, but those that are still needed. What operators leave out
    /// keeps its number. It looks at none that is listed.
    pub fn forget_removed(&mut self, needed: impl Fn(EndpointId) -> bool) {
        let EndpointDirectory { unlisted, entries, numbers, detached, .. } = self;
        unlisted.retain(|id, uid| {
            if needed(*id) {
                return true;
            }
            entries.remove(id);
            let keeps = detached.contains(id);
            if !keeps {
                numbers.remove(uid);
            }
            keeps
        });
    }

    /// Takes news of the list in and words them for the module.
    pub fn apply(&mut self, update: &DiscoveryUpdate) -> EndpointUpdate {
        if update.is_snapshot {
            self.apply_snapshot(&update.endpoints)
        } else {
            EndpointUpdate::Delta(update.endpoints.iter().map(|target| self.entry(target)).collect())
        }
    }

    /// Takes a whole list in, and words it for the module.
    pub fn apply_snapshot<'a>(
        &mut self,
        targets: impl IntoIterator<Item = &'a DiscoveredEndpoint>,
    ) -> EndpointUpdate {
        // What a whole list does not name is gone.
        for (id, entry) in &mut self.entries {
            if entry.mode != Availability::Removed {
                entry.mode = Availability::Removed;
                self.unlisted.insert(*id, entry.uid.clone());
            }
        }
        EndpointUpdate::Snapshot(targets.into_iter().map(|target| self.entry(target)).collect())
    }

    fn number_of(&mut self, uid: &str) -> EndpointId {
        *self.numbers.entry(uid.to_owned()).or_insert_with(|| {
            self.last += 1;
            EndpointId(self.last)
        })
    }

    fn entry(&mut self, target: &DiscoveredEndpoint) -> Endpoint {
        let id = self.number_of(&target.uid);
        let address = target.address.parse().ok();
        if address.is_none() {
            warn!(uid = target.uid, endpoint = target.address, "an endpoint's address cannot be read");
        }
        let mode = match target.state.as_str() {
            "SERVING" if address.is_some() => Availability::Ready,
            "DELETED" => Availability::Removed,
            _ => Availability::Draining,
        };
        let zone = ZoneId(place(&mut self.zones, &target.zone));
        let kind = DestinationKindId(place(&mut self.destination_kinds, &target.kind).into());
        let (uid, destination) = (target.uid.clone(), DestinationId(target.destination));
        let batch = self.batches.get(usize::from(kind.0)).copied().unwrap_or(1);
        let is_apart = self.apart.get(usize::from(kind.0)).copied().unwrap_or_default();
        match mode {
            Availability::Removed => drop(self.unlisted.insert(id, uid.clone())),
            Availability::Ready | Availability::Draining => drop(self.unlisted.remove(&id)),
        }
        self.entries.insert(id, Entry { uid, zone, destination, address, mode, batch, is_apart });
        Endpoint { id, zone, kind, destination, mode, weight: target.capacity_hint }
    }
}

/// The place of a name in the settings; names that these do not hold come after them, and share the last place
/// when there are too many.
fn place(names: &mut Vec<String>, name: &str) -> u8 {
    let at = names.iter().position(|known| known == name).unwrap_or_else(|| {
        if names.len() < usize::from(u8::MAX) {
            warn!(name, "the list uses a name that the settings do not hold");
            names.push(name.to_owned());
            return names.len() - 1;
        }
        names.len()
    });
    u8::try_from(at).unwrap_or(u8::MAX)
}
