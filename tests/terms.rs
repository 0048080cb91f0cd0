//! Terms in force that the bench may not show, over loopback sockets. Where a term names a time, the verdict goes by
//! what comes first: the end of a message that has just so much time, or what is due by then.

mod world;

use world::*;

/// A destination for each endpoint, and endpoints enough for these tests.
fn apart(endpoints: usize) -> World {
    let mut world = World::patient(endpoints, 3.0);
    world.apart = true;
    world
}

/// Hands in a message that has 6 s, as much as it may take until a change counts as told; its call hangs.
fn begin_six_seconds(world: &World, courier: &Scheduler, destination: u16) -> Call {
    let fields = format!("c=salary,d=6000,dest={destination}");
    assert_eq!(courier.client().ask(&["ENQUEUE", "0", "six", fields.as_str(), "x"]), "+OK");
    let call = world.call();
    assert_eq!(call.id, "six");
    call
}

/// When the 6 s are over, a message for what drains is handed back; it would be sent if the drain was not known.
fn knows_of_the_drain(world: &World, courier: &Scheduler, drained: u16) {
    assert_eq!(world.notice(), r#"{"id":"six","state":"failed"}"#);
    let fields = format!("c=salary,d=500,dest={drained}");
    assert_eq!(courier.client().ask(&["ENQUEUE", "0", "after", fields.as_str(), "x"]), "+OK");
    let told = world.notice();
    assert!(told.contains(r#""id":"after","state":"returned""#), "{told}");
}

/// A watch that falls silent is broken, and what it misses counts as told 6 s later: it is opened anew before. The
/// world's watches are silent from their first line on.
#[test]
fn what_a_silent_watch_missed_is_heard_before_it_counts_as_told() {
    let world = apart(2);
    let courier = world.start();
    let _out = begin_six_seconds(&world, &courier, 2);
    courier.log_until("endpoint watch failed");
    world.drain(0);
    knows_of_the_drain(&world, &courier, 1);
}

/// A call for the list that discovery took and never answered is given up, and the next one is in time too.
#[test]
fn what_discovery_has_at_its_return_is_heard_before_it_counts_as_told() {
    let world = apart(2);
    world.silence_discovery(true);
    let courier = world.start();
    courier.log_until("endpoint watch failed");
    // The next call is out by the end of this, and hangs too: none is answered that came before the return.
    world.no_call();
    world.drain(0);
    let _out = begin_six_seconds(&world, &courier, 2);
    world.silence_discovery(false);
    knows_of_the_drain(&world, &courier, 1);
}

/// Idle clients fill the descriptors while discovery is down, those that never asked and those that asked once: whoever
/// asks is served, what is owed is told, and the list is heard when discovery is back.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_nobody_out_while_discovery_is_down() {
    let mut world = apart(2);
    world.sockets = 256;
    world.silence_discovery(true);
    let courier = world.start();
    let mut crowd: Vec<Client> = Vec::new();
    let fill = |crowd: &mut Vec<Client>| {
        for number in 0..300 {
            let mut client = courier.client();
            if number % 2 == 0 {
                client.command(&["PING"]);
            }
            crowd.push(client);
        }
        let held = courier.descriptors();
        assert!(held <= 256, "{held} descriptors");
    };
    fill(&mut crowd);
    for number in 0..10 {
        let id = format!("f{number}");
        assert_eq!(courier.client().enqueue(&id, "0", "salary", 2, b"x"), "+OK");
        let call = world.call();
        assert_eq!(call.id, id);
        call.answer("200 OK", "");
    }
    courier.log_until("endpoint watch failed");
    fill(&mut crowd);
    // What has failed is told through what is left.
    assert_eq!(courier.client().enqueue("lost", "0", "salary", 2, b"x"), "+OK");
    world.call().reset();
    assert_eq!(world.notice(), r#"{"id":"lost","state":"failed"}"#);
    world.drain(0);
    world.silence_discovery(false);
    fill(&mut crowd);
    courier.log_until("the list has changed");
    assert_eq!(courier.client().ask(&["PING"]), "+PONG");
    // The descriptors may be full at a restart too.
    let courier = courier.kill_and_restart();
    let _idle: Vec<Client> = (0..300).map(|_| courier.client()).collect();
    assert_eq!(courier.client().enqueue("again", "0", "salary", 2, b"x"), "+OK");
    let call = world.call();
    assert_eq!(call.id, "again");
    call.answer("200 OK", "");
}

/// A process is ready within 10 s of its start with a journal as full as it gets, and what it finds untried is tried:
/// messages that have 10 s at the kill, of a class that may be repeated and of one that may not, still get their calls.
#[test]
fn with_a_full_journal_a_restart_is_ready_in_time_to_try_what_was_untried() {
    let mut world = apart(4);
    world.max_pending_messages = 100_000;
    let courier = world.start();
    let mut client = courier.client();
    // Two that make room when they are over, as a full journal takes nothing on.
    let room: Vec<Call> = ["room1", "room2"]
        .iter()
        .map(|id| {
            assert_eq!(client.enqueue(id, "0", "salary", 3, &[b'x'; 2_000]), "+OK");
            world.call()
        })
        .collect();
    // All but these wait for long; a restart ends the wait.
    for (id, destination) in [("wait1", 1), ("wait2", 2), ("wait4", 4)] {
        assert_eq!(client.enqueue(id, "0", "salary", destination, b"x"), "+OK");
        world.call().answer("429 Later", "X-Come-Back-Ms: 500000\r\n");
        courier.log_until("told to wait");
    }
    let mut taken = 0;
    loop {
        let answer = client.enqueue(&format!("b{taken}"), "0", "salary", 1, b"x");
        if answer != "+OK" {
            assert!(answer.starts_with("-BUSY "), "{answer}");
            break;
        }
        taken += 1;
    }
    assert!(taken > 5_000, "{taken} messages fill the journal");
    room.into_iter().for_each(|call| call.answer("200 OK", ""));
    for (id, class, destination) in [("untried2", "salary", 2), ("untried4", "notice,k=k4", 4)] {
        let fields = format!("c={class},d=10000,dest={destination}");
        // Room comes with the answers, which may still be on their way.
        while client.ask(&["ENQUEUE", "9", id, fields.as_str(), "x"]) != "+OK" {}
    }
    world.no_call();
    let courier = courier.kill_and_restart();
    assert_eq!(courier.client().ask(&["PING"]), "+PONG");
    let mut untried = vec!["untried2".to_owned(), "untried4".to_owned()];
    while !untried.is_empty() {
        match world.call_or_notice() {
            Seen::Call(call) => {
                untried.retain(|id| *id != call.id);
                call.answer("200 OK", "");
            }
            Seen::Notification(line) => assert!(!line.contains("untried"), "given up with no call: {line}"),
        }
    }
}

/// The window for repeats may be 1 s or less where couriers are restarted: a call that was out at the kill and may have
/// run is not sent again by the next process once the window is over, and its message ends at once.
#[test]
fn a_window_that_ends_before_the_restart_lets_nothing_out() {
    let world = apart(2);
    let courier = world.start();
    let mut client = courier.client();
    // Its window is 0.4 s from here on.
    assert_eq!(client.enqueue("w1", "0", "brief,k=w1", 1, b"x"), "+OK");
    let _out = world.call();
    // Half a second has passed when this one is over.
    assert_eq!(client.ask(&["ENQUEUE", "0", "t1", "c=salary,d=500,dest=2", "x"]), "+OK");
    let _hangs = world.call();
    assert_eq!(world.notice(), r#"{"id":"t1","state":"failed"}"#);
    let courier = courier.kill_and_restart();
    // The notice for the other may be told once more, as the kill came behind it.
    let mut ended = world.notice();
    while ended.contains(r#""id":"t1""#) {
        ended = world.notice();
    }
    assert_eq!(ended, r#"{"id":"w1","state":"failed"}"#);
    world.no_call();
    // So too when the next process dies as well.
    let _courier = courier.kill_and_restart();
    world.no_call();
}
