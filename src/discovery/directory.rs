//! The directory of endpoints: the number that stands for each name in the endpoint list, and where each endpoint is.
//!
//! It owns the mapping from the list's names to the scheduler's numbers, which stay the same for as long as a process
//! or its successor needs them. It never fails: an entry that cannot be used becomes a draining endpoint, and a name
//! that the settings do not have gets a number after theirs.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tracing::warn;

use super::update::{DiscoveredEndpoint, DiscoveryUpdate, EndpointState};
use crate::{
    Availability, DestinationId, DestinationKind, DestinationKindId, Endpoint, EndpointId, EndpointUpdate,
    ParsedSettings, ZoneId,
};

/// The numbers that stand for names, for the next process: the scheduler's state refers to them. The order of the
/// fields is the format of the hand-over.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointIdTable {
    zones: Vec<String>,
    destination_kinds: Vec<String>,
    last_id: u32,
    ids: Vec<(String, EndpointId)>,
}

/// Numbers for the names in the endpoint list, and where each endpoint is.
pub struct EndpointDirectory {
    /// Names of zones, by [`ZoneId`].
    zones: Vec<String>,
    /// Names of kinds of destination, by [`DestinationKindId`].
    destination_kinds: Vec<String>,
    /// What the settings say of the kinds; later ones have none.
    kind_settings: Vec<DestinationKind>,
    last_id: u32,
    ids: HashMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, Entry>,
    /// Endpoints that operators have disabled. They keep their numbers, listed or not.
    disabled: BTreeSet<EndpointId>,
    /// Endpoints that are not listed and not forgotten yet, with their names.
    unlisted: BTreeMap<EndpointId, String>,
}

struct Entry {
    uid: String,
    zone: ZoneId,
    destination: DestinationId,
    /// None where the list's text is no address.
    address: Option<SocketAddr>,
    availability: Availability,
    max_batch_size: usize,
    has_per_endpoint_limits: bool,
}

impl EndpointDirectory {
    /// A directory that knows the names of the settings, and no endpoint.
    pub fn new(parsed: &ParsedSettings) -> Self {
        EndpointDirectory {
            zones: parsed.zone_names.clone(),
            destination_kinds: parsed.kind_names.clone(),
            kind_settings: parsed.settings.destination_kinds.clone(),
            last_id: 0,
            ids: HashMap::new(),
            entries: BTreeMap::new(),
            disabled: BTreeSet::new(),
            unlisted: BTreeMap::new(),
        }
    }

    /// What the next process needs to go on with the same numbers.
    pub fn id_table(&self) -> EndpointIdTable {
        EndpointIdTable {
            zones: self.zones.clone(),
            destination_kinds: self.destination_kinds.clone(),
            last_id: self.last_id,
            ids: self.ids.iter().map(|(uid, id)| (uid.clone(), *id)).collect(),
        }
    }

    /// Goes on with the numbers of another process. A snapshot of the endpoint list has to follow.
    pub fn adopt_ids(&mut self, table: EndpointIdTable) {
        self.zones = table.zones;
        self.destination_kinds = table.destination_kinds;
        self.last_id = table.last_id;
        self.ids = table.ids.into_iter().collect();
        // The snapshot takes the listed ones out of this.
        self.unlisted = self.ids.iter().map(|(uid, id)| (*id, uid.clone())).collect();
    }

