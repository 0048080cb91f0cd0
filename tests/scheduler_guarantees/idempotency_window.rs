//! Idempotency windows that are as short as the time between restarts.

use super::common::*;
use delivery_gateway::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(1);
const MESSAGE: MessageId = MessageId(1);
const ENDPOINT: EndpointId = EndpointId(11);
const DESTINATION: u16 = 3;
/// Processes that restore the message one after the other.
const PROCESSES: u64 = 3;
/// Decisions of each process.
const DECISIONS: usize = 60;

/// One message whose first attempt may have run, and the process that has restored it.
struct Restored {
    bench: TestBench,
    /// When the first attempt was sent.
    first_sent_at: Time,
    seed: u64,
    attempts: u32,
    /// Attempts since the first process was killed.
    resent: u32,
    has_failed: bool,
}

impl Restored {
    /// Replaces the process by one that has read the message from the journal.
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
                    Action::Reject { .. } => panic!("it may have run and cannot be rejected"),
                    _ => {}
                }
            }
            self.bench.now = self.bench.now + ms(5);
        }
    }

    /// An attempt must be sent inside the window. Rejected or broken, it may be repeated in the same process.
    fn attempt(&mut self, send_within: Duration, case: &str) {
        let latest = self.bench.now + send_within;
        let window_end = self.first_sent_at + WINDOW;
        assert!(!self.has_failed, "sent after its final outcome");
        assert!(latest <= window_end, "{case}: may be sent {:?} late", latest - window_end);
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

/// Restores a message so long after its first attempt, kills the process with the call in flight, and so on. Returns
/// how often it was sent again.
fn resends_after(passed: Duration, seed: u64) -> u32 {
    let class = Class {
        idempotency_window: WINDOW,
        latency_objective: ms(700),
        deadline: Duration::from_secs(6),
        ..idempotent_with_key()
    };
    let settings = Settings { outcomes_need_acknowledgement: true, ..settings(vec![class]) };
    let mut bench = TestBench::new(settings, vec![listed()]);
    let first_sent_at = bench.now;
    bench.now = first_sent_at + passed;
    let mut restored = Restored { bench, first_sent_at, seed, attempts: 1, resent: 0, has_failed: false };
    for process in 0..PROCESSES {
        let case = format!("restored after {passed:?}, process {process}, seed {seed}");
        restored.restart(process);
        restored.run(&case);
        if restored.has_failed {
            break;
        }
    }
    restored.resent
}

/// Whenever the first attempt was sent, and however often the process was killed since, nothing is sent after a window
/// of 1 s.
#[test]
fn nothing_is_sent_outside_a_one_second_window_over_kills() {
    let mut resent = 0;
    for passed_ms in (0..1_200).step_by(40) {
        for seed in 1..=4 {
            resent += resends_after(ms(passed_ms), seed);
        }
    }
    assert!(resent > 100, "only {resent} were sent again: the window is not used");
}
