//! The gateway over loopback sockets: each test guards against one way of breaking a guarantee.

mod environment;

use environment::*;
use std::time::{Duration, Instant};

/// A delivered message reaches its endpoint with the body and idempotency key that it was enqueued with, and no
/// notification follows.
#[test]
fn delivers_an_enqueued_message() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.request(&["PING"]), "+PONG");
    assert_eq!(client.enqueue("a1", "0", "salary", 1, b"\x00pay\r\n"), "+OK");
    let call = environment.call();
    assert_eq!((call.id.as_str(), &call.body[..]), ("a1", &b"\x00pay\r\n"[..]));
    assert_eq!(call.header("x-budget").map(|budget| budget.parse::<f64>().is_ok()), Some(true));
    call.answer("200 OK", "");
    assert_eq!(client.enqueue("a2", "5c", "notice,k=77", 1, b"x"), "+OK");
    let call = environment.call();
    assert_eq!(call.header("idempotency-key"), Some("77"));
    call.answer("200 OK", "");
    environment.expect_nothing();
}

/// A tenant beyond its quota would delay one within its quota if messages were sent in the order of arrival. The tenant
/// of a message has to be in the journal, so that the same holds after a restart.
#[test]
fn a_tenant_beyond_its_quota_is_served_last() {
    for restart in [false, true] {
        let mut environment = TestEnvironment::new(1, 3.0);
        environment.max_in_flight_calls = 1;
        let mut gateway = environment.start();
        let mut client = gateway.client();
        assert_eq!(client.enqueue("first", "0", "salary,t=south", 1, b"x"), "+OK");
        let first = environment.call();
        // North has a quota of zero, so that the order does not depend on time.
        for (id, tenant) in [
            ("n1", "north"),
            ("s1", "south"),
            ("n2", "north"),
            ("s2", "south"),
            ("n3", "north"),
            ("s3", "south"),
        ] {
            assert_eq!(client.enqueue(id, "0", &format!("salary,t={tenant}"), 1, b"x"), "+OK");
        }
        if restart {
            gateway = gateway.kill_and_restart();
        } else {
            first.answer("200 OK", "");
        }
        let (mut order, mut notifications) = (Vec::new(), Vec::new());
        // After a restart the notification for the first one and the next call are sent concurrently.
        while order.len() + notifications.len() < 6 + usize::from(restart) {
            match environment.next_event() {
                StubEvent::Call(call) => {
                    order.push(call.id.clone());
                    call.answer("200 OK", "");
                }
                StubEvent::Notification(line) => notifications.push(line),
            }
        }
        assert!(
            notifications.iter().all(|line| line == r#"{"id":"first","state":"failed"}"#),
            "{notifications:?}"
        );
        let south_is_first = order.iter().take(3).all(|id| id.starts_with('s'));
        assert!(south_is_first, "not all messages of south were sent first (restart: {restart}): {order:?}");
        assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    }
}

/// Malformed input gets an error and affects no other client. It would if the parser panicked, recursed into nested
/// arrays or allocated the length that a request announces.
#[test]
fn malformed_requests_get_an_error_and_do_no_harm() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let nested = "*1\r\n".repeat(15_000);
    for bad in [
        "hello\r\n",
        "*-1\r\n",
        "*99999999999999999999\r\n",
        "*2\r\n$4\r\nPING\r\n$99999999\r\n",
        "*1\r\n$4\r\nPINGxx",
        &nested,
    ] {
        let mut client = gateway.client();
        client.send(bad.as_bytes());
        assert!(client.read_line().starts_with("-ERR"), "{bad:.20}");
    }
    let mut client = gateway.client();
    assert!(client.request(&["FLUSH"]).starts_with("-ERR"));
    assert!(client.request(&["ENQUEUE", "0", "id"]).starts_with("-ERR"));
    assert!(client.enqueue("b1", "0", "unheard-of", 1, b"").starts_with("-ERR"));
    assert!(client.enqueue("b\n2", "0", "salary", 1, b"").starts_with("-ERR"));
    assert!(client.request(&["ENQUEUE", "zz", "b3", "c=salary,d=9,dest=1", ""]).starts_with("-ERR"));
    assert_eq!(client.request(&["PING"]), "+PONG");
}

