//! A log that cannot be written: the courier serves all the same.

mod world;

use std::fs::File;
use std::io::Write;
use std::process::Stdio;
use std::time::Duration;
use world::*;

/// Serves one message, hears a signal, and ends well.
fn serves(log: Stdio) {
    let world = World::new(1, 3.0);
    let mut courier = world.start_logging_to(log);
    let mut client = courier.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(client.enqueue("g1", "0", "salary", 1, b"x"), "+OK");
    world.call().answer("200 OK", "");
    courier.hang_up();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    courier.terminate();
    assert!(courier.wait(Duration::from_secs(5)).success());
}

#[test]
fn a_log_on_a_full_disk_ends_no_courier() {
    serves(File::options().write(true).open("/dev/full").unwrap().into());
}

#[test]
fn a_log_that_nobody_reads_any_more_ends_no_courier() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    serves(writer.into());
}

/// Whoever reads the log may have stopped: nothing waits for that.
#[test]
fn a_log_whose_reader_has_stopped_holds_up_no_courier() {
    let (_reader, mut writer) = std::io::pipe().unwrap();
    writer.write_all(&[b'.'; 64 << 10]).unwrap();
    serves(writer.into());
}
