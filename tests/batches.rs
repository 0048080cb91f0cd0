//! Calls that carry several messages to one endpoint, over loopback sockets.

mod world;

use std::time::{Duration, Instant};
use world::*;

/// A world with one slot, which a message holds, so that those behind it wait together.
fn one_slot() -> World {
    let mut world = World::new(1, 3.0);
    (world.batch, world.slots) = (4, 1);
    world
}

/// Hands messages in behind one that holds the slot, and lets them go.
fn behind_one(world: &World, courier: &Scheduler, messages: &[(&str, &str)]) {
    let mut client = courier.client();
    assert_eq!(client.enqueue("first", "0", "salary", 1, b"x"), "+OK");
    let first = world.call();
    assert_eq!((first.path.as_str(), first.id.as_str()), ("/hook", "first"));
    for (id, class) in messages {
        assert_eq!(client.enqueue(id, "0", class, 1, id.as_bytes()), "+OK");
    }
    first.answer("200 OK", "");
}

/// What waits for an endpoint that takes several at once goes in one call, and each has an end of its own.
#[test]
fn messages_that_wait_together_share_a_call() {
    let world = one_slot();
    let courier = world.start();
    behind_one(
        &world,
        &courier,
        &[("b1", "salary"), ("b2", "notice,k=k2"), ("b3", "salary"), ("b4", "salary")],
    );
    let call = world.call();
    assert_eq!(call.header("x-budget").map(|budget| budget.parse::<f64>().is_ok()), Some(true));
    let mut carried = call.batched();
    carried.sort();
    let item =
        |id: &str, key: Option<&str>, body: &str| (id.to_owned(), key.map(str::to_owned), body.to_owned());
    let expected = [
        item("b1", None, "YjE="),
        item("b2", Some("k2"), "YjI="),
        item("b3", None, "YjM="),
        item("b4", None, "YjQ="),
    ];
    assert_eq!(carried, expected);
    call.answer_each("", &[("b4", "gone"), ("b1", "ok"), ("b3", "error"), ("b2", "error")]);
    // Only the keyed one may go again; the unsafe one may have run and fails, and nothing is owed for the others.
    let (mut failed, mut again) = (false, false);
    while !(failed && again) {
        match world.call_or_notice() {
            Seen::Notice(line) => {
                assert_eq!(line, r#"{"id":"b3","state":"failed"}"#);
                failed = true;
            }
            Seen::Call(call) => {
                assert_eq!((call.id.as_str(), call.header("idempotency-key")), ("b2", Some("k2")));
                call.answer("200 OK", "");
                again = true;
            }
        }
    }
    world.nothing();
}

/// A wait beside the ends of the messages binds like any other.
#[test]
fn a_wait_in_a_shared_answer_is_heeded() {
    let world = one_slot();
    let courier = world.start();
    behind_one(&world, &courier, &[("w1", "salary"), ("w2", "salary")]);
    let call = world.call();
    let told = Instant::now();
    call.answer_each("X-Come-Back-Ms: 700\r\n", &[("w1", "ok"), ("w2", "ok")]);
    courier.log_until("Retry-After received");
    assert_eq!(courier.client().enqueue("w3", "0", "salary", 1, b"x"), "+OK");
    let call = world.call();
    assert!(told.elapsed() >= Duration::from_millis(700), "after {:?}", told.elapsed());
    call.answer("200 OK", "");
    world.nothing();
}

/// For several messages the first line says nothing of each: where the rest cannot be read they may have run.
#[test]
fn a_shared_answer_that_cannot_be_read_may_have_run() {
    for (number, answer) in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n[",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    ]
    .iter()
    .enumerate()
    {
        let world = one_slot();
        let courier = world.start();
        behind_one(&world, &courier, &[("s1", "salary"), ("s2", "salary")]);
        let call = world.call();
        assert_eq!(call.batched().len(), 2);
        let stream = call.stream();
        call.raw(answer.as_bytes());
        if number == 1 {
            let _ = stream.shutdown(std::net::Shutdown::Write);
        }
        let mut told = [world.notice(), world.notice()];
        told.sort();
        assert_eq!(told, [r#"{"id":"s1","state":"failed"}"#, r#"{"id":"s2","state":"failed"}"#]);
        world.no_call();
    }
}

/// Nor is an end believed that is told twice; those beside it are.
#[test]
fn an_end_that_is_told_twice_is_none() {
    let world = one_slot();
    let courier = world.start();
    behind_one(&world, &courier, &[("t1", "salary"), ("t2", "salary")]);
    let call = world.call();
    assert_eq!(call.batched().len(), 2);
    call.answer_each("", &[("t1", "ok"), ("t2", "ok"), ("t1", "later")]);
    assert_eq!(world.notice(), r#"{"id":"t1","state":"failed"}"#);
    world.nothing();
}

/// A call that several share ends when the time of one of them is over: the partner may take the whole of it for
/// over, and what it answers then delivers nothing (short days, seeds 1 to 20: each message of a call that hung and
/// was answered 4 to 180 ms after the time of its first one was lost). The others go again under their keys.
#[test]
fn a_shared_call_ends_with_the_first_of_its_messages() {
    let world = one_slot();
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("first", "0", "salary", 1, b"x"), "+OK");
    let first = world.call();
    for (id, left) in [("short", 1000), ("long", 20_000)] {
        let fields = format!("c=notice,d={left},dest=1,k=k-{id}");
        assert_eq!(client.ask(&["ENQUEUE", "0", id, fields.as_str(), "x"]), "+OK");
    }
    first.answer("200 OK", "");
    let shared = world.call();
    let mut carried: Vec<_> = shared.batched().into_iter().map(|(id, ..)| id).collect();
    carried.sort();
    assert_eq!(carried, ["long", "short"]);
    let budget: f64 = shared.header("x-budget").unwrap().parse().unwrap();
    assert!(budget <= 1.0, "{budget}");
    assert_eq!(world.notice(), r#"{"id":"short","state":"failed"}"#);
    // The answer comes all the same.
    shared.answer_each("", &[("short", "ok"), ("long", "ok")]);
    let again = world.call();
    assert_eq!((again.id.as_str(), again.header("idempotency-key")), ("long", Some("k-long")));
    again.answer("200 OK", "");
    world.nothing();
}

/// Bodies too long for one call go in more.
#[test]
fn long_bodies_are_dealt_out_over_calls() {
    let world = one_slot();
    let courier = world.start();
    let mut client = courier.client();
    assert_eq!(client.enqueue("first", "0", "salary", 1, b"x"), "+OK");
    let first = world.call();
    let body = vec![b'x'; 40 << 10];
    for id in ["l1", "l2"] {
        assert_eq!(client.enqueue(id, "0", "salary", 1, &body), "+OK");
    }
    first.answer("200 OK", "");
    for _ in 0..2 {
        let call = world.call();
        assert_eq!((call.path.as_str(), call.body.len()), ("/hook", body.len()));
        call.answer("200 OK", "");
    }
    world.nothing();
}
