//! Defines and decodes the records of a batch. Times and durations are in nanoseconds, unless a field's name has
//! another unit. All times are on one clock, [`Batch::now`].

use super::error::WireError;
use super::reader::Reader;

/// The number of a scheduler among those that this process runs.
pub type InstanceId = u16;
/// The number of an endpoint list.
pub type ListId = u16;

/// A batch: the events up to one point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The current time.
    pub now: u64,
    /// The events, in the order in which they happened.
    pub records: Vec<Record>,
}

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Start a scheduler. `settings` is text with one `path=value` per line. `seed` is that of its random numbers.
    NewInstance { instance: InstanceId, seed: u64, settings: String },
    /// Remove a scheduler.
    RemoveInstance { instance: InstanceId },
    /// Store an endpoint list under a number, replacing one of the same number. It is passed to no scheduler until a
    /// list update refers to it.
    EndpointList { list: ListId, entries: Vec<ListEntry> },
    /// Pass a stored endpoint list to a scheduler. `kind` says whether the list is complete, a delta or
    /// not used; see [`ListUpdateKind`](crate::translation::ListUpdateKind). `revision` is ignored.
    ListUpdate { instance: InstanceId, list: ListId, revision: u32, kind: u8 },
    /// A message was accepted.
    MessageAccepted(AcceptedRecord),
    /// A probe has ended. Only its outcome code is checked; the scheduler gets no event.
    ProbeFinished {
        instance: InstanceId,
        outcome_code: u16,
        latency: u64,
        endpoint: u32,
        load_report: Vec<f32>,
    },
    /// No client waits for the message any more.
    MessageAbandoned { instance: InstanceId, message: u32 },
    /// The response to an attempt to deliver a streamed message has begun. The scheduler gets no event.
    ResponseStarted { instance: InstanceId, message: u32, endpoint: u32, attempt: u16, latency: u64 },
    /// An attempt has ended.
    AttemptFinished(FinishedAttemptRecord),
    /// A timer has fired. `token` is the one of [`Reply::SetTimer`](super::replies::Reply::SetTimer).
    TimerFired { instance: InstanceId, token: u64 },
    /// A note from another scheduler has arrived. The scheduler gets no event.
    PeerNote { instance: InstanceId, from: u32, text: Vec<u8> },
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub endpoint: u32,
    pub zone: u8,
    /// The kind of destination.
    pub kind: u16,
    pub destination: u16,
    /// Whether the endpoint accepts new calls: 1 draining, 2 removed, 3 ready.
    pub state: u8,
    /// The listed rate limit in calls per second, 0 or less if there is none; the settings say whether it is used.
    pub capacity_hint: f32,
    /// Ignored.
    pub up_since: u64,
}

/// A message that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedRecord {
    pub instance: InstanceId,
    pub message: u32,
    pub class: u8,
    /// The number of the destination: a whole number, although the wire encodes it as a float.
    pub destination: f32,
    /// The ordering key, or 0 for none.
    pub key: u64,
    /// The end of the time for delivery.
    pub deadline: u64,
    /// Ignored.
    pub weight_hint: u64,
    /// Flags, of which only `REDELIVERED` of `translation` is used.
    pub options: u8,
    pub tenant: u32,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedAttemptRecord {
    pub instance: InstanceId,
    pub message: u32,
    /// The outcome; see [`attempt_outcome`](crate::translation::attempt_outcome).
    pub outcome_code: u16,
    /// The time from the start of the attempt to its end.
    pub latency: u64,
    /// Whether the message is completed and gets no further attempt.
    pub completes_message: bool,
    pub endpoint: u32,
    /// The index of the attempt among those of the message, from 0.
    pub attempt: u16,
    /// The Retry-After of a rejection, or 0 for none.
    pub retry_after_ms: u32,
    /// The values of the endpoint's load report, in the order that the settings give; empty if there is none.
    pub load_report: Vec<f32>,
}

/// The first byte of each type of record.
mod record_code {
    pub const NEW_INSTANCE: u8 = 10;
    pub const LIST_UPDATE: u8 = 20;
    pub const MESSAGE_ACCEPTED: u8 = 30;
    pub const RESPONSE_STARTED: u8 = 40;
    pub const ATTEMPT_FINISHED: u8 = 50;
    pub const MESSAGE_ABANDONED: u8 = 60;
    pub const TIMER_FIRED: u8 = 70;
    pub const PROBE_FINISHED: u8 = 80;
    pub const PEER_NOTE: u8 = 90;
    pub const REMOVE_INSTANCE: u8 = 100;
    pub const ENDPOINT_LIST: u8 = 110;
}

/// Decodes the body of a batch, without the length before it.
///
/// # Errors
/// The first error in the body; see [`WireError`].
pub fn read_batch(body: &[u8]) -> Result<Batch, WireError> {
    let mut reader = Reader::new(body);
    let now = reader.u64("clock")?;
    let count = reader.u32("record count")?;
    // The vector grows as records are read, so that a wrong count causes an error rather than a large allocation.
    let mut records = Vec::new();
    for index in 0..count {
        records.push(record(&mut reader, index)?);
    }
    match reader.remaining() {
        0 => Ok(Batch { now, records }),
        length => Err(WireError::TrailingBytes { at: reader.at(), length }),
    }
}

