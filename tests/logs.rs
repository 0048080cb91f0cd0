//! A log that cannot be written must not stop the gateway: writes to it may fail or block.

mod environment;

use environment::*;
use std::fs::File;
use std::io::Write;
use std::process::Stdio;
use std::time::Duration;

/// Checks that a gateway with this log delivers a message, serves after SIGHUP, and exits with success after SIGTERM.
fn assert_serves_with_log(log: Stdio) {
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
    assert_serves_with_log(File::options().write(true).open("/dev/full").unwrap().into());
}

#[test]
fn the_gateway_survives_a_log_without_a_reader() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    assert_serves_with_log(writer.into());
}

/// A reader that has stopped reading lets the pipe fill up, so that a write to the log would block the gateway.
#[test]
fn the_gateway_does_not_wait_for_the_reader_of_its_log() {
    let (_reader, mut writer) = std::io::pipe().unwrap();
    writer.write_all(&[b'.'; 64 << 10]).unwrap();
    assert_serves_with_log(writer.into());
}
