//! A courier's life among endpoints that serve, refuse and break connections, judged by the rules message by message.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, Instant};

use super::{Call, Scheduler, Seen, World};

/// Longer than a courier takes for anything here; clients wait shorter, but the machine may be busy.
const ANSWER: Duration = Duration::from_secs(3);
/// All that was accepted has its end by then.
const ENDS: Duration = Duration::from_secs(30);

/// Whether the courier's client may find its connection closed with no answer: where the system told the courier that
/// the connection is broken, or refused to keep it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Clients {
    AreAnswered,
    MayBeCutOff,
}

/// What is known of one message.
#[derive(Default)]
struct Message {
    is_unsafe: bool,
    accepted: bool,
    refused: bool,
    /// Calls whose outcome nobody knows, or that ran.
    may_have_run: usize,
    calls: usize,
    delivered: bool,
    notified: bool,
}

/// A courier's life among endpoints that serve, refuse and break connections.
pub struct Life<'a> {
    world: &'a World,
    messages: BTreeMap<String, Message>,
    /// Ids that one life of the process did not bring to their end.
    pub owed: BTreeSet<String>,
    calls: usize,
}

impl<'a> Life<'a> {
    pub fn new(world: &'a World) -> Self {
        Life { world, messages: BTreeMap::new(), owed: BTreeSet::new(), calls: 0 }
    }

    /// Hands in a message of an id, again on a new connection where the last one was closed before its answer.
    pub fn hand_in(&mut self, courier: &Scheduler, id: &str, is_unsafe: bool, clients: Clients) {
        let class = if is_unsafe { "salary" } else { "notice,k=aa" };
        let mut message = Message { is_unsafe, ..Message::default() };
        let ask = || -> io::Result<String> {
            let mut client = courier.try_client(ANSWER)?;
            client.begin_enqueue(id, "0", class, 1, &[b'x'; 3000]);
            client.try_line()
        };
        let answer = ask();
        match answer {
            Ok(line) if line == "+OK" => {
                message.accepted = true;
                self.owed.insert(id.to_owned());
            }
            Ok(line) if line.starts_with('-') => message.refused = true,
            other => assert!(clients == Clients::MayBeCutOff, "{id} was not answered: {other:?}"),
        }
        self.messages.insert(id.to_owned(), message);
        self.see(Duration::ZERO);
    }

    /// Takes in what the courier has done, for so long at most or until nothing is owed any more.
    pub fn see(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while let Some(seen) = self.world.seen_within(end.saturating_duration_since(Instant::now())) {
            match seen {
                Seen::Call(call) => self.serve(call),
                Seen::Notification(line) => {
                    let notice: serde_json::Value = serde_json::from_str(&line).unwrap();
                    let id = notice["id"].as_str().unwrap();
                    self.messages.get_mut(id).unwrap_or_else(|| panic!("nobody's notice: {line}")).notified =
                        true;
                    self.owed.remove(id);
                }
            }
            if self.owed.is_empty() && limit > Duration::ZERO {
                return;
            }
        }
    }

    /// Serves two calls of four; one is refused, and the connection of one is broken.
    fn serve(&mut self, call: Call) {
        self.calls += 1;
        let message = self.messages.entry(call.id.clone()).or_default();
        assert!(!message.refused, "{} was sent though its client was refused", call.id);
        assert!(!(message.is_unsafe && message.may_have_run > 0), "{} may have run, and came again", call.id);
        message.calls += 1;
        assert!(message.calls <= 8, "{} has had all its attempts", call.id);
        match self.calls % 4 {
            1 => call.answer("503 Service Unavailable", ""),
            3 if !message.is_unsafe => {
                message.may_have_run += 1;
                call.reset();
            }
            _ => {
                message.may_have_run += 1;
                message.delivered = true;
                self.owed.remove(&call.id);
                call.answer("200 OK", "");
            }
        }
    }

    /// Waits until all that was accepted has its end.
    pub fn settle(&mut self, what: &str) {
        self.see(ENDS);
        assert!(self.owed.is_empty(), "{what}: no end for {:?}", self.owed);
    }
}
