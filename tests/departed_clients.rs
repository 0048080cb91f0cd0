//! Messages of clients that leave before they have read a reply, by a close or a reset, in either process of an upgrade.
//! Such a client may come again with the same request: the message must not run twice, and must not get lost.

mod environment;

use environment::*;
use socket2::SockRef;
use std::time::Duration;

/// The start of a request whose rest does not follow, so that a client with buffered requests seems to go on.
const PARTIAL_REQUEST: &[u8] = b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nh";
/// The number of payments that a client sends at once before it leaves.
const PAYMENTS: usize = 5;
/// The maximum number of payments until one has its call out when its reply fails.
const MAX_TRIES: usize = 10;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
}

impl Departure {
    fn leave(self, client: Client) {
        if matches!(self, Departure::Reset) {
            SockRef::from(client.stream.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
}

/// A payment whose client has left without a reply, and its call, which is out.
struct AbandonedPayment {
    id: String,
    call: Call,
}

/// Sends requests whose replies cannot be written until the call of one of them is sent all the same. A call that has no
/// idle connection has not been sent yet when the reply fails, and is withdrawn.
fn abandon_payment(environment: &TestEnvironment, gateway: &RunningGateway) -> AbandonedPayment {
    assert_eq!(gateway.client().enqueue("warm-up", "0", "salary", 1, b"x"), "+OK");
    environment.call().answer("200 OK", "");
    for number in 0..MAX_TRIES {
        let id = format!("p{number}");
        environment.fail(SystemCall::TcpWrite, Fault::always(&[libc::EPIPE]).times(1));
        let mut client = gateway.client();
        client.send_enqueue(&id, "0", "salary", 1, b"pay");
        assert!(client.is_closed());
        match environment.event_within(Duration::from_millis(300)) {
            Some(StubEvent::Call(call)) => {
                assert_eq!(call.id, id);
                return AbandonedPayment { id, call };
            }
            Some(StubEvent::Notification(line)) => panic!("unexpected notification: {line}"),
            None => {}
        }
    }
    panic!("no call was sent before its reply failed");
}

/// A client that left before its reply withdrew the message, also while its call was out. Its id was free then, and the
/// payment was made again when the client came back.
#[test]
fn a_payment_whose_call_is_out_is_known_after_its_client_has_left() {
    let environment = TestEnvironment::with_faults(1, 1);
    let gateway = environment.start();
    let AbandonedPayment { id, call } = abandon_payment(&environment, &gateway);
    assert_eq!(gateway.client().enqueue(&id, "0", "salary", 1, b"pay"), "+OK");
    call.answer("200 OK", "");
    environment.expect_nothing();
    let gateway = gateway.kill_and_restart();
    assert_eq!(gateway.client().enqueue(&id, "0", "salary", 1, b"pay"), "+OK");
    environment.expect_nothing();
}

/// The outcome of the call decides what becomes of such a message. If the endpoint certainly has not processed it, the
/// message is withdrawn: its id is free, and a repeated request is a new message that is delivered.
#[test]
fn an_abandoned_message_that_has_not_run_is_withdrawn() {
    let environment = TestEnvironment::with_faults(1, 1);
    let gateway = environment.start();
    let AbandonedPayment { id, call } = abandon_payment(&environment, &gateway);
    call.answer("503 Busy", "X-Line-Busy: 1\r\n");
    environment.expect_nothing();
    assert_eq!(gateway.client().enqueue(&id, "0", "salary", 1, b"pay"), "+OK");
    let call = environment.call();
    assert_eq!(call.id, id);
    call.answer("200 OK", "");
    environment.expect_nothing();
}

/// A message may have its outcome before its client is known to have left. It was withdrawn all the same, and its id was
/// free while its notification was still repeated: that would have ended the message that took the id next.
#[test]
fn an_abandoned_message_that_was_ended_by_a_notification_is_known() {
    let environment = TestEnvironment::with_faults(1, 1);
    environment.hold_notifications(true);
    let gateway = environment.start();
    environment.fail(SystemCall::TcpWrite, Fault::always(&[libc::EPIPE]).times(1));
    let mut client = gateway.client();
    client.send_command(&["ENQUEUE", "0", "p1", "d=0,c=salary,dest=1", "pay"]);
    assert!(client.is_closed());
    assert!(environment.notification().contains(r#""id":"p1""#));
    assert_eq!(gateway.client().enqueue("p1", "0", "salary", 1, b"pay"), "+OK");
    // The notification is repeated until it is acknowledged.
    environment.hold_notifications(false);
    while let Some(event) = environment.event_within(Duration::from_millis(300)) {
        assert!(matches!(event, StubEvent::Notification(_)), "the message was sent after its end");
    }
}

/// A handover between the lost reply and the repeated request: the successor must know the payment, whether its call is
/// finished by the predecessor or has to end before the handover.
#[test]
fn a_payment_whose_call_is_out_is_known_to_successors_after_its_client_has_left() {
    for zone in ["kingston", "elsewhere"] {
        let environment = TestEnvironment::with_faults(1, 1);
        let predecessor = environment.start();
        let AbandonedPayment { id, call } = abandon_payment(&environment, &predecessor);
        environment.zone.set(zone);
        let successor = environment.start_beside();
        let mut call = Some(call);
        if zone == "elsewhere" {
            predecessor.wait_for_log_line("finishing calls before the handover");
            call.take().unwrap().answer("200 OK", "");
        }
        let successor = successor.listening();
        assert_eq!(successor.client().enqueue(&id, "0", "salary", 1, b"pay"), "+OK");
        if let Some(call) = call {
            call.answer("200 OK", "");
        }
        environment.expect_nothing();
        drop(predecessor);
        assert_eq!(successor.client().enqueue(&id, "0", "salary", 1, b"pay"), "+OK");
        environment.expect_nothing();
    }
}

/// Sends several payments at once and leaves, while the gateway is stopped, so that all bytes and the end of the
/// connection are there when it reads.
fn send_and_leave(gateway: &RunningGateway, departure: Departure) {
    gateway.while_stopped(|| {
        let mut client = gateway.client();
        for number in 0..PAYMENTS {
            client.send_enqueue(&format!("p{number}"), "0", "salary", 1, b"pay");
        }
        client.send(PARTIAL_REQUEST);
        departure.leave(client);
    });
}

/// Sends the payments of [`send_and_leave`] again, each until it is accepted, and delivers what the gateway sends, until
/// it sends nothing more. Each payment must have been sent once.
fn come_again(environment: &TestEnvironment, gateway: &RunningGateway, mut calls: Vec<Call>) {
    for number in 0..PAYMENTS {
        assert_eq!(gateway.client().enqueue(&format!("p{number}"), "0", "salary", 1, b"pay"), "+OK");
    }
    let mut sent: Vec<String> = Vec::new();
    loop {
        for call in calls.drain(..) {
            sent.push(call.id.clone());
            call.answer("200 OK", "");
        }
        match environment.event_within(Duration::from_millis(300)) {
            Some(StubEvent::Call(call)) => calls.push(call),
            Some(StubEvent::Notification(line)) => panic!("unexpected notification: {line}"),
            None => break,
        }
    }
    sent.sort();
    let expected: Vec<String> = (0..PAYMENTS).map(|number| format!("p{number}")).collect();
    assert_eq!(sent, expected);
}

/// Returns the calls that arrive before the gateway has been idle for a while.
fn calls_until_idle(environment: &TestEnvironment) -> Vec<Call> {
    let mut calls = Vec::new();
    while let Some(event) = environment.event_within(Duration::from_millis(300)) {
        match event {
            StubEvent::Call(call) => calls.push(call),
            StubEvent::Notification(line) => panic!("unexpected notification: {line}"),
        }
    }
    calls
}

/// A client that left with its requests unread had them sent on afterwards, and each one whose reply could not be
/// written ran again when the client came back.
#[test]
fn payments_of_a_client_that_left_run_once() {
    for departure in [Departure::Close, Departure::Reset] {
        let environment = TestEnvironment::with_long_deadlines(1, 3.0);
        let gateway = environment.start();
        send_and_leave(&gateway, departure);
        let calls = calls_until_idle(&environment);
        assert!(calls.is_empty(), "{} payments were sent after {departure:?}", calls.len());
        come_again(&environment, &gateway, calls);
    }
}

/// The same with a handover between the departure and the return.
#[test]
fn payments_of_a_client_that_left_run_once_over_an_upgrade() {
    for departure in [Departure::Close, Departure::Reset] {
        let environment = TestEnvironment::with_long_deadlines(1, 3.0);
        let predecessor = environment.start();
        send_and_leave(&predecessor, departure);
        let calls = calls_until_idle(&environment);
        let successor = environment.start();
        come_again(&environment, &successor, calls);
    }
}
