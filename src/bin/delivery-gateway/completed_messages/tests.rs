use super::*;
use bytes::Bytes;

fn message(number: usize) -> AcceptedRecord {
    AcceptedRecord {
        id: format!("m{number}"),
        ordering_key: 0,
        class: "notice".to_owned(),
        destination: 1,
        idempotency_key: None,
        deadline_ms: 0,
        is_redelivered: false,
        body: Bytes::new(),
        tenant: String::new(),
    }
}

/// Guards against memory that grows with each completed message.
#[test]
fn tombstones_are_bounded_in_number_and_time() {
    let mut completed = CompletedMessages::new(Duration::from_secs(3600));
    (0..3 * MAX_TOMBSTONES).for_each(|number| completed.insert(&message(number)));
    let kept = (completed.tombstones.len(), completed.fingerprints.len());
    assert_eq!(kept, (MAX_TOMBSTONES, MAX_TOMBSTONES));
    let mut completed = CompletedMessages::new(Duration::ZERO);
    (0..10).for_each(|number| completed.insert(&message(number)));
    let kept = completed.tombstones.len();
    assert!(kept < 10 && kept == completed.fingerprints.len(), "{kept}");
}