/// A non-idempotent message whose call was in flight when the process was killed may have been processed. It fails at
/// once, since another call could process it twice.
#[test]
fn a_non_idempotent_message_in_flight_at_a_kill_fails() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    let gateway = gateway.kill_and_restart();
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
    assert_eq!(environment.notification(), r#"{"id":"u1","state":"failed"}"#);
    environment.expect_no_call();
}

/// After a kill, an idempotent message whose call was in flight is retried under its idempotency key before the next
/// message of its ordering key. A message that was delivered before the kill is not sent again.
#[test]
fn idempotent_messages_continue_in_order_after_a_kill() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("k0", "9", "notice,k=k0", 1, b"0"), "+OK");
    environment.call().answer("200 OK", "");
    assert_eq!(client.enqueue("k1", "9", "notice,k=k1", 1, b"1"), "+OK");
    let in_flight = environment.call();
    assert_eq!(in_flight.id, "k1");
    assert_eq!(client.enqueue("k2", "9", "notice,k=k2", 1, b"2"), "+OK");
    let _gateway = gateway.kill_and_restart();
    let retry = environment.call();
    assert_eq!((retry.id.as_str(), retry.header("idempotency-key")), ("k1", Some("k1")));
    environment.expect_no_call();
    retry.answer("200 OK", "");
    let next = environment.call();
    assert_eq!(next.id, "k2");
    next.answer("200 OK", "");
}

/// A message that was not delivered is completed when its notification is acknowledged. Until then nothing is sent for
/// the next message with its ordering key, and after a kill the notification is repeated instead of the call.
#[test]
fn an_ordering_key_waits_until_a_notification_is_acknowledged() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    environment.hold_notifications(true);
    assert_eq!(client.enqueue("n1", "9", "brief,k=n1", 1, b"1"), "+OK");
    let first = environment.call();
    assert_eq!(client.enqueue("n2", "9", "notice,k=n2", 1, b"2"), "+OK");
    first.answer("500 Oops", "");
    // The idempotency window of its class is short: the message fails when the window ends.
    let failed = r#"{"id":"n1","state":"failed"}"#;
    loop {
        match environment.next_event() {
            StubEvent::Notification(line) => break assert_eq!(line, failed),
            StubEvent::Call(call) => {
                assert_eq!(call.id, "n1");
                call.answer("500 Oops", "");
            }
        }
    }
    environment.expect_no_call();
    let _gateway = gateway.kill_and_restart();
    assert_eq!(environment.notification(), failed);
    environment.expect_no_call();
    environment.hold_notifications(false);
    let next = environment.call_among_notifications();
    assert_eq!(next.id, "n2");
    next.answer("200 OK", "");
}

/// A refused connection proves that the call was not processed, so that even a non-idempotent message is sent to
/// another endpoint.
#[test]
fn a_non_idempotent_message_is_retried_when_a_connection_is_refused() {
    let mut environment = TestEnvironment::new(2, 3.0);
    environment.reject_connections(0);
    let gateway = environment.start();
    let mut client = gateway.client();
    // While calls are in flight at endpoint 1, endpoint 0 has the fewest calls and is tried.
    let ids = ["r1", "r2", "r3"];
    ids.iter().for_each(|id| assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK"));
    let calls: Vec<Call> = ids.iter().map(|_| environment.call()).collect();
    assert!(calls.iter().all(|call| call.endpoint == 1));
    calls.into_iter().for_each(|call| call.answer("200 OK", ""));
    environment.expect_nothing();
}

/// A call whose connection is reset after it was sent may have been processed, so that a retry could process it twice.
#[test]
fn a_non_idempotent_message_fails_at_once_when_its_connection_is_reset() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("x1", "0", "salary", 1, b"x"), "+OK");
    environment.call().reset();
    assert_eq!(environment.notification(), r#"{"id":"x1","state":"failed"}"#);
    environment.expect_no_call();
}

