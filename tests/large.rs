//! A fleet of a thousand gateways and as many endpoints. The gateway under test has few descriptors and little memory.

mod environment;

use environment::*;

/// The number of endpoints and of gateways.
const FLEET_SIZE: u32 = 1024;
const SOCKETS: u32 = 256;
const MEMORY_MB: u32 = 32;

fn large() -> TestEnvironment {
    let mut environment = TestEnvironment::with_long_deadlines(1, 3.0);
    environment.grow_to(FLEET_SIZE as usize);
    (environment.destination_per_endpoint, environment.fleet_size, environment.capacity_hint) =
        (true, FLEET_SIZE, 1e6);
    (environment.sockets, environment.memory_mb) = (SOCKETS, MEMORY_MB);
    environment
}

/// Delivers a message to each destination and checks descriptors and memory, with fewer descriptors than endpoints.
/// Under one ordering key each message is sent when the one before is completed. Returns the last call, which is in
/// flight.
fn deliver_to_all(environment: &TestEnvironment, gateway: &RunningGateway, round: &str) -> Call {
    let mut client = gateway.client();
    let mut send = |id: &str, destination| {
        assert_eq!(client.enqueue(id, "9", "notice,k=k", destination, b"x"), "+OK");
        let call = environment.call();
        assert_eq!(call.id, id);
        call
    };
    for destination in 1..=FLEET_SIZE {
        let id = format!("{round}{destination}");
        send(&id, destination).answer("200 OK", "");
        let open = gateway.descriptors();
        assert!(open <= SOCKETS as usize, "{open} descriptors at {id}");
    }
    let peak_kib = gateway.peak_memory_kib();
    assert!(peak_kib <= u64::from(MEMORY_MB) << 10, "{peak_kib} KiB");
    send(&format!("{round}-last"), FLEET_SIZE)
}

/// A long endpoint list could be applied in part or exceed the limits of the machine. It arrives by the watch, from the
/// journal after a kill, and as a snapshot of another agent. It must be applied each time; all endpoints and the limits
/// are checked the first two times.
#[test]
fn a_thousand_endpoints_and_gateways_fit_a_small_machine() {
    let environment = large();
    environment.listed_endpoints.set(1);
    let gateway = environment.start();
    assert!(gateway.client().enqueue("early", "0", "salary", FLEET_SIZE, b"x").starts_with("-ERR "));
    environment.announce_all(2);
    gateway.wait_for_log_line("endpoint list updated revision=2 changed=1024");
    let _in_flight = deliver_to_all(&environment, &gateway, "w");
    let gateway = gateway.kill_and_restart();
    gateway.wait_for_log_line("journal replayed pending=1 revision=2");
    let retry = environment.call();
    assert_eq!(retry.id, "w-last");
    retry.answer("200 OK", "");
    let _in_flight = deliver_to_all(&environment, &gateway, "j");
    let agent = environment.agent_with_drain(FLEET_SIZE as usize - 1);
    environment.configure(&agent);
    gateway.send_sighup();
    gateway.wait_for_log_line("endpoint list updated revision=5 changed=1024");
    let mut client = gateway.client();
    assert_eq!(client.enqueue("drains", "0", "salary", FLEET_SIZE, b"x"), "+OK");
    assert_eq!(client.enqueue("serves", "0", "salary", FLEET_SIZE - 1, b"x"), "+OK");
    let call = environment.call();
    assert_eq!(call.id, "serves");
    call.answer("200 OK", "");
    environment.expect_nothing();
}
