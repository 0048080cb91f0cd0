//! The table of instances, which are the schedulers that this process runs, and of the endpoint lists that they refer
//! to. It passes each record of a batch to the instance that it concerns, and then has each such instance decide.

use delivery_gateway::*;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use thiserror::Error;

use crate::translation::{attempt_outcome, to_reply, ListUpdateKind, UnknownValue};
use crate::wire::{Batch, FinishedAttemptRecord, Record, Reply};

/// Why a decoded batch cannot be carried out. None of its replies are sent.
#[derive(Debug, Error)]
pub enum BatchError {
    /// An instance cannot be started, because its settings cannot be read.
    #[error("instance {instance}: {error}")]
    Settings { instance: u16, error: SettingError },
    /// A field of a record has an unknown value.
    #[error(transparent)]
    UnknownValue(#[from] UnknownValue),
}

struct Instance {
    scheduler: Scheduler,
    /// The index of the headroom among the values of a load report; None if load reports do not have it.
    headroom_index: Option<usize>,
    /// The index of the rate limit among the values of a load report; None if load reports do not have it.
    limit_index: Option<usize>,
}

impl Instance {
    fn load_report(&self, values: &[f32]) -> Option<LoadReport> {
        let value = |index: Option<usize>| index.and_then(|index| values.get(index)).map(|v| f64::from(*v));
        Some(LoadReport { headroom: value(self.headroom_index)?, limit_per_sec: value(self.limit_index)? })
    }
}

/// The instance that a record concerns, and the event that the record is for it.
struct InstanceEvent {
    instance: u16,
    /// None if the scheduler has no event for records of this type. The instance decides after them too.
    event: Option<Event>,
}

impl InstanceEvent {
    fn new(instance: u16, event: Event) -> Option<Self> {
        Some(InstanceEvent { instance, event: Some(event) })
    }

    fn ignored(instance: u16) -> Option<Self> {
        Some(InstanceEvent { instance, event: None })
    }
}

/// All instances of this process, and the numbered endpoint lists.
#[derive(Default)]
pub struct InstanceTable {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<Endpoint>>,
}

impl InstanceTable {
    /// Passes the records of a batch to their instances, has each of these instances decide once, in the order of their
    /// first records, and returns their actions as replies. Records for instances that do not exist are ignored.
    ///
    /// # Errors
    /// [`BatchError`] for the first record that cannot be carried out. Those before it have been carried out.
    pub fn run(&mut self, batch: Batch) -> Result<Vec<Reply>, BatchError> {
        let now = Time(batch.now);
        let mut concerned = Vec::new();
        let mut replies = Vec::new();
        for record in batch.records {
            let Some(InstanceEvent { instance: id, event }) = self.apply(record)? else { continue };
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            if !concerned.contains(&id) {
                concerned.push(id);
            }
            if let Some(event) = event {
                reply_to_panic(id, &mut replies, || instance.scheduler.handle(now, event));
            }
        }
        let mut actions = Vec::new();
        for id in concerned {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            reply_to_panic(id, &mut replies, || instance.scheduler.decide(now, &mut actions));
            replies.extend(actions.drain(..).map(|action| to_reply(id, action)));
        }
        Ok(replies)
    }

    /// Applies a record to the table, and returns the event for the instance that it concerns, if any. That instance
    /// may not exist.
    fn apply(&mut self, record: Record) -> Result<Option<InstanceEvent>, BatchError> {
        let event = match record {
            Record::NewInstance { instance, seed, settings } => {
                self.start(instance, seed, &settings)?;
                None
            }
            Record::RemoveInstance { instance } => {
                self.instances.remove(&instance);
                None
            }
            Record::EndpointList { list, entries } => {
                let endpoints = entries.iter().map(Endpoint::try_from).collect::<Result<_, _>>()?;
                self.lists.insert(list, endpoints);
                None
            }
            Record::ListUpdate { instance, list, kind, .. } => {
                let update = self.endpoint_update(list, kind.try_into()?);
                InstanceEvent::new(instance, Event::EndpointsUpdated(update))
            }
            Record::MessageAccepted(record) => {
                InstanceEvent::new(record.instance, Event::MessageAccepted(record.into()))
            }
            Record::AttemptFinished(record) => {
                let finished = self.finished_attempt(&record)?;
                InstanceEvent::new(record.instance, Event::AttemptFinished(finished))
            }
            Record::MessageAbandoned { instance, message } => {
                InstanceEvent::new(instance, Event::MessageAbandoned(MessageId(message)))
            }
            Record::TimerFired { instance, token } => InstanceEvent::new(instance, Event::TimerFired(token)),
            Record::ProbeFinished { instance, outcome_code, .. } => {
                attempt_outcome(outcome_code, 0)?;
                InstanceEvent::ignored(instance)
            }
            Record::ResponseStarted { instance, .. } | Record::PeerNote { instance, .. } => {
                InstanceEvent::ignored(instance)
            }
        };
        Ok(event)
    }

    /// Starts an instance, and replaces an existing one with the same number.
    fn start(&mut self, id: u16, seed: u64, settings: &str) -> Result<(), BatchError> {
        let parsed =
            settings_from_lines(settings).map_err(|error| BatchError::Settings { instance: id, error })?;
        let instance = Instance {
            scheduler: Scheduler::new(parsed.settings, seed),
            headroom_index: parsed.headroom_index,
            limit_index: parsed.limit_index,
        };
        self.instances.insert(id, instance);
        Ok(())
    }

    /// Builds an endpoint update from a list. A list that does not exist counts as empty.
    fn endpoint_update(&self, list: u16, kind: ListUpdateKind) -> EndpointUpdate {
        let endpoints = || self.lists.get(&list).cloned().unwrap_or_default();
        match kind {
            ListUpdateKind::Delta => EndpointUpdate::Delta(endpoints()),
            ListUpdateKind::Snapshot => EndpointUpdate::Snapshot(endpoints()),
            ListUpdateKind::Failed => EndpointUpdate::WatchFailed,
        }
    }

    fn finished_attempt(&self, record: &FinishedAttemptRecord) -> Result<FinishedAttempt, UnknownValue> {
        let instance = self.instances.get(&record.instance);
        Ok(FinishedAttempt {
            message: MessageId(record.message),
            endpoint: EndpointId(record.endpoint),
            attempt: record.attempt,
            outcome: attempt_outcome(record.outcome_code, record.retry_after_ms)?,
            latency: Duration::from_nanos(record.latency),
            completes_message: record.completes_message,
            load_report: instance.and_then(|instance| instance.load_report(&record.load_report)),
        })
    }
}

/// Runs an operation of a scheduler, and turns a panic in it into a reply with the panic's text.
fn reply_to_panic(instance: u16, replies: &mut Vec<Reply>, operation: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(operation)) {
        let text = cause.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let text = text.or_else(|| cause.downcast_ref::<String>().cloned());
        let text = text.unwrap_or_else(|| "panic without a text".to_owned());
        replies.push(Reply::Panic { instance, text });
    }
}