/// 504 means that the attempts are exhausted and nothing was processed: the message is returned at once. The client may
/// enqueue it again once it is notified, so that no call may be sent for it after a restart either.
#[test]
fn a_message_without_attempts_left_is_returned_at_once_and_not_sent_again() {
    let environment = TestEnvironment::new(1, 3.0);
    environment.hold_notifications(true);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("s1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("504 Spent", "");
    let notification = environment.notification();
    assert!(
        notification.starts_with(r#"{"after_ms":"#) && notification.contains(r#""state":"returned""#),
        "{notification}"
    );
    let _gateway = gateway.kill_and_restart();
    assert_eq!(environment.notification(), notification);
    environment.expect_no_call();
}

/// A Retry-After delays all messages to the destination, also those that are enqueued after it was received.
#[test]
fn a_retry_after_holds_for_all_messages_to_the_destination() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("w1", "0", "salary", 1, b"x"), "+OK");
    let responded_at = Instant::now();
    environment.call().answer("429 Later", "X-Come-Back-Ms: 700\r\n");
    gateway.wait_for_log_line("Retry-After received");
    assert_eq!(client.enqueue("w2", "0", "salary", 1, b"x"), "+OK");
    let call = environment.call();
    assert!(responded_at.elapsed() >= Duration::from_millis(700), "after {:?}", responded_at.elapsed());
    call.answer("200 OK", "");
    environment.call().answer("200 OK", "");
}

/// A draining endpoint stays draining after a restart: the journal has the newer list, while the configured one still
/// has the endpoint as serving and discovery does not respond.
#[test]
fn a_draining_endpoint_stays_draining_across_a_restart() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    environment.drain(0);
    gateway.wait_for_log_line("endpoint list updated");
    environment.set_discovery_silent(true);
    let gateway = gateway.kill_and_restart();
    let mut client = gateway.client();
    let mut open = Vec::new();
    for id in ["e1", "e2", "e3"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        assert_eq!(call.endpoint, 1);
        open.push(call);
    }
    open.into_iter().for_each(|call| call.answer("200 OK", ""));
}

/// On SIGTERM, calls in flight finish, new connections are served, idle ones are closed, and the process exits before
/// it would be killed.
#[test]
fn sigterm_finishes_calls_in_flight_and_accepts_until_the_end() {
    let environment = TestEnvironment::new(1, 3.0);
    let mut gateway = environment.start();
    let mut idle = gateway.client();
    assert_eq!(idle.enqueue("t1", "0", "salary", 1, b"x"), "+OK");
    let in_flight = environment.call();
    gateway.send_sigterm();
    assert!(idle.is_closed());
    assert_eq!(gateway.client().enqueue("t2", "0", "salary", 1, b"x"), "+OK");
    in_flight.answer("200 OK", "");
    let second = environment.call();
    assert_eq!(second.id, "t2");
    second.answer("200 OK", "");
    assert!(gateway.wait(Duration::from_millis(3700)).success());
    environment.expect_nothing();
}