    /// The address of an endpoint; none if it is unknown or its address is unreadable.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.get(&id).and_then(|entry| entry.address)
    }

    /// The zone of an endpoint; the first one if it is unknown.
    pub fn zone(&self, id: EndpointId) -> ZoneId {
        self.entries.get(&id).map_or(ZoneId(0), |entry| entry.zone)
    }

    /// Messages that one call to an endpoint may carry; one if it is unknown.
    pub fn max_batch_size(&self, id: EndpointId) -> usize {
        self.entries.get(&id).map_or(1, |entry| entry.max_batch_size)
    }

    /// Whether an endpoint's rate limit and circuit breaker are its own and not its whole destination's.
    pub fn has_own_limits(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.has_per_endpoint_limits)
    }

    /// The destination of an endpoint.
    pub fn destination(&self, id: EndpointId) -> Option<DestinationId> {
        self.entries.get(&id).map(|entry| entry.destination)
    }

    /// The name of an endpoint.
    pub fn uid(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.uid.as_str())
    }

    /// The number of a name, if it has one.
    pub fn endpoint_id(&self, uid: &str) -> Option<EndpointId> {
        self.ids.get(uid).copied()
    }

    /// Whether an endpoint may be sent new calls.
    pub fn accepts_calls(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.availability == Availability::Ready)
            && !self.disabled.contains(&id)
    }

    /// Disables or enables an endpoint for operators, and gives its number. It need not be listed.
    pub fn set_disabled(&mut self, uid: &str, is_disabled: bool) -> EndpointId {
        let id = self.id_of(uid);
        if is_disabled {
            self.disabled.insert(id);
        } else {
            self.disabled.remove(&id);
        }
        if !self.entries.contains_key(&id) {
            self.unlisted.insert(id, uid.to_owned());
        }
        id
    }

    /// Whether an endpoint has been removed from the list and is not forgotten yet.
    pub fn is_removed(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.availability == Availability::Removed)
    }

    /// Whether there are endpoints that are not listed and not forgotten yet.
    pub fn has_unlisted_endpoints(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Forgets the endpoints that are not listed, except those that are still needed. Disabled ones keep their numbers.
    /// `is_needed` is asked of no listed endpoint.
    pub fn remove_unlisted_endpoints(&mut self, is_needed: impl Fn(EndpointId) -> bool) {
        let EndpointDirectory { unlisted, entries, ids, disabled, .. } = self;
        unlisted.retain(|id, uid| {
            if is_needed(*id) {
                return true;
            }
            entries.remove(id);
            let keeps_number = disabled.contains(id);
            if !keeps_number {
                ids.remove(uid);
            }
            keeps_number
        });
    }

    /// Applies an update of the endpoint list, and translates it for the scheduler.
    pub fn apply(&mut self, update: &DiscoveryUpdate) -> EndpointUpdate {
        if update.is_snapshot {
            self.apply_snapshot(&update.endpoints)
        } else {
            EndpointUpdate::Delta(update.endpoints.iter().map(|endpoint| self.insert(endpoint)).collect())
        }
    }

    /// Applies a complete endpoint list, and translates it for the scheduler.
    pub fn apply_snapshot<'a>(
        &mut self,
        endpoints: impl IntoIterator<Item = &'a DiscoveredEndpoint>,
    ) -> EndpointUpdate {
        for (id, entry) in &mut self.entries {
            if entry.availability != Availability::Removed {
                entry.availability = Availability::Removed;
                self.unlisted.insert(*id, entry.uid.clone());
            }
        }
        EndpointUpdate::Snapshot(endpoints.into_iter().map(|endpoint| self.insert(endpoint)).collect())
    }

    fn id_of(&mut self, uid: &str) -> EndpointId {
        *self.ids.entry(uid.to_owned()).or_insert_with(|| {
            self.last_id += 1;
            EndpointId(self.last_id)
        })
    }

    /// Puts an endpoint in the place of what was known of it.
    fn insert(&mut self, discovered: &DiscoveredEndpoint) -> Endpoint {
        let id = self.id_of(&discovered.uid);
        let address = discovered.address.parse().ok();
        if address.is_none() {
            warn!(
                uid = discovered.uid,
                address = discovered.address,
                "an endpoint's address is unreadable: it counts as draining"
            );
        }
        let availability = match discovered.state {
            EndpointState::Serving if address.is_some() => Availability::Ready,
            EndpointState::Deleted => Availability::Removed,
            EndpointState::Serving | EndpointState::Draining | EndpointState::Other(_) => {
                Availability::Draining
            }
        };
        match availability {
            Availability::Removed => drop(self.unlisted.insert(id, discovered.uid.clone())),
            Availability::Ready | Availability::Draining => drop(self.unlisted.remove(&id)),
        }
        let zone = ZoneId(index_of_name(&mut self.zones, &discovered.zone));
        let kind = DestinationKindId(index_of_name(&mut self.destination_kinds, &discovered.kind).into());
        let destination = DestinationId(discovered.destination);
        let kind_settings = self.kind_settings.get(usize::from(kind.0));
        let entry = Entry {
            uid: discovered.uid.clone(),
            zone,
            destination,
            address,
            availability,
            max_batch_size: kind_settings.map_or(1, |kind| kind.max_batch_size.max(1)),
            has_per_endpoint_limits: kind_settings.is_some_and(|kind| kind.has_per_endpoint_limits),
        };
        self.entries.insert(id, entry);
        Endpoint { id, zone, kind, destination, availability, capacity_hint: discovered.capacity_hint }
    }
}

/// The index of a name. Names that the settings do not have come after theirs; beyond 255 they share the last index.
fn index_of_name(names: &mut Vec<String>, name: &str) -> u8 {
    let index = names.iter().position(|known| known == name).unwrap_or_else(|| {
        if names.len() < usize::from(u8::MAX) {
            warn!(name, "the endpoint list has a name that the settings do not have");
            names.push(name.to_owned());
            return names.len() - 1;
        }
        names.len()
    });
    u8::try_from(index).unwrap_or(u8::MAX)
}
