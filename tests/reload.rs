//! SIGHUP: the gateway reloads its configuration and switches to another agent of discovery, without interrupting calls
//! or clients. During a handover, the process in service follows a new configuration whichever process got the signal.

mod environment;

use environment::*;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Limits the wait for a notification.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(20);

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

/// Fails a message on its only call, and waits until its notification arrives at the agent of `notifications`. The gateway
/// may repeat notifications of earlier messages.
fn assert_notifies(
    environment: &TestEnvironment,
    gateway: &RunningGateway,
    id: &str,
    notifications: &Receiver<StubEvent>,
) {
    assert_eq!(gateway.client().enqueue(id, "0", "salary", 1, b"x"), "+OK");
    environment.call().reset();
    let expected = format!(r#"{{"id":"{id}","state":"failed"}}"#);
    loop {
        match notifications.recv_timeout(NOTIFICATION_TIMEOUT) {
            Ok(StubEvent::Notification(line)) if line == expected => return,
            Ok(_) => {}
            Err(_) => panic!("the notification of {id} did not arrive at the agent"),
        }
    }
}

/// A configuration that cannot be read at the signal may be readable a moment later, without another signal. The gateway
/// would otherwise stay at an agent that has closed.
#[test]
fn a_configuration_that_cannot_be_read_is_read_again() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    environment.write_invalid_configuration();
    gateway.send_sighup();
    gateway.wait_for_log_line("configuration not reloaded");
    let (agent, notifications) = environment.separate_agent_with_drain(0);
    environment.configure(&agent);
    gateway.wait_for_log_line("endpoint list updated");
    assert_notifies(&environment, &gateway, "r1", &notifications);
}

/// A successor reads its configuration before it asks for the handover. A signal to the predecessor that comes after
/// this and before the handover would be lost with the predecessor.
#[test]
fn a_reload_between_request_and_handover_reaches_the_successor() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let predecessor = environment.start();
    assert_eq!(predecessor.client().enqueue("r1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = environment.call();
    // The predecessor finishes its calls before it hands over to a process with another fingerprint.
    environment.zone.set("elsewhere");
    let successor = environment.start_beside();
    predecessor.wait_for_log_line("finishing calls before the handover");
    let (agent, notifications) = environment.separate_agent_with_drain(0);
    environment.configure(&agent);
    predecessor.send_sighup();
    predecessor.wait_for_log_line("configuration reloaded");
    in_flight.answer("200 OK", "");
    let successor = successor.listening();
    successor.wait_for_log_line("endpoint list updated");
    assert_notifies(&environment, &successor, "r2", &notifications);
}

/// A predecessor that relays to its successor no longer serves, but may still get the signal. It passes the request on,
/// each time that it gets one.
#[test]
fn reloads_after_a_handover_reach_the_successor() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let predecessor = environment.start();
    let successor = environment.start();
    let agents = [environment.separate_agent_with_drain(0), environment.separate_agent_with_drain(1)];
    for (number, (agent, notifications)) in agents.iter().enumerate() {
        environment.configure(agent);
        predecessor.send_sighup();
        successor.wait_for_log_lines("endpoint list updated", number + 1);
        assert_notifies(&environment, &successor, &format!("r{number}"), notifications);
    }
}

/// The file may be unreadable for both processes when a relaying predecessor gets the signal. The successor reads it
/// again by itself, also once the predecessor has ended.
#[test]
fn a_successor_reads_an_unreadable_configuration_again() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let predecessor = environment.start();
    let successor = environment.start();
    environment.write_invalid_configuration();
    predecessor.send_sighup();
    successor.wait_for_log_line("configuration not reloaded");
    drop(predecessor);
    let (agent, notifications) = environment.separate_agent_with_drain(0);
    environment.configure(&agent);
    successor.wait_for_log_line("endpoint list updated");
    assert_notifies(&environment, &successor, "r1", &notifications);
}

/// Of three processes in a row, the first one does not know the third one, which is in service. The second one passes
/// the request on.
#[test]
fn a_reload_passes_through_a_chain_of_handovers() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let first = environment.start();
    let _second = environment.start();
    let third = environment.start();
    let (agent, notifications) = environment.separate_agent_with_drain(0);
    environment.configure(&agent);
    first.send_sighup();
    third.wait_for_log_line("endpoint list updated");
    assert_notifies(&environment, &third, "r1", &notifications);
}

/// A predecessor may be killed before it has handled the signal. Its successor reads the configuration when the
/// predecessor has ended.
#[test]
fn a_reload_that_a_killed_predecessor_did_not_handle_reaches_the_successor() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let predecessor = environment.start();
    let successor = environment.start();
    let (agent, notifications) = environment.separate_agent_with_drain(0);
    predecessor.while_stopped(|| {
        environment.configure(&agent);
        predecessor.send_sighup();
        predecessor.send_sigkill();
    });
    successor.wait_for_log_line("endpoint list updated");
    assert_notifies(&environment, &successor, "r1", &notifications);
}

/// A successor may die after it has followed a new configuration, of which the predecessor had no signal. The
/// predecessor reads the configuration when it serves again.
#[test]
fn a_reload_of_a_dead_successor_reaches_the_predecessor() {
    let environment = TestEnvironment::with_long_deadlines(2, 3.0);
    let predecessor = environment.start();
    let successor = environment.start();
    let (agent, notifications) = environment.separate_agent_with_drain(0);
    environment.configure(&agent);
    successor.send_sighup();
    successor.wait_for_log_line("endpoint list updated");
    successor.kill();
    predecessor.wait_for_log_line("resuming service");
    predecessor.wait_for_log_line("configuration reloaded");
    assert_notifies(&environment, &predecessor, "r1", &notifications);
}