/// An unresponsive call does not delay the exit until SIGKILL, and its message fails at the next start.
#[test]
fn sigterm_does_not_wait_for_an_unresponsive_call() {
    let environment = TestEnvironment::new(1, 3.0);
    let mut gateway = environment.start();
    assert_eq!(gateway.client().enqueue("h1", "0", "salary", 1, b"x"), "+OK");
    let _unresponsive = environment.call();
    gateway.send_sigterm();
    assert!(gateway.wait(Duration::from_millis(3700)).success());
    let _gateway = gateway.kill_and_restart();
    assert_eq!(environment.notification(), r#"{"id":"h1","state":"failed"}"#);
}

/// A journal without room for more messages rejects them instead of losing accepted ones. The disk space in use stays
/// within the limit, and a restart finds all accepted messages. Pending messages may take less than half of the limit,
/// so that the old and the new file of a compaction fit within it together.
#[test]
fn a_full_journal_rejects_messages_and_keeps_accepted_ones() {
    let environment = TestEnvironment::with_long_deadlines(1, 0.3);
    let gateway = environment.start();
    let mut client = gateway.client();
    let body = vec![b'x'; 4000];
    let mut accepted = 0;
    for number in 0..60 {
        match client.enqueue(&format!("f{number}"), "0", "salary", 1, &body).as_str() {
            "+OK" => accepted += 1,
            reply => assert!(reply.starts_with("-BUSY "), "{reply}"),
        }
        assert!(environment.disk_used_bytes() <= 300_000);
    }
    assert!((5..60).contains(&accepted), "{accepted} of 60 messages were accepted");
    let gateway = gateway.kill_and_restart();
    assert!(gateway.wait_for_log_line("journal replayed").contains(&format!("pending={accepted}")));
}

/// A long endpoint list takes a part of the disk space that compaction cannot free. If the file grows until no copy of the
/// list fits beside it, the journal can never be compacted again: no message is accepted, and no attempt starts.
#[test]
fn a_journal_with_a_long_endpoint_list_can_always_be_compacted() {
    let mut environment = TestEnvironment::with_long_deadlines(1, 0.3);
    // The list takes about a tenth of the disk space.
    environment.grow_to(700);
    let gateway = environment.start();
    let mut client = gateway.client();
    let body = vec![b'x'; 4000];
    let (mut accepted, mut answered) = (0, 0);
    // Enqueues as much as the journal takes. From then on each delivered message makes room for another one, so that
    // the file grows while the pending messages stay as many.
    for number in 0..120 {
        match client.enqueue(&format!("f{number}"), "0", "salary", 1, &body).as_str() {
            "+OK" => accepted += 1,
            reply => {
                assert!(reply.starts_with("-BUSY "), "{reply}");
                environment.call().answer("200 OK", "");
                answered += 1;
            }
        }
        assert!(environment.disk_used_bytes() <= 300_000);
    }
    assert!(answered > 30, "{accepted} accepted, {answered} answered");
    for _ in answered..accepted {
        environment.call().answer("200 OK", "");
    }
    assert_eq!(client.enqueue("later", "0", "salary", 1, &body), "+OK");
    assert_eq!(environment.call().id, "later");
}

/// A write that a crash has cut short leaves a torn or damaged tail. It is truncated, the records before it are kept,
/// and the process starts.
#[test]
fn a_torn_journal_is_replayed_up_to_the_tear() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("j1", "0", "salary", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    drop(client);
    let gateway = gateway.kill();
    environment.append_to_journal(&[200, 0, 0, 0, 1, 2, 3, 4, 5, 6]);
    let gateway = gateway.restart();
    assert!(gateway.wait_for_log_line("journal replayed").contains("pending=1"));
    assert_eq!(environment.notification(), r#"{"id":"j1","state":"failed"}"#);
}

/// A disk limit that leaves no room for one record leads to rejections, not to a crash.
#[test]
fn a_journal_without_room_for_a_record_rejects_messages() {
    let environment = TestEnvironment::new(1, 0.0001);
    let gateway = environment.start();
    assert!(gateway.client().enqueue("z1", "0", "salary", 1, b"x").starts_with("-BUSY "));
    assert_eq!(gateway.client().request(&["PING"]), "+PONG");
}

/// Messages whose final outcome is not acknowledged count as pending too: at the limit, one more message is rejected
/// with the time after which the client may enqueue it again.
#[test]
fn no_more_messages_are_pending_than_the_settings_allow() {
    let mut environment = TestEnvironment::with_long_deadlines(1, 3.0);
    environment.max_pending_messages = 3;
    environment.hold_notifications(true);
    let gateway = environment.start();
    let mut client = gateway.client();
    for id in ["m1", "m2"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
    }
    let calls = [environment.call(), environment.call()];
    // Near its limit, the scheduler returns the next message at once. It is pending until its notification is
    // acknowledged.
    assert_eq!(client.enqueue("m3", "0", "salary", 1, b"x"), "+OK");
    assert!(environment.notification().contains(r#""id":"m3","state":"returned""#));
    let answer = client.enqueue("m4", "0", "salary", 1, b"x");
    let after = answer.strip_prefix("-BUSY ").and_then(|ms| ms.parse::<u64>().ok());
    assert!(after.is_some_and(|ms| ms > 0), "{answer}");
    // A repeated request for a pending message is accepted, since it adds none.
    assert_eq!(client.enqueue("m1", "0", "salary", 1, b"x"), "+OK");
    calls.into_iter().for_each(|call| call.answer("200 OK", ""));
    environment.expect_no_call();
}

/// A timed-out call closes its connection before the next attempt is sent: on an open connection the endpoint could
/// still process the earlier one, so that two would run at once.
#[test]
fn a_timed_out_call_is_closed_before_the_next_attempt() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("c1", "9", "notice,k=c1", 1, b"x"), "+OK");
    let first = environment.call();
    let second = environment.call();
    assert_eq!(second.id, "c1");
    assert!(first.is_closed());
    second.answer("200 OK", "");
    environment.expect_nothing();
}

/// A discovery that does not respond must not count as an empty endpoint list: delivery continues, and the watch is
/// established again when discovery responds.
#[test]
fn delivery_continues_while_discovery_is_silent() {
    let environment = TestEnvironment::new(2, 3.0);
    environment.set_discovery_silent(true);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("q1", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    gateway.wait_for_log_line("endpoint watch failed");
    assert_eq!(gateway.client().enqueue("q2", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    environment.drain(0);
    environment.set_discovery_silent(false);
    gateway.wait_for_log_line("endpoint list updated");
}

/// Endpoint lists may be indented, also on the watch, and arrive in pieces. One that breaks off at an empty line is
/// malformed: the watch fails at that line, and is established again instead of waiting for the rest.
#[test]
fn an_indented_endpoint_list_is_read_and_a_broken_one_is_not_waited_for() {
    let environment = TestEnvironment::new(2, 3.0);
    let gateway = environment.start();
    let text = environment.indented_drain_update(0);
    let (first, rest) = text.split_at(text.len() / 2);
    environment.announce_text(first);
    environment.announce_text(rest);
    gateway.wait_for_log_line("endpoint list updated revision=2 changed=1");
    for id in ["i1", "i2"] {
        assert_eq!(gateway.client().enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        assert_eq!(call.endpoint, 1);
        call.answer("200 OK", "");
    }
    environment.announce_text("{\n  \"rev\": 3,\n");
    environment.announce_text("\n");
    gateway.wait_for_log_line("endpoint watch failed");
}

/// A slow discovery is requested once: a gateway that closes the connection too early would repeat the request while
/// discovery still serves it.
#[test]
fn a_slow_discovery_is_requested_once() {
    let environment = TestEnvironment::new(1, 3.0);
    environment.delay_discovery(Duration::from_millis(1500));
    let gateway = environment.start();
    gateway.client();
    environment.drain(0);
    gateway.wait_for_log_line("endpoint list updated");
    assert_eq!(environment.watches(), 1);
}

/// A notification without acknowledgement may have been lost, so that it is repeated.
#[test]
fn a_notification_is_sent_until_it_is_acknowledged() {
    let environment = TestEnvironment::new(1, 3.0);
    environment.hold_notifications(true);
    let gateway = environment.start();
    assert_eq!(gateway.client().enqueue("o1", "0", "salary", 1, b"x"), "+OK");
    environment.call().reset();
    let failed = r#"{"id":"o1","state":"failed"}"#;
    assert_eq!(environment.notification(), failed);
    assert_eq!(environment.notification(), failed);
    environment.hold_notifications(false);
    // Notifications queued behind it are sent once it is acknowledged.
    assert_eq!(gateway.client().enqueue("o2", "0", "salary", 1, b"x"), "+OK");
    loop {
        match environment.next_event() {
            StubEvent::Call(call) => call.reset(),
            StubEvent::Notification(line) if line == failed => {}
            StubEvent::Notification(line) => break assert_eq!(line, r#"{"id":"o2","state":"failed"}"#),
        }
    }
}

/// A connection to the agent may stop responding while the agent itself responds on others. An outer requirement is
/// that a final outcome is notified within 300 ms of its message's deadline. So the notification is resent early on
/// another connection, together with those queued behind it. The test allows 500 ms from the resets of the calls.
#[test]
fn a_notification_on_an_unresponsive_connection_is_resent_in_time() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    let mut in_flight = Vec::new();
    for id in ["n1", "n2", "n3"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        in_flight.push(environment.call());
    }
    let failed = |id: &str| format!(r#"{{"id":"{id}","state":"failed"}}"#);
    in_flight.remove(0).reset();
    assert_eq!(environment.notification(), failed("n1"));
    environment.lose_notifications(1);
    let reset_at = Instant::now();
    in_flight.into_iter().for_each(Call::reset);
    let mut notified = [environment.notification(), environment.notification()];
    assert!(reset_at.elapsed() < Duration::from_millis(500), "after {:?}", reset_at.elapsed());
    notified.sort();
    assert_eq!(notified, ["n2", "n3"].map(failed));
    environment.expect_nothing();
}

/// A journal that is compacted many times stays within the disk limit and keeps pending messages.
#[test]
fn a_long_journal_is_compacted() {
    let environment = TestEnvironment::with_long_deadlines(1, 0.1);
    let gateway = environment.start();
    let mut client = gateway.client();
    assert_eq!(client.enqueue("kept", "0", "salary", 1, b"x"), "+OK");
    let _in_flight = environment.call();
    let body = vec![b'x'; 2000];
    for number in 0..150 {
        assert_eq!(client.enqueue(&format!("l{number}"), "0", "salary", 1, &body), "+OK");
        environment.call().answer("200 OK", "");
        assert!(environment.disk_used_bytes() <= 100_000);
    }
    let gateway = gateway.kill_and_restart();
    assert_eq!(environment.notification(), r#"{"id":"kept","state":"failed"}"#);
    drop(gateway);
}

/// A call on an idle connection that the endpoint has closed would be lost.
#[test]
fn a_closed_connection_is_not_reused() {
    let environment = TestEnvironment::new(1, 3.0);
    let gateway = environment.start();
    let mut client = gateway.client();
    for id in ["y1", "y2", "y3"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
        let call = environment.call();
        assert_eq!(call.id, id);
        call.answer("200 OK", "Connection: close\r\n");
    }
    environment.expect_nothing();
}

/// A call may still be connecting when a Retry-After arrives. It must not be sent before the Retry-After ends, even if
/// its connection is established earlier. Calls that still connect when their endpoint begins to drain are withdrawn in
/// the same way.
#[test]
fn calls_still_connecting_are_withdrawn_on_a_retry_after() {
    let mut environment = TestEnvironment::new(2, 3.0);
    let hanging = environment.hang_connections(0);
    let gateway = environment.start();
    let mut client = gateway.client();
    // One message goes to each endpoint, since the endpoint without a call in flight is chosen.
    for id in ["v1", "v2"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
    }
    let call = environment.call();
    assert_eq!(call.endpoint, 1);
    let responded_at = Instant::now();
    call.answer("429 Later", "X-Come-Back-Ms: 3500\r\n");
    gateway.wait_for_log_line("Retry-After received");
    environment.release(hanging);
    for _ in 0..2 {
        let call = environment.call();
        assert!(responded_at.elapsed() >= Duration::from_millis(3500), "after {:?}", responded_at.elapsed());
        call.answer("200 OK", "");
    }
}

/// A retry may still be connecting when its idempotency window ends. It must not be sent once its connection is
/// established, as the endpoint may no longer recognize the repetition.
#[test]
fn a_retry_still_connecting_at_the_end_of_its_window_is_not_sent() {
    let mut environment = TestEnvironment::new(2, 3.0);
    let hanging = environment.hang_connections(0);
    let gateway = environment.start();
    let mut client = gateway.client();
    // One message goes to each endpoint. The endpoint that responds is then disabled, so that the retry has to go to
    // the other one.
    for id in ["w1", "w2"] {
        assert_eq!(client.enqueue(id, &id[1..], "brief,k=w", 1, b"x"), "+OK");
    }
    let failed = environment.call();
    assert_eq!(failed.endpoint, 1);
    assert_eq!(gateway.admin_request("POST /_endpoints/detach?id=s-1"), 200);
    let (id, answered_at) = (failed.id.clone(), Instant::now());
    failed.answer("500 No", "");
    assert_eq!(environment.notification(), format!(r#"{{"id":"{id}","state":"failed"}}"#));
    assert!(
        answered_at.elapsed() < Duration::from_secs(4),
        "the failure waited for the connection: {:?}",
        answered_at.elapsed()
    );
    environment.release(hanging);
    let other = environment.call();
    assert_ne!(other.id, id, "it was sent after its idempotency window");
    other.answer("200 OK", "");
    environment.expect_nothing();
}

/// A call that several messages share may go on connecting until the last of their deadlines. A message that expires
/// meanwhile gets its final outcome and must not be sent with the others.
#[test]
fn a_message_that_expires_while_its_shared_call_connects_is_not_sent() {
    let mut environment = TestEnvironment::new(1, 3.0);
    environment.max_batch_size = 4;
    let hanging = environment.hang_connections(0);
    let gateway = environment.start();
    let mut client = gateway.client();
    // Both messages wait for the disabled endpoint, so that they share a call.
    assert_eq!(gateway.admin_request("POST /_endpoints/detach?id=s-0"), 200);
    for (id, left) in [("short", 2000), ("long", 20_000)] {
        let fields = format!("c=salary,d={left},dest=1");
        assert_eq!(client.request(&["ENQUEUE", "0", id, fields.as_str(), "x"]), "+OK");
    }
    assert_eq!(gateway.admin_request("POST /_endpoints/attach?id=s-0"), 200);
    let notification = environment.notification();
    assert!(
        notification.starts_with(r#"{"after_ms":"#)
            && notification.contains(r#""id":"short","state":"returned""#),
        "{notification}"
    );
    environment.release(hanging);
    let call = environment.call();
    assert_eq!((call.path.as_str(), call.id.as_str()), ("/hook", "long"));
    call.answer("200 OK", "");
    gateway.wait_for_log_line("messages waited too long for a connection");
    environment.expect_nothing();
}

/// Idle connections are kept at each endpoint, also where there are several times as many endpoints as call slots. If
/// only as many as slots were kept, each call would evict a connection that is needed again soon.
#[test]
fn idle_connections_are_kept_at_more_endpoints_than_slots() {
    let mut environment = TestEnvironment::with_long_deadlines(6, 3.0);
    (environment.max_in_flight_calls, environment.destination_per_endpoint) = (2, true);
    let gateway = environment.start();
    let mut client = gateway.client();
    let mut round = |number: u32| -> Vec<_> {
        (1..=6)
            .map(|destination| {
                let id = format!("p{number}-{destination}");
                assert_eq!(client.enqueue(&id, "0", "salary", destination, b"x"), "+OK");
                let call = environment.call();
                let connection = call.gateway_address();
                call.answer("200 OK", "");
                connection
            })
            .collect()
    };
    assert_eq!(round(1), round(2));
}
