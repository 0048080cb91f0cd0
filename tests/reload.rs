//! SIGHUP: the gateway reloads its configuration and switches to another agent of discovery, without interrupting calls
//! or clients.

mod environment;

use environment::*;

/// A reload must not lose notifications that the old agent has not acknowledged, nor interrupt calls or clients. The
/// new agent's endpoint list applies.
#[test]
fn sighup_moves_watch_and_notifications_to_the_new_agent() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("h1", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(client.enqueue("h2", "0", "salary", 1, b"x"), "+OK");
    let (failing, in_flight) = (environment.call(), environment.call());
    environment.hold_notifications(true);
    let failed = format!(r#"{{"id":"{}","state":"failed"}}"#, failing.id);
    failing.reset();
    assert_eq!(environment.notification(), failed);

    let agent = environment.agent_with_drain(0);
    environment.configure(&agent);
    gateway.send_sighup();
    gateway.wait_for_log_line("endpoint list updated");
    // Notifications that the old agent has not acknowledged are sent to the new one, which acknowledges them.
    while environment.notification_requests_at(&agent) == 0 {
        assert_eq!(environment.notification(), failed);
    }
    assert!(!in_flight.is_closed());
    in_flight.answer("200 OK", "");
    let mut open = Vec::new();
    for id in ["h3", "h4", "h5"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = environment.call_among_notifications();
        assert_eq!(call.endpoint, 1);
        open.push(call);
    }
    open.into_iter().for_each(|call| call.answer("200 OK", ""));
}

/// A malformed configuration changes nothing. The next valid one applies.
#[test]
fn a_malformed_configuration_changes_nothing() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    environment.write_invalid_configuration();
    gateway.send_sighup();
    gateway.wait_for_log_line("configuration not reloaded");
    assert_eq!(client.enqueue("s1", "0", "salary", 1, b"x"), "+OK");
    environment.call().reset();
    assert_eq!(environment.notification(), r#"{"id":"s1","state":"failed"}"#);
    let agents = [environment.agent_with_drain(0), environment.agent_with_drain(1)];
    for (number, agent) in agents.iter().enumerate() {
        environment.configure(agent);
        gateway.send_sighup();
        gateway.wait_for_log_lines("endpoint list updated", number + 1);
    }
    assert_eq!(client.enqueue("s2", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    assert_eq!(call.endpoint, 0);
    call.answer("200 OK", "");
}
