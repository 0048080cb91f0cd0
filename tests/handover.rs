//! Two processes, one courier: what goes over from one to the other, and what holds when either dies midway.

mod world;

use std::net::TcpListener;
use std::time::Duration;
use world::*;

const SOON: Duration = Duration::from_secs(10);

/// Clients, the queue behind the listener and calls that are out notice nothing, upgrade after upgrade.
#[test]
fn clients_and_calls_notice_nothing() {
    let world = World::patient(1, 3.0);
    let mut old = world.start();
    let (mut idle, mut half) = (old.client(), old.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    for round in 0..3 {
        let id = |name: &str| format!("{name}{round}");
        // Two of one order key: the second waits for the first, which is out while the processes change.
        assert_eq!(idle.enqueue(&id("first"), "9", "notice,k=a", 1, b"1"), "+OK");
        let out = world.call();
        // Clients are let go after 2 s between two requests, and after 1 s within one: nothing slow comes between.
        assert_eq!(half.ask(&["PING"]), "+PONG");
        assert_eq!(idle.enqueue(&id("second"), "9", "notice,k=b", 1, b"2"), "+OK");
        half.send(b"*1\r\n$4\r\nPI");
        let new = world.start();
        half.send(b"NG\r\n");
        assert_eq!(half.line(), "+PONG");
        assert_eq!(idle.enqueue(&id("third"), "0", "salary", 1, b"3"), "+OK");
        assert_eq!((new.operate("GET /_ready"), old.operate("GET /_ready")), (200, 503));
        old.terminate();
        let third = world.call();
        assert_eq!(third.id, id("third"));
        third.answer("200 OK", "");
        assert_eq!(new.client().ask(&["PING"]), "+PONG");
        world.no_call();
        out.answer("200 OK", "");
        let second = world.call();
        assert_eq!(second.id, id("second"));
        second.answer("200 OK", "");
        assert!(old.wait(SOON).success());
        old = new;
        (idle, half) = (old.client(), old.client());
    }
    world.nothing();
}

/// A told wait binds the new process too, as does a ban; the old door still passes calls on.
#[test]
fn waits_and_bans_go_over() {
    let mut world = World::patient(2, 3.0);
    world.apart = true;
    let old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("w1", "0", "salary", 1, b"x"), "+OK");
    world.call().answer("429 Too Many Requests", "X-Come-Back-Ms: 500000\r\n");
    old.log_until("told to wait");
    assert_eq!(old.operate("POST /_endpoints/detach?id=s-1"), 200);
    let new = world.start();
    assert_eq!(client.enqueue("w2", "0", "salary", 1, b"x"), "+OK");
    assert_eq!(client.enqueue("w3", "0", "salary", 2, b"x"), "+OK");
    world.no_call();
    assert_eq!(old.operate("POST /_endpoints/attach?id=s-9"), 404);
    assert_eq!(old.operate("POST /_endpoints/attach?id=s-1"), 200);
    let call = world.call();
    assert_eq!(call.id, "w3");
    call.answer("200 OK", "");
    drop(new);
}

/// A courier that is being emptied goes on with that.
#[test]
fn a_lame_duck_stays_lame() {
    let world = World::patient(1, 3.0);
    let old = world.start();
    assert_eq!(old.operate("POST /_lameduck/on"), 200);
    let new = world.start();
    assert!(new.client().ask(&["PING"]).starts_with("-ERR"));
    assert_eq!(new.operate("POST /_lameduck/off"), 200);
    assert_eq!(new.client().ask(&["PING"]), "+PONG");
}

/// The new process ends calls that the old one has out: a ban withdraws one that is still connecting.
#[test]
fn the_new_process_rules_over_calls_at_the_old() {
    let mut world = World::new(2, 3.0);
    let hanging = world.hang_connections(0);
    let old = world.start();
    let mut client = old.client();
    for id in ["c1", "c2"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, b"x"), "+OK");
    }
    let first = world.call();
    assert_eq!(first.endpoint, 1);
    let new = world.start();
    assert_eq!(new.operate("POST /_endpoints/detach?id=s-0"), 200);
    world.release(hanging);
    let second = world.call();
    assert_eq!(second.endpoint, 1);
    assert_ne!(first.id, second.id);
    first.answer("200 OK", "");
    second.answer("200 OK", "");
    world.nothing();
}

