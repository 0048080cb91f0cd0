//! The directory of endpoints and the encodings of the endpoint list, without a gateway.

use delivery_gateway::discovery::{DiscoveredEndpoint, DiscoveryUpdate, EndpointDirectory, EndpointState};
use delivery_gateway::*;
use std::path::Path;

fn directory() -> EndpointDirectory {
    let settings = Settings {
        destination_kinds: vec![DestinationKind { max_batch_size: 20, has_per_endpoint_limits: false }],
        ..Settings::default()
    };
    let (kind_names, zone_names) = (vec!["banks".to_owned()], vec!["kingston".to_owned()]);
    let (class_names, tenant_names) = Default::default();
    let parsed = ParsedSettings {
        settings,
        class_names,
        tenant_names,
        kind_names,
        zone_names,
        headroom_index: None,
        limit_index: None,
    };
    EndpointDirectory::new(&parsed)
}

fn target(uid: &str, state: &str) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        uid: uid.to_owned(),
        address: "127.0.0.1:9".to_owned(),
        zone: "kingston".to_owned(),
        kind: "banks".to_owned(),
        destination: 70_000,
        state: state.into(),
        capacity_hint: 3.5,
    }
}

fn update(is_snapshot: bool, targets: Vec<DiscoveredEndpoint>) -> DiscoveryUpdate {
    DiscoveryUpdate { revision: 1, is_snapshot, endpoints: targets }
}

fn entries(listing: EndpointUpdate) -> Vec<(u32, Availability)> {
    match listing {
        EndpointUpdate::Snapshot(entries) | EndpointUpdate::Delta(entries) => {
            entries.iter().map(|entry| (entry.id.0, entry.availability)).collect()
        }
        other => panic!("no entries in {other:?}"),
    }
}

#[test]
fn uids_keep_their_endpoint_ids() {
    let mut directory = directory();
    let first = directory.apply(&update(true, vec![target("a", "SERVING"), target("b", "DRAINING")]));
    assert!(
        matches!(&first, EndpointUpdate::Snapshot(entries) if entries[0].destination == DestinationId(70_000))
    );
    assert_eq!(entries(first), [(1, Availability::Ready), (2, Availability::Draining)]);
    let next = directory.apply(&update(false, vec![target("c", "SERVING"), target("a", "DELETED")]));
    assert!(matches!(next, EndpointUpdate::Delta(_)));
    assert_eq!(entries(next), [(3, Availability::Ready), (1, Availability::Removed)]);
    assert_eq!(directory.max_batch_size(EndpointId(3)), 20);
    assert_eq!(directory.address(EndpointId(3)), Some(([127, 0, 0, 1], 9).into()));
}

/// An endpoint with an invalid address cannot be connected to, so that it gets no new calls.
#[test]
fn an_invalid_address_counts_as_draining() {
    let mut directory = directory();
    let target = DiscoveredEndpoint { address: "nowhere".to_owned(), ..target("a", "SERVING") };
    assert_eq!(entries(directory.apply(&update(true, vec![target]))), [(1, Availability::Draining)]);
    assert!(!directory.accepts_calls(EndpointId(1)));
}

/// A state is a string on the wire and in the journal. An unknown state is kept as it is and counts as draining.
#[test]
fn endpoint_states_are_encoded_by_their_names() {
    for (name, availability) in [
        ("SERVING", Availability::Ready),
        ("DRAINING", Availability::Draining),
        ("DELETED", Availability::Removed),
        ("PAUSED", Availability::Draining),
        ("", Availability::Draining),
    ] {
        let state = EndpointState::from(name);
        let bytes = postcard::to_allocvec(&state).unwrap();
        assert_eq!(bytes, postcard::to_allocvec(&name.to_owned()).unwrap());
        assert_eq!(postcard::from_bytes::<EndpointState>(&bytes).unwrap(), state);
        let json = serde_json::to_string(&state).unwrap();
        assert_eq!(json, format!("\"{name}\""));
        assert_eq!(serde_json::from_str::<EndpointState>(&json).unwrap(), state);
        let listed = directory().apply(&update(true, vec![target("a", name)]));
        assert_eq!(entries(listed), [(1, availability)], "{name}");
    }
}

/// Endpoints that are missing from a snapshot are removed. Their ids are dropped unless they are still in use or their
/// endpoints are disabled.
#[test]
fn ids_of_removed_endpoints_are_dropped_once_unused() {
    let mut directory = directory();
    let all = ["a", "b", "c", "d"].map(|uid| target(uid, "SERVING"));
    directory.apply(&update(true, all.to_vec()));
    directory.set_disabled("c", true);
    directory.apply(&update(true, vec![target("d", "SERVING")]));
    let removed = |directory: &EndpointDirectory| {
        (1..=4).map(|id| directory.is_removed(EndpointId(id))).collect::<Vec<_>>()
    };
    assert_eq!(removed(&directory), [true, true, true, false]);
    directory.remove_unlisted_endpoints(|id| id == EndpointId(2));
    assert_eq!(removed(&directory), [false, true, false, false]);
    let id_of = |directory: &EndpointDirectory, uid: &str| directory.endpoint_id(uid).map(|id| id.0);
    assert_eq!(["a", "b", "c", "d"].map(|uid| id_of(&directory, uid)), [None, Some(2), Some(3), Some(4)]);
    directory.remove_unlisted_endpoints(|_| false);
    assert_eq!(id_of(&directory, "b"), None);
    let checked_ids = std::cell::RefCell::new(Vec::new());
    directory.remove_unlisted_endpoints(|id| {
        checked_ids.borrow_mut().push(id.0);
        false
    });
    assert_eq!(
        *checked_ids.borrow(),
        [3],
        "the endpoints that are unlisted and kept are not just the disabled one"
    );
    // An endpoint that is listed again has its old id only if that was not dropped.
    directory.apply(&update(false, vec![target("a", "SERVING"), target("c", "SERVING")]));
    assert_eq!(["a", "c"].map(|uid| id_of(&directory, uid)), [Some(5), Some(3)]);
    assert!(directory.accepts_calls(EndpointId(5)) && !directory.accepts_calls(EndpointId(3)));
    directory.set_disabled("c", false);
    assert!(directory.accepts_calls(EndpointId(3)) && !directory.has_unlisted_endpoints());
    // Ids adopted from another process are dropped too if their endpoints are no longer listed.
    let mut next = self::directory();
    next.adopt_ids(directory.id_table());
    next.apply_snapshot(&[target("d", "SERVING"), target("e", "SERVING")]);
    next.remove_unlisted_endpoints(|id| id == EndpointId(5));
    assert_eq!(["a", "c", "d", "e"].map(|uid| id_of(&next, uid)), [Some(5), None, Some(4), Some(6)]);
    // An unlisted endpoint that is enabled again leaves no id behind.
    next.set_disabled("f", true);
    next.remove_unlisted_endpoints(|_| false);
    assert_eq!(id_of(&next, "f"), Some(7));
    next.set_disabled("f", false);
    next.remove_unlisted_endpoints(|_| false);
    assert_eq!((id_of(&next, "f"), next.has_unlisted_endpoints()), (None, false));
}

/// The scheduler, its types and the settings do not depend on discovery's representation of the endpoint list.
#[test]
fn the_scheduler_does_not_depend_on_discovery() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    let mut folders = vec![root.join("config"), root.join("scheduler"), root.join("model")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path)
            } else {
                files.push(path)
            }
        }
    }
    assert!(files.len() > 4, "{files:?}");
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        assert!(
            !text.contains("discovery::") && !text.contains("::discovery"),
            "{file:?} refers to discovery"
        );
    }
}
