//! The simulator adapter's wire format: the byte examples of the wire page, every record, and malformed input.

#[path = "../src/bin/simulator-adapter/instances.rs"]
#[allow(dead_code)]
mod instances;
#[path = "../src/bin/simulator-adapter/translation.rs"]
#[allow(dead_code)]
mod translation;
#[path = "../src/bin/simulator-adapter/wire/mod.rs"]
#[allow(dead_code)]
mod wire;

use std::io::Write;
use std::process::{Command, Output, Stdio};
use wire::*;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

fn frame(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let mut body = clock.to_be_bytes().to_vec();
    body.extend((records.len() as u32).to_be_bytes());
    body.extend(records.concat());
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn adapter_with(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may exit before it has read all of a malformed input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let output = adapter_with(&hex("0000000c 00000001f568bf90 00000000"));
    assert!(output.status.success());
    assert_eq!(output.stdout, hex("00000000"));
}

#[test]
fn events_of_the_wire_page_are_read() {
    let body = hex("00000001f568bf90 00000003
        1e 0003 5d3a91c4 00 42640000 91f03b7c55d20a64 0000000203b6db90 0000000000b71b00 01 00000000
        46 0003 000000000000004d  3c 0005 0e6f2b19");
    assert_eq!(body.len(), 0x47);
    let Batch { now, records } = read_batch(&body).unwrap();
    assert_eq!(now, 0x1_f568_bf90);
    let accepted = Record::MessageAccepted(AcceptedRecord {
        instance: 3,
        message: 0x5d3a_91c4,
        class: 0,
        destination: 57.0,
        key: 0x91f0_3b7c_55d2_0a64,
        deadline: 0x2_03b6_db90,
        weight_hint: 12_000_000,
        options: 1,
        tenant: 0,
    });
    let timer = Record::TimerFired { instance: 3, token: 77 };
    assert_eq!(records, [accepted, timer, Record::MessageAbandoned { instance: 5, message: 0x0e6f_2b19 }]);
}

#[test]
fn list_and_outcome_of_the_wire_page_are_read() {
    let body = hex("00000001f568bf90 00000003
        6e 0000 00000002
        03124a07 00 0000 0039 03 3f800000 0000000000000000
        2c9011f2 00 0000 0039 03 3fc00000 000000016b969d00
        14 0003 0000 00000029 02
        32 0003 5d3a91c4 0064 00000000011a49a0 01 03124a07 0000 00000000 02 3ecccccd3fa00000");
    let Batch { records, .. } = read_batch(&body).unwrap();
    let entry = |endpoint, capacity_hint, up_since| ListEntry {
        endpoint,
        zone: 0,
        kind: 0,
        destination: 57,
        state: 3,
        capacity_hint,
        up_since,
    };
    let entries = vec![entry(0x0312_4a07, 1.0, 0), entry(0x2c90_11f2, 1.5, 0x1_6b96_9d00)];
    assert_eq!(records[0], Record::EndpointList { list: 0, entries });
    assert_eq!(records[1], Record::ListUpdate { instance: 3, list: 0, revision: 41, kind: 2 });
    let Record::AttemptFinished(finished) = &records[2] else { panic!("{records:?}") };
    assert_eq!(
        (finished.outcome_code, finished.latency, finished.completes_message),
        (100, 18_500_000, true)
    );
    assert_eq!(finished.load_report, [0.4, 1.25]);
}

#[test]
fn actions_of_the_wire_page_are_written() {
    let text = "two servers known".to_owned();
    let replies = [
        Reply::StartAttempt {
            instance: 3,
            message: 0x5d3a_91c4,
            endpoint: 0x0312_4a07,
            attempt_timeout: 80_000_000,
        },
        Reply::SetTimer { instance: 3, after: 500_000_000, token: 77 },
        Reply::Log { instance: 5, text },
        Reply::SendNote { instance: 3, peer: 0xffff, text: b"hi 7".to_vec() },
    ];
    let expected = hex("00000047
        0a 0003 5d3a91c4 03124a07 0000000004c4b400
        32 0003 000000001dcd6500 000000000000004d
        5a 0005 0011 74776f2073657276657273206b6e6f776e
        50 0003 ffff 0004 68692037");
    assert_eq!(write_frame(&replies), expected);
}

#[test]
fn every_other_action_is_written() {
    let cases = [
        (Reply::Reject { instance: 1, message: 2, retry_after: 3 }, "14 0001 00000002 0000000000000003"),
        (Reply::ReportFailure { instance: 1, message: 2 }, "1e 0001 00000002"),
        (Reply::CancelAttempt { instance: 1, message: 2, attempt: 3 }, "28 0001 00000002 0003"),
        (Reply::Probe { instance: 1, endpoint: 2 }, "3c 0001 00000002"),
        (Reply::CloseIdleConnections { instance: 1, endpoint: 2 }, "46 0001 00000002"),
        (Reply::Panic { instance: 1, text: "x".to_owned() }, "64 0001 0001 78"),
        (Reply::WatchEndpoints { instance: 1, active: true }, "6e 0001 01"),
        (Reply::FetchEndpoints { instance: 1 }, "78 0001"),
    ];
    for (reply, bytes) in cases {
        let mut written = Vec::new();
        write_reply(&mut written, &reply);
        assert_eq!(written, hex(bytes), "{reply:?}");
    }
}

#[test]
fn every_other_event_is_read() {
    let cases = [
        (
            "0a 0001 0000000000000002 00000003 613d62",
            Record::NewInstance { instance: 1, seed: 2, settings: "a=b".into() },
        ),
        ("64 0001", Record::RemoveInstance { instance: 1 }),
        (
            "50 0001 012f 0000000000000002 00000003 01 3f800000",
            Record::ProbeFinished {
                instance: 1,
                outcome_code: 303,
                latency: 2,
                endpoint: 3,
                load_report: vec![1.0],
            },
        ),
        (
            "28 0001 00000002 00000003 0004 0000000000000005",
            Record::ResponseStarted { instance: 1, message: 2, endpoint: 3, attempt: 4, latency: 5 },
        ),
        ("5a 0001 00000002 0002 6869", Record::PeerNote { instance: 1, from: 2, text: b"hi".to_vec() }),
    ];
    for (bytes, record) in cases {
        let bytes = hex(bytes);
        let whole = &frame(9, std::slice::from_ref(&bytes))[4..];
        assert_eq!(read_batch(whole), Ok(Batch { now: 9, records: vec![record] }));
        // Every truncation is an error, never a panic.
        for cut in 1..bytes.len() {
            let body = &frame(9, &[bytes[..cut].to_vec()])[4..];
            assert!(matches!(read_batch(body), Err(WireError::Truncated { .. })), "{cut}");
        }
    }
}

#[test]
fn malformed_input_ends_the_adapter_with_a_one_line_error() {
    let bad_setting = {
        let config = b"Balancers=two";
        let mut record = hex("0a 0001 0000000000000002");
        record.extend((config.len() as u32).to_be_bytes());
        record.extend(config);
        frame(9, &[record])
    };
    let cases = [
        (hex("0000"), "2 of 4 bytes"),
        (hex("ffffffff 00"), "1 of 4294967295 bytes"),
        (hex("00000004 00000000"), "clock is cut short"),
        (frame(9, &[hex("ff 0001")]), "unknown code 255"),
        (frame(9, &[hex("6e 0000 ffffffff")]), "entry Endpoint is cut short"),
        (frame(9, &[hex("64 0001"), hex("64 0001 00")]), "left over"),
        (bad_setting, "Balancers: 'two'"),
    ];
    for (input, words) in cases {
        let output = adapter_with(&input);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{words}");
        assert!(error.contains(words), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

fn accepted_record(instance: u16) -> Record {
    Record::MessageAccepted(AcceptedRecord {
        instance,
        message: 5,
        class: 0,
        destination: 1.0,
        key: 0,
        deadline: 60_000_000_000,
        weight_hint: 0,
        options: 0,
        tenant: 0,
    })
}

/// An instance decides after each record for it, also after one that the scheduler ignores. It would otherwise miss a
/// deadline that has passed.
#[test]
fn an_instance_decides_after_a_record_that_it_ignores() {
    let ignored = [
        Record::ProbeFinished {
            instance: 1,
            outcome_code: 100,
            latency: 1,
            endpoint: 2,
            load_report: vec![],
        },
        Record::ResponseStarted { instance: 1, message: 5, endpoint: 2, attempt: 0, latency: 1 },
        Record::PeerNote { instance: 1, from: 2, text: b"hi".to_vec() },
    ];
    for record in ignored {
        let mut instances = instances::InstanceTable::default();
        let settings = "Lanes.count=1\n".to_owned();
        let start = Record::NewInstance { instance: 1, seed: 1, settings };
        instances.run(Batch { now: 50_000_000_000, records: vec![start, accepted_record(1)] }).unwrap();
        // The message's deadline has passed, but there was no record for the instance.
        let mut replies = |records| instances.run(Batch { now: 61_000_000_000, records }).unwrap();
        assert_eq!(replies(vec![]), []);
        let final_replies = replies(vec![record.clone()]);
        let is_final = |reply: &Reply| {
            matches!(
                reply,
                Reply::Reject { instance: 1, message: 5, .. }
                    | Reply::ReportFailure { instance: 1, message: 5 }
            )
        };
        assert_eq!(
            final_replies.iter().filter(|reply| is_final(reply)).count(),
            1,
            "{record:?}: {final_replies:?}"
        );
    }
}

#[test]
fn a_probe_with_an_unknown_outcome_is_an_error() {
    let mut instances = instances::InstanceTable::default();
    let probe =
        Record::ProbeFinished { instance: 1, outcome_code: 7, latency: 1, endpoint: 2, load_report: vec![] };
    let error = instances.run(Batch { now: 1, records: vec![probe] }).unwrap_err();
    assert_eq!(error.to_string(), "Code has the unknown value 7");
}

#[test]
fn unknown_settings_are_skipped_and_updates_use_the_list_of_their_time() {
    let config =
        "Balancers=3\nLanes.count=1\nLanes.0.Effect=read_like\nNew.Thing=1,2\nFamilyInfo.KindBatch=1,4\n";
    let parsed = delivery_gateway::settings_from_lines(config).unwrap();
    assert_eq!(parsed.settings.fleet_size, 3);
    assert_eq!(parsed.settings.destination_kinds[1].max_batch_size, 4);
    // A list that replaces another one of the same number later in the batch does not affect updates before it.
    let list = |endpoint| {
        let entry = ListEntry {
            endpoint,
            zone: 0,
            kind: 0,
            destination: 1,
            state: 3,
            capacity_hint: 9.0,
            up_since: 0,
        };
        Record::EndpointList { list: 0, entries: vec![entry] }
    };
    let update = |instance| Record::ListUpdate { instance, list: 0, revision: 1, kind: 2 };
    let start = |instance| Record::NewInstance { instance, seed: 1, settings: config.to_owned() };
    let mut instances = instances::InstanceTable::default();
    let batch = vec![
        start(1),
        start(2),
        list(10),
        update(1),
        list(20),
        update(2),
        accepted_record(1),
        accepted_record(2),
    ];
    let replies = instances.run(Batch { now: 50_000_000_000, records: batch }).unwrap();
    let attempts = |at, to| {
        let is_attempt = |reply: &&Reply| match reply {
            Reply::StartAttempt { instance, endpoint, .. } => (*instance, *endpoint) == (at, to),
            _ => false,
        };
        replies.iter().filter(is_attempt).count()
    };
    assert_eq!((attempts(1, 10), attempts(2, 20)), (1, 1));
}
