//! Guarantees of a gateway that involve its sockets, journal and watch together. Where a guarantee names a time, the
//! test enqueues a message with exactly that deadline, waits until it times out, and checks what has happened by then.

mod environment;

use environment::*;

/// The time after which a change of the endpoint list counts as announced, in milliseconds from the change. The gateway
/// has to apply the change within this time, which is the deadline of the message that measures it.
const ANNOUNCED_AFTER_MS: u32 = 6_000;
/// The number of clients that connect and stay idle.
const IDLE_CLIENTS: usize = 300;
/// The maximum number of descriptors of a gateway under test.
const DESCRIPTOR_LIMIT: usize = 256;
/// The journal of a gateway under test is full only after more messages than this.
const FULL_JOURNAL_MESSAGES: usize = 5_000;

/// Creates an environment with long deadlines in which each endpoint has a destination of its own.
fn one_destination_each(endpoints: usize) -> TestEnvironment {
    let mut environment = TestEnvironment::with_long_deadlines(endpoints, 3.0);
    environment.destination_per_endpoint = true;
    environment
}

/// Enqueues a message whose deadline is `ANNOUNCED_AFTER_MS`, and returns its call, which must get no response.
fn start_announcement_timer(
    environment: &TestEnvironment,
    gateway: &RunningGateway,
    destination: u16,
) -> Call {
    let fields = format!("c=salary,d={ANNOUNCED_AFTER_MS},dest={destination}");
    assert_eq!(gateway.client().request(&["ENQUEUE", "0", "six", fields.as_str(), "x"]), "+OK");
    let call = environment.call();
    assert_eq!(call.id, "six");
    call
}