fn record(reader: &mut Reader, index: u32) -> Result<Record, WireError> {
    let at = reader.at();
    let code = reader.u8("record code")?;
    match code {
        record_code::NEW_INSTANCE => new_instance(reader),
        record_code::LIST_UPDATE => list_update(reader),
        record_code::MESSAGE_ACCEPTED => message_accepted(reader),
        record_code::RESPONSE_STARTED => response_started(reader),
        record_code::ATTEMPT_FINISHED => attempt_finished(reader),
        record_code::MESSAGE_ABANDONED => message_abandoned(reader),
        record_code::TIMER_FIRED => timer_fired(reader),
        record_code::PROBE_FINISHED => probe_finished(reader),
        record_code::PEER_NOTE => peer_note(reader),
        record_code::REMOVE_INSTANCE => Ok(Record::RemoveInstance { instance: instance(reader)? }),
        record_code::ENDPOINT_LIST => endpoint_list(reader),
        code => Err(WireError::UnknownRecord { at, index, code }),
    }
}

fn instance(reader: &mut Reader) -> Result<InstanceId, WireError> {
    reader.u16("Who")
}

fn new_instance(reader: &mut Reader) -> Result<Record, WireError> {
    let instance = instance(reader)?;
    let seed = reader.u64("Nonce64")?;
    let length = reader.u32("Config count")? as usize;
    let at = reader.at();
    let text = reader.bytes(length, "Config")?;
    let settings = std::str::from_utf8(text).map_err(|_| WireError::NotUtf8 { at })?.to_owned();
    Ok(Record::NewInstance { instance, seed, settings })
}

fn list_update(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::ListUpdate {
        instance: instance(reader)?,
        list: reader.u16("Slot")?,
        revision: reader.u32("Generation")?,
        kind: reader.u8("Kind")?,
    })
}

fn message_accepted(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::MessageAccepted(AcceptedRecord {
        instance: instance(reader)?,
        message: reader.u32("Call")?,
        class: reader.u8("Profile")?,
        destination: reader.f32("Dest")?,
        key: reader.u64("Key")?,
        deadline: reader.u64("ClientDeadline")?,
        weight_hint: reader.u64("WeightHint")?,
        options: reader.u8("Opts")?,
        tenant: reader.u32("Owner")?,
    }))
}

fn response_started(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::ResponseStarted {
        instance: instance(reader)?,
        message: reader.u32("Call")?,
        endpoint: reader.u32("Endpoint")?,
        attempt: reader.u16("Trial")?,
        latency: reader.u64("DelaySeen")?,
    })
}

fn attempt_finished(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::AttemptFinished(FinishedAttemptRecord {
        instance: instance(reader)?,
        message: reader.u32("Call")?,
        outcome_code: reader.u16("Code")?,
        latency: reader.u64("DelaySeen")?,
        completes_message: reader.u8("Complete")? != 0,
        endpoint: reader.u32("Endpoint")?,
        attempt: reader.u16("Trial")?,
        retry_after_ms: reader.u32("Detail")?,
        load_report: load_report(reader)?,
    }))
}

fn message_abandoned(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::MessageAbandoned { instance: instance(reader)?, message: reader.u32("Call")? })
}

fn timer_fired(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::TimerFired { instance: instance(reader)?, token: reader.u64("Cookie")? })
}

fn probe_finished(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::ProbeFinished {
        instance: instance(reader)?,
        outcome_code: reader.u16("Code")?,
        latency: reader.u64("DelaySeen")?,
        endpoint: reader.u32("Endpoint")?,
        load_report: load_report(reader)?,
    })
}

fn peer_note(reader: &mut Reader) -> Result<Record, WireError> {
    let instance = instance(reader)?;
    let from = reader.u32("From")?;
    let length = usize::from(reader.u16("Msg count")?);
    Ok(Record::PeerNote { instance, from, text: reader.bytes(length, "Msg")?.to_vec() })
}

fn endpoint_list(reader: &mut Reader) -> Result<Record, WireError> {
    let list = reader.u16("Slot")?;
    let count = reader.u32("NodesList count")?;
    // The vector grows as entries are read, as in `read_batch`.
    let entries = (0..count).map(|_| list_entry(reader)).collect::<Result<_, _>>()?;
    Ok(Record::EndpointList { list, entries })
}

fn list_entry(reader: &mut Reader) -> Result<ListEntry, WireError> {
    Ok(ListEntry {
        endpoint: reader.u32("entry Endpoint")?,
        zone: reader.u8("entry Zone")?,
        kind: reader.u16("entry ClassOfHost")?,
        destination: reader.u16("entry Cell")?,
        state: reader.u8("entry Mode")?,
        capacity_hint: reader.f32("entry Weight")?,
        up_since: reader.u64("entry UpSince")?,
    })
}

fn load_report(reader: &mut Reader) -> Result<Vec<f32>, WireError> {
    let count = reader.u8("Report count")?;
    (0..count).map(|_| reader.f32("Report")).collect()
}
