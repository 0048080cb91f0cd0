//! A log that cannot be written: the gateway serves all the same.

mod environment;

use environment::*;
use std::fs::File;
use std::io::Write;
use std::process::Stdio;
use std::time::Duration;

/// Serves one message, handles a signal, and exits with success.
fn serves(log: Stdio) {
    let environment = TestEnvironment::new(1, 3.0);
    let mut gateway = environment.start_logging_to(log);
    let mut client = gateway.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    assert_eq!(client.enqueue("g1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    gateway.send_sighup();
    assert_eq!(client.request(&["PING"]), "+PONG");
    gateway.send_sigterm();
    assert!(gateway.wait(Duration::from_secs(5)).success());
}

#[test]
fn the_gateway_survives_a_log_on_a_full_disk() {
    serves(File::options().write(true).open("/dev/full").unwrap().into());
}

#[test]
fn the_gateway_survives_a_log_without_a_reader() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    serves(writer.into());
}

/// The log's reader may have stopped reading: nothing waits for it.
#[test]
fn the_gateway_does_not_wait_for_the_reader_of_its_log() {
    let (_reader, mut writer) = std::io::pipe().unwrap();
    writer.write_all(&[b'.'; 64 << 10]).unwrap();
    serves(writer.into());
}