/// Waits until the timer's message has failed, and checks that a message for the drained destination is returned. It
/// would be sent if the gateway had not applied the drain.
fn assert_drain_is_applied(environment: &TestEnvironment, gateway: &RunningGateway, drained: u16) {
    assert_eq!(environment.notification(), r#"{"id":"six","state":"failed"}"#);
    let fields = format!("c=salary,d=500,dest={drained}");
    assert_eq!(gateway.client().request(&["ENQUEUE", "0", "after", fields.as_str(), "x"]), "+OK");
    let notification = environment.notification();
    assert!(notification.contains(r#""id":"after","state":"returned""#), "{notification}");
}

/// A watch may stop sending without being closed, so that the gateway misses changes. It is replaced before a missed
/// change counts as announced. The test's discovery sends no heartbeats after the first line of a watch.
#[test]
fn a_silent_watch_is_replaced_before_a_missed_change_counts_as_announced() {
    let environment = one_destination_each(2);
    let gateway = environment.start();
    let _in_flight = start_announcement_timer(&environment, &gateway, 2);
    gateway.wait_for_log_line("endpoint watch failed");
    environment.drain(0);
    assert_drain_is_applied(&environment, &gateway, 1);
}

/// A watch request may be accepted by discovery and get no response during an outage. The gateway gives it up and
/// repeats it early enough to apply a change in time once discovery responds.
#[test]
fn a_watch_is_reestablished_in_time_after_an_outage_of_discovery() {
    let environment = one_destination_each(2);
    environment.set_discovery_silent(true);
    let gateway = environment.start();
    gateway.wait_for_log_line("endpoint watch failed");
    // The next request is sent during this wait. It gets no response either, as no request from before the recovery
    // does.
    environment.expect_no_call();
    environment.drain(0);
    let _in_flight = start_announcement_timer(&environment, &gateway, 2);
    environment.set_discovery_silent(false);
    assert_drain_is_applied(&environment, &gateway, 1);
}

/// Connects clients that stay idle, every other one after a request.
fn connect_idle_clients(gateway: &RunningGateway, idle: &mut Vec<Client>) {
    for number in 0..IDLE_CLIENTS {
        let mut client = gateway.client();
        if number % 2 == 0 {
            client.send_command(&["PING"]);
        }
        idle.push(client);
    }
    let open = gateway.descriptors();
    assert!(open <= DESCRIPTOR_LIMIT, "{open} descriptors");
}

/// Enqueues a message from a new client and answers its call.
fn deliver_from_new_client(environment: &TestEnvironment, gateway: &RunningGateway, id: &str) {
    assert_eq!(gateway.client().enqueue(id, "0", "salary", 2, b"x"), "+OK");
    let call = environment.call();
    assert_eq!(call.id, id);
    call.answer("200 OK", "");
}

/// Idle clients may use up the descriptors while discovery is down. New clients are still served, final outcomes are
/// still notified, and the endpoint list is read once discovery responds, as idle connections are evicted.
#[test]
fn descriptors_used_up_by_idle_clients_block_nothing_while_discovery_is_down() {
    let mut environment = one_destination_each(2);
    environment.sockets = DESCRIPTOR_LIMIT as u32;
    environment.set_discovery_silent(true);
    let gateway = environment.start();
    let mut idle: Vec<Client> = Vec::new();
    connect_idle_clients(&gateway, &mut idle);
    for number in 0..10 {
        deliver_from_new_client(&environment, &gateway, &format!("f{number}"));
    }
    gateway.wait_for_log_line("endpoint watch failed");
    connect_idle_clients(&gateway, &mut idle);
    // The notification of the failure needs a descriptor too.
    assert_eq!(gateway.client().enqueue("lost", "0", "salary", 2, b"x"), "+OK");
    environment.call().reset();
    assert_eq!(environment.notification(), r#"{"id":"lost","state":"failed"}"#);
    environment.drain(0);
    environment.set_discovery_silent(false);
    connect_idle_clients(&gateway, &mut idle);
    gateway.wait_for_log_line("endpoint list updated");
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    // The clients may use up the descriptors right after a restart too.
    let gateway = gateway.kill_and_restart();
    let _idle: Vec<Client> = (0..IDLE_CLIENTS).map(|_| gateway.client()).collect();
    deliver_from_new_client(&environment, &gateway, "again");
}

/// Lets destinations 1, 2 and 4 answer with a long Retry-After, so that their messages wait until a restart ends it.
fn send_long_retry_after(environment: &TestEnvironment, gateway: &RunningGateway, client: &mut Client) {
    for (id, destination) in [("wait1", 1), ("wait2", 2), ("wait4", 4)] {
        assert_eq!(client.enqueue(id, "0", "salary", destination, b"x"), "+OK");
        environment.call().answer("429 Later", "X-Come-Back-Ms: 500000\r\n");
        gateway.wait_for_log_line("Retry-After received");
    }
}

/// Enqueues messages for a delayed destination until the gateway rejects one because its journal is full.
fn fill_journal(client: &mut Client) {
    let mut accepted = 0;
    loop {
        let reply = client.enqueue(&format!("b{accepted}"), "0", "salary", 1, b"x");
        if reply != "+OK" {
            assert!(reply.starts_with("-BUSY "), "{reply}");
            break;
        }
        accepted += 1;
    }
    assert!(accepted > FULL_JOURNAL_MESSAGES, "{accepted} messages fill the journal");
}

/// Waits until all these messages have been sent. None of them may get a final outcome before its call.
fn assert_all_are_sent(environment: &TestEnvironment, ids: &[&str]) {
    let mut unsent = ids.to_vec();
    while !unsent.is_empty() {
        match environment.next_event() {
            StubEvent::Call(call) => {
                unsent.retain(|id| *id != call.id);
                call.answer("200 OK", "");
            }
            StubEvent::Notification(line) => {
                assert!(!line.contains("untried"), "final outcome without a call: {line}")
            }
        }
    }
}

/// A process with a full journal is ready early enough to attempt messages that had no attempt: those that were
/// enqueued with a deadline of 10 s just before the kill, idempotent or not, still get their calls.
#[test]
fn a_restart_with_a_full_journal_is_ready_in_time_for_unattempted_messages() {
    let mut environment = one_destination_each(4);
    environment.max_pending_messages = 100_000;
    let gateway = environment.start();
    let mut client = gateway.client();
    // Two calls whose completion frees room later, since a full journal accepts no message.
    let in_flight: Vec<Call> = ["room1", "room2"]
        .iter()
        .map(|id| {
            assert_eq!(client.enqueue(id, "0", "salary", 3, &[b'x'; 2_000]), "+OK");
            environment.call()
        })
        .collect();
    send_long_retry_after(&environment, &gateway, &mut client);
    fill_journal(&mut client);
    in_flight.into_iter().for_each(|call| call.answer("200 OK", ""));
    for (id, class, destination) in [("untried2", "salary", 2), ("untried4", "notice,k=k4", 4)] {
        let fields = format!("c={class},d=10000,dest={destination}");
        // The gateway may not have read the responses that free the room yet.
        while client.request(&["ENQUEUE", "9", id, fields.as_str(), "x"]) != "+OK" {}
    }
    environment.expect_no_call();
    let gateway = gateway.kill_and_restart();
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    assert_all_are_sent(&environment, &["untried2", "untried4"]);
}

/// An idempotency window may be shorter than a restart takes. A call that was in flight at the kill may have run, so
/// that the next process must not send it again after the window has ended: its message fails at once.
#[test]
fn no_message_is_resent_after_an_idempotency_window_that_ended_before_the_restart() {
    let environment = one_destination_each(2);
    let gateway = environment.start();
    let mut client = gateway.client();
    // The message's idempotency window of 0.4 s begins with its call.
    assert_eq!(client.enqueue("w1", "0", "brief,k=w1", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    // This message fails half a second later.
    assert_eq!(client.request(&["ENQUEUE", "0", "t1", "c=salary,d=500,dest=2", "x"]), "+OK");
    let _unresponsive = environment.call();
    assert_eq!(environment.notification(), r#"{"id":"t1","state":"failed"}"#);
    let gateway = gateway.kill_and_restart();
    // The other message is notified again if the kill came before its acknowledgement was recorded.
    let mut notification = environment.notification();
    while notification.contains(r#""id":"t1""#) {
        notification = environment.notification();
    }
    assert_eq!(notification, r#"{"id":"w1","state":"failed"}"#);
    environment.expect_no_call();
    // The same holds when the next process is killed as well.
    let _gateway = gateway.kill_and_restart();
    environment.expect_no_call();
}