/// If the old process is killed midway, its calls may have run: what may not be repeated has failed, what may goes
/// again, and only then.
#[test]
fn calls_of_a_killed_process_may_have_run() {
    let world = World::patient(2, 3.0);
    let old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    let _unsafe_out = world.call();
    assert_eq!(client.enqueue("k1", "5", "notice,k=k1", 1, b"x"), "+OK");
    let _keyed_out = world.call();
    let new = world.start();
    assert_eq!(new.operate("GET /_ready"), 200);
    world.nothing();
    old.kill();
    let (mut notices, mut calls) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        match world.call_or_notice() {
            Seen::Call(call) => calls.push(call),
            Seen::Notice(line) => notices.push(line),
        }
    }
    assert_eq!(notices, [r#"{"id":"u1","state":"failed"}"#]);
    assert_eq!(calls.iter().map(|call| call.id.as_str()).collect::<Vec<_>>(), ["k1"]);
    calls.into_iter().for_each(|call| call.answer("200 OK", ""));
    assert_eq!(new.client().ask(&["PING"]), "+PONG");
}

/// At its end the old process gives up what is still out, and the new one learns of it.
#[test]
fn what_outlasts_the_old_process_is_given_up() {
    let world = World::patient(1, 3.0);
    let mut old = world.start();
    assert_eq!(old.client().enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    let out = world.call();
    let _new = world.start();
    old.terminate();
    assert!(old.wait(SOON).success());
    assert!(out.is_closed());
    assert_eq!(world.notice(), r#"{"id":"u1","state":"failed"}"#);
}

/// If the new process dies before it has done anything, the old one goes on where it was, with its calls out.
#[test]
fn the_old_process_goes_on_if_the_new_one_dies_at_once() {
    let world = World::patient(1, 3.0);
    let old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("k1", "9", "notice,k=a", 1, b"1"), "+OK");
    let out = world.call();
    assert_eq!(client.enqueue("k2", "9", "notice,k=b", 1, b"2"), "+OK");
    world.start().kill();
    assert!(old.log_until("this one goes on").contains("untouched=true"));
    world.no_call();
    out.answer("200 OK", "");
    let second = world.call();
    assert_eq!(second.id, "k2");
    second.answer("200 OK", "");
    assert_eq!(old.operate("GET /_ready"), 200);
    assert_eq!(old.client().enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    world.call().answer("200 OK", "");
    // It can be replaced as before.
    assert_eq!(world.start().client().ask(&["PING"]), "+PONG");
}

/// If it dies later, the journal holds what it has done; no message has two calls out.
#[test]
fn the_old_process_starts_again_from_the_journal_of_the_new_one() {
    let world = World::patient(1, 3.0);
    let old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("k1", "9", "notice,k=a", 1, b"1"), "+OK");
    let first = world.call();
    let new = world.start();
    assert_eq!(client.enqueue("k2", "9", "notice,k=b", 1, b"2"), "+OK");
    assert_eq!(client.enqueue("u1", "0", "salary", 1, b"3"), "+OK");
    let other = world.call();
    assert_eq!(other.id, "u1");
    new.kill();
    assert!(old.log_until("this one goes on").contains("untouched=false"));
    let (mut notices, mut order) = (Vec::new(), Vec::new());
    while notices.is_empty() || order.len() < 2 {
        match world.call_or_notice() {
            Seen::Call(call) => {
                // Its first call is given up before it goes again.
                assert!(first.is_closed());
                order.push(call.id.clone());
                call.answer("200 OK", "");
            }
            Seen::Notice(line) => notices.push(line),
        }
    }
    assert_eq!(notices, [r#"{"id":"u1","state":"failed"}"#]);
    assert_eq!(order, ["k1", "k2"]);
    assert_eq!(old.client().ask(&["PING"]), "+PONG");
    world.nothing();
}

/// A process with another kind of memory goes on by the journal: calls end first, clients, waits and bans go over.
#[test]
fn a_process_of_another_build_goes_on_by_the_journal() {
    let mut world = World::patient(3, 3.0);
    world.apart = true;
    let mut old = world.start();
    let mut client = old.client();
    assert_eq!(client.enqueue("w1", "0", "salary", 2, b"x"), "+OK");
    world.call().answer("429 Too Many Requests", "X-Come-Back-Ms: 500000\r\n");
    old.log_until("told to wait");
    assert_eq!(old.operate("POST /_endpoints/detach?id=s-2"), 200);
    assert_eq!(client.enqueue("k1", "9", "notice,k=a", 1, b"1"), "+OK");
    let out = world.call();
    world.zone.set("elsewhere");
    let new = world.start_beside();
    old.log_until("calls end before the hand-over");
    // It takes messages on as ever, and begins nothing.
    assert_eq!(client.enqueue("k2", "9", "notice,k=b", 1, b"2"), "+OK");
    assert_eq!(client.enqueue("u3", "0", "salary", 3, b"3"), "+OK");
    assert_eq!(client.enqueue("w2", "0", "salary", 2, b"x"), "+OK");
    out.answer("200 OK", "");
    let new = new.listening();
    assert_eq!((new.operate("GET /_ready"), old.operate("GET /_ready")), (200, 503));
    old.terminate();
    assert!(old.wait(SOON).success());
    let second = world.call();
    assert_eq!(second.id, "k2");
    second.answer("200 OK", "");
    assert_eq!(client.ask(&["PING"]), "+PONG");
    world.no_call();
    assert_eq!(new.operate("POST /_endpoints/attach?id=s-2"), 200);
    let third = world.call();
    assert_eq!(third.id, "u3");
    third.answer("200 OK", "");
    world.nothing();
}

/// A call that takes too long to end is given up before the other process goes on.
#[test]
fn a_hanging_call_does_not_keep_another_build_waiting() {
    let world = World::patient(1, 3.0);
    let old = world.start();
    assert_eq!(old.client().enqueue("u1", "0", "salary", 1, b"x"), "+OK");
    let out = world.call();
    world.zone.set("elsewhere");
    let new = world.start();
    assert!(out.is_closed());
    assert_eq!(world.notice(), r#"{"id":"u1","state":"failed"}"#);
    assert_eq!(new.client().ask(&["PING"]), "+PONG");
}

/// The owner's lock may be free a moment before its address is: the next one waits for it.
#[test]
fn an_address_that_is_still_in_use_is_waited_for() {
    let world = World::new(1, 3.0);
    let before = TcpListener::bind("127.0.0.1:0").unwrap();
    world.listen.set(before.local_addr().unwrap());
    let courier = world.start_beside();
    courier.log_until("the address is still in use");
    assert_eq!(courier.operate("GET /_ready"), 503);
    drop(before);
    let courier = courier.listening();
    assert_eq!(courier.client().ask(&["PING"]), "+PONG");
    assert_eq!(courier.operate("GET /_ready"), 200);
}

/// Where no Unix socket can be had the courier says so and serves.
#[test]
fn without_unix_sockets_the_courier_serves() {
    let world = World::patient(1, 3.0);
    world.start().kill();
    world.refuse_unix_sockets();
    let courier = world.start();
    courier.log_until("no handover is possible");
    let mut client = courier.client();
    assert_eq!(client.enqueue("one", "9", "notice,k=a", 1, b"1"), "+OK");
    assert_eq!(world.call().id, "one");
}

/// A courier that could not offer itself at first does so as soon as it can.
#[test]
fn a_hand_over_is_possible_as_soon_as_its_socket_can_be_made() {
    let world = World::new(1, 3.0);
    let stopped = world.start().kill();
    world.refuse_unix_sockets();
    let old = stopped.restart();
    old.log_until("no handover is possible");
    world.permit_unix_sockets();
    let new = world.start_beside().listening();
    assert!(new.has_logged("the courier was handed over"));
}
