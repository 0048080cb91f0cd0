use super::*;

const DELTA: &str = r#"{"rev": 7, "all": false, "targets": []}"#;

/// Decodes a stream that arrives in parts, and returns the revisions of its updates and how the stream ended.
fn revisions(parts: &[&str]) -> (Vec<u64>, Result<(), DiscoveryError>) {
    let mut decoder = UpdateDecoder::default();
    let mut revisions = Vec::new();
    for part in parts {
        decoder.push(part.as_bytes());
        loop {
            match decoder.next_update() {
                Ok(Some(update)) => revisions.push(update.revision),
                Ok(None) => break,
                Err(error) => return (revisions, Err(error)),
            }
        }
    }
    (revisions, Ok(()))
}

#[test]
fn each_line_is_an_update() {
    let (seen, end) = revisions(&[&format!("{DELTA}\n{DELTA}\r\n{DELTA}")]);
    assert_eq!(seen, [7, 7], "the last line has no end yet");
    assert!(end.is_ok());
}

#[test]
fn heartbeats_between_updates_are_skipped() {
    let (seen, end) = revisions(&["\n", "\r\n", &format!("{DELTA}\n"), "  \n", &format!("{DELTA}\n")]);
    assert_eq!(seen, [7, 7]);
    assert!(end.is_ok());
}

/// Guards against bytes that are lost or decoded twice where an update arrives in many parts.
#[test]
fn an_update_may_arrive_byte_by_byte() {
    let text = format!("\n{DELTA}\n");
    let parts: Vec<String> = text.chars().map(String::from).collect();
    let (seen, end) = revisions(&parts.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!(seen, [7]);
    assert!(end.is_ok());
}

#[test]
fn an_indented_update_ends_with_its_last_line() {
    let indented = "{\n  \"rev\": 8,\n  \"all\": true,\n  \"targets\": []\n}\n";
    let (seen, end) = revisions(&[&indented[..20], &indented[20..], &format!("{DELTA}\n")]);
    assert_eq!(seen, [8, 7]);
    assert!(end.is_ok());
}

/// Guards against waiting without end for the rest of an update that breaks off before a heartbeat.
#[test]
fn a_blank_line_inside_an_update_is_an_error() {
    let (seen, end) = revisions(&[&format!("{DELTA}\n{{\n  \"rev\": 8,\n\n")]);
    assert_eq!(seen, [7]);
    assert!(matches!(end, Err(DiscoveryError::UnterminatedUpdate)), "{end:?}");
}

#[test]
fn an_invalid_update_is_an_error() {
    let (seen, end) = revisions(&[&format!("{DELTA}\nnonsense\n")]);
    assert_eq!(seen, [7]);
    assert!(matches!(end, Err(DiscoveryError::InvalidUpdate(_))), "{end:?}");
}

/// Guards against a buffer that grows without limit on a stream whose object never ends.
#[test]
fn an_update_without_end_is_an_error() {
    let mut decoder = UpdateDecoder::default();
    decoder.push(b"{\n");
    decoder.push(&vec![b' '; MAX_UPDATE_BYTES - 2]);
    assert!(decoder.next_update().unwrap().is_none());
    decoder.push(b" ");
    let error = decoder.next_update().unwrap_err();
    assert!(matches!(error, DiscoveryError::UnterminatedUpdate), "{error}");
}
