//! The directory of endpoints: maps each name in the endpoint list to a number, and each endpoint to its address.
//!
//! It owns the mapping from the list's names to the scheduler's numbers, which stay the same for as long as a process
//! or its successor needs them. It never fails: an entry with an invalid address becomes a draining endpoint, and a
//! name that is not in the settings gets a number after theirs.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use tracing::warn;

use super::update::{DiscoveredEndpoint, DiscoveryUpdate, EndpointState};
use crate::{
    Availability, DestinationId, DestinationKind, DestinationKindId, Endpoint, EndpointId, EndpointUpdate,
    ParsedSettings, ZoneId,
};

/// The numbers of all names, for the successor, since the scheduler's state refers to them. The order of the fields is
/// the format of the handover.
#[derive(Debug, Serialize, Deserialize)]
pub struct EndpointIdTable {
    zones: Vec<String>,
    destination_kinds: Vec<String>,
    last_id: u32,
    ids: Vec<(String, EndpointId)>,
}

/// The numbers of the names in the endpoint list, and the address of each endpoint.
pub struct EndpointDirectory {
    /// Names of zones, by [`ZoneId`].
    zones: Vec<String>,
    /// Names of kinds of destination, by [`DestinationKindId`].
    destination_kinds: Vec<String>,
    /// The settings of the kinds of destination. Kinds that only the endpoint list has are not in it.
    kind_settings: Vec<DestinationKind>,
    /// The last endpoint number that was assigned; 0 before the first.
    last_id: u32,
    ids: HashMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, Entry>,
    /// Endpoints that operators have disabled. They keep their numbers, whether they are listed or not.
    disabled: BTreeSet<EndpointId>,
    /// The names of endpoints that are not listed but still have a number.
    unlisted: BTreeMap<EndpointId, String>,
}

struct Entry {
    uid: String,
    zone: ZoneId,
    destination: DestinationId,
    /// None if the address in the list is not a valid `IP:port`.
    address: Option<SocketAddr>,
    availability: Availability,
    max_batch_size: usize,
    has_per_endpoint_limits: bool,
}

impl EndpointDirectory {
    /// Creates a directory that has the names in the settings, and no endpoints.
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

    /// Returns the numbers that the successor has to use as well.
    pub fn id_table(&self) -> EndpointIdTable {
        EndpointIdTable {
            zones: self.zones.clone(),
            destination_kinds: self.destination_kinds.clone(),
            last_id: self.last_id,
            ids: self.ids.iter().map(|(uid, id)| (uid.clone(), *id)).collect(),
        }
    }

    /// Adopts the numbers of the predecessor. The caller has to apply a snapshot of the endpoint list next.
    pub fn adopt_ids(&mut self, table: EndpointIdTable) {
        self.zones = table.zones;
        self.destination_kinds = table.destination_kinds;
        self.last_id = table.last_id;
        self.ids = table.ids.into_iter().collect();
        // The snapshot removes the listed endpoints from this map.
        self.unlisted = self.ids.iter().map(|(uid, id)| (*id, uid.clone())).collect();
    }

    /// Returns the address of an endpoint; None if the endpoint is unknown or its address is invalid.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.entries.get(&id).and_then(|entry| entry.address)
    }

    /// Returns the zone of an endpoint; the first zone if the endpoint is unknown.
    pub fn zone(&self, id: EndpointId) -> ZoneId {
        self.entries.get(&id).map_or(ZoneId(0), |entry| entry.zone)
    }

    /// Returns the maximum number of messages in one call to an endpoint; 1 if the endpoint is unknown, or if the
    /// settings do not have its kind of destination.
    pub fn max_batch_size(&self, id: EndpointId) -> usize {
        self.entries.get(&id).map_or(1, |entry| entry.max_batch_size)
    }

    /// Returns whether an endpoint has a rate limit and a circuit breaker of its own, rather than sharing those of its
    /// destination; false if the endpoint is unknown, or if the settings do not have its kind of destination.
    pub fn has_own_limits(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.has_per_endpoint_limits)
    }

    /// Returns the destination of an endpoint; None if the endpoint is unknown.
    pub fn destination(&self, id: EndpointId) -> Option<DestinationId> {
        self.entries.get(&id).map(|entry| entry.destination)
    }

    /// Returns the name of an endpoint; None if the endpoint is unknown.
    pub fn uid(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.uid.as_str())
    }

    /// Returns the number of the endpoint with this name; None if it has none.
    pub fn endpoint_id(&self, uid: &str) -> Option<EndpointId> {
        self.ids.get(uid).copied()
    }

    /// Returns whether new calls may be sent to an endpoint: it is listed as serving, has a valid address, and is not
    /// disabled.
    pub fn accepts_calls(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.availability == Availability::Ready)
            && !self.disabled.contains(&id)
    }

    /// Disables or enables an endpoint on behalf of operators, and returns its number. The endpoint need not be listed.
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

    /// Returns whether an endpoint was removed from the list and still has an entry here.
    pub fn is_removed(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.availability == Availability::Removed)
    }

    /// Returns whether there are endpoints that are not listed but still have a number.
    pub fn has_unlisted_endpoints(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Removes the endpoints that are not listed, except those for which `is_needed` returns true. Disabled ones keep
    /// their numbers. `is_needed` is not called for listed endpoints.
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

    /// Applies an update of the endpoint list, and returns it in the scheduler's form.
    pub fn apply(&mut self, update: &DiscoveryUpdate) -> EndpointUpdate {
        if update.is_snapshot {
            self.apply_snapshot(&update.endpoints)
        } else {
            EndpointUpdate::Delta(update.endpoints.iter().map(|endpoint| self.insert(endpoint)).collect())
        }
    }

    /// Applies a complete endpoint list, and returns it in the scheduler's form.
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

    /// Inserts an endpoint, replacing its previous entry, and returns it in the scheduler's form.
    fn insert(&mut self, discovered: &DiscoveredEndpoint) -> Endpoint {
        let id = self.id_of(&discovered.uid);
        let address = discovered.address.parse().ok();
        if address.is_none() {
            warn!(
                uid = discovered.uid,
                address = discovered.address,
                "the address of an endpoint is not a valid IP:port; treating the endpoint as draining"
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

/// Returns the index of a name. Names that are not in the settings come after theirs; beyond 255 names they share the
/// index 255.
fn index_of_name(names: &mut Vec<String>, name: &str) -> u8 {
    let index = names.iter().position(|known| known == name).unwrap_or_else(|| {
        if names.len() < usize::from(u8::MAX) {
            warn!(name, "the endpoint list has a zone or kind that is not in the settings; adding it");
            names.push(name.to_owned());
            return names.len() - 1;
        }
        names.len()
    });
    u8::try_from(index).unwrap_or(u8::MAX)
}
