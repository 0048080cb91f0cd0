//! Idempotency windows that are as short as the time between restarts: a process that restores a message must not send
//! it after the window of an attempt that an earlier process made.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(1);
const MESSAGE: MessageId = MessageId(1);
const ENDPOINT: EndpointId = EndpointId(11);
const DESTINATION: u16 = 3;
/// Number of processes that restore the message one after the other.
const PROCESSES: u64 = 3;
/// Number of decisions of each process, one every 5 ms.
const DECISIONS: usize = 60;

/// A message whose first attempt may have run, and the process that has restored it.
struct Restored {
    bench: TestBench,
    /// When the first attempt was sent.
    first_sent_at: Time,
    seed: u64,
    attempts: u32,
    /// Number of attempts since the first process was killed.
    resent: u32,
    has_failed: bool,
}

impl Restored {
    /// Replaces the process by one that restores the message from the journal.
    fn restart(&mut self, process: u64) {
        let settings = self.bench.settings.clone();
        let class = &settings.classes[0];
        self.bench.restart(settings.clone(), self.seed * 10 + process, vec![listed()]);
        let message = AcceptedMessage {
            deadline: self.first_sent_at + class.deadline,
            ..accepted(self.first_sent_at, MESSAGE.0, (ClassId(0), class), DESTINATION, None)
        };
        self.bench.handle(Event::MessageRestored(RestoredMessage {
            message,
            attempts: self.attempts,
            first_uncertain_attempt: Some(SentAttempt { sent_at: self.first_sent_at, zone: ZoneId(0) }),
            has_final_outcome: false,
        }));
    }

    /// Lets the process decide for 0.3 s, and checks each attempt that it starts.
    fn run(&mut self, case: &str) {
        for _ in 0..DECISIONS {
            for action in self.bench.decide() {
                match action {
                    Action::StartAttempt { send_within, .. } => self.attempt(send_within, case),
                    Action::ReportFailure { .. } => self.has_failed = true,
                    Action::Reject { .. } => panic!("rejected although it may have run"),
                    _ => {}
                }
            }
            self.bench.now = self.bench.now + ms(5);
        }
    }

    /// Checks that an attempt can only be sent inside the window. It ends without a success, so that the same process
    /// may retry.
    fn attempt(&mut self, send_within: Duration, case: &str) {
        let latest = self.bench.now + send_within;
        let window_end = self.first_sent_at + WINDOW;
        assert!(!self.has_failed, "sent after its final outcome");
        assert!(latest <= window_end, "{case}: may be sent {:?} after its window", latest - window_end);
        self.attempts += 1;
        self.resent += 1;
        let outcome =
            if self.seed.is_multiple_of(2) { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Reset };
        self.bench.handle(Event::AttemptFinished(FinishedAttempt {
            message: MESSAGE,
            endpoint: ENDPOINT,
            attempt: (self.attempts - 1) as u16,
            outcome,
            latency: ms(5),
            completes_message: false,
            load_report: None,
        }));
    }
}

fn listed() -> Endpoint {
    endpoint(ENDPOINT.0, DESTINATION)
}

/// Restores a message this time after its first attempt, kills the process, restores the message in the next one, and
/// so on. Returns how often it was sent again.
fn resends_after(elapsed: Duration, seed: u64) -> u32 {
    let class = Class {
        idempotency_window: WINDOW,
        latency_objective: ms(700),
        deadline: Duration::from_secs(6),
        ..idempotent_with_key()
    };
    let settings = Settings { outcomes_need_acknowledgement: true, ..settings(vec![class]) };
    let mut bench = TestBench::new(settings, vec![listed()]);
    let first_sent_at = bench.now;
    bench.now = first_sent_at + elapsed;
    let mut restored = Restored { bench, first_sent_at, seed, attempts: 1, resent: 0, has_failed: false };
    for process in 0..PROCESSES {
        let case = format!("restored after {elapsed:?}, process {process}, seed {seed}");
        restored.restart(process);
        restored.run(&case);
        if restored.has_failed {
            break;
        }
    }
    restored.resent
}

/// A message sent after its idempotency window could be processed twice. With a window of 1 s, that must not happen
/// whenever the first attempt was sent, and however often the process was killed since.
#[test]
fn nothing_is_sent_outside_a_one_second_window_across_kills() {
    let mut resent = 0;
    for elapsed_ms in (0..1_200).step_by(40) {
        for seed in 1..=4 {
            resent += resends_after(ms(elapsed_ms), seed);
        }
    }
    assert!(resent > 100, "only {resent} attempts after a restore: the window is not used");
}
