//! Defines and decodes the records of a batch. Times and durations are in nanoseconds.

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
    pub clock: u64,
    /// The events, in the order in which they happened.
    pub records: Vec<Record>,
}

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Start a scheduler, with settings in their line form.
    NewInstance { instance: InstanceId, seed: u64, settings: String },
    /// Remove a scheduler.
    RemoveInstance { instance: InstanceId },
    /// Store an endpoint list under a number. It is passed to no scheduler until a list update refers to it.
    EndpointList { list: ListId, entries: Vec<ListEntry> },
    /// Pass a stored endpoint list to a scheduler.
    ListUpdate { instance: InstanceId, list: ListId, revision: u32, kind: u8 },
    /// A message was accepted.
    Accept(AcceptRecord),
    /// A probe has ended.
    ProbeFinished { instance: InstanceId, code: u16, latency: u64, endpoint: u32, report: Vec<f32> },
    /// No client waits for the message any more.
    MessageAbandoned { instance: InstanceId, message: u32 },
    /// The response of a streamed message has begun.
    ResponseStarted { instance: InstanceId, message: u32, endpoint: u32, attempt: u16, latency: u64 },
    /// An attempt has ended.
    FinishedAttempt(FinishedRecord),
    /// A timer has fired.
    TimerFired { instance: InstanceId, token: u64 },
    /// A note from another scheduler has arrived.
    PeerNote { instance: InstanceId, from: u32, text: Vec<u8> },
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub endpoint: u32,
    pub zone: u8,
    pub kind: u16,
    pub destination: u16,
    pub state: u8,
    pub weight: f32,
    pub up_since: u64,
}

/// A message that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptRecord {
    pub instance: InstanceId,
    pub message: u32,
    pub class: u8,
    pub destination: f32,
    /// The ordering key, or 0 for none.
    pub key: u64,
    pub deadline: u64,
    pub weight_hint: u64,
    pub options: u8,
    pub tenant: u32,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRecord {
    pub instance: InstanceId,
    pub message: u32,
    pub code: u16,
    pub latency: u64,
    pub complete: bool,
    pub endpoint: u32,
    pub attempt: u16,
    /// The Retry-After of a rejection in milliseconds, or 0 for none.
    pub detail: u32,
    pub report: Vec<f32>,
}

/// The first byte of each type of record.
mod code {
    pub const NEW_INSTANCE: u8 = 10;
    pub const LIST_UPDATE: u8 = 20;
    pub const ACCEPT: u8 = 30;
    pub const RESPONSE_STARTED: u8 = 40;
    pub const FINISHED_ATTEMPT: u8 = 50;
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
    let clock = reader.u64("clock")?;
    let count = reader.u32("record count")?;
    // The vector grows as records are read, so that a wrong count causes an error rather than a large allocation.
    let mut records = Vec::new();
    for index in 0..count {
        records.push(record(&mut reader, index)?);
    }
    match reader.remaining() {
        0 => Ok(Batch { clock, records }),
        count => Err(WireError::TrailingBytes { at: reader.at(), count }),
    }
}

fn record(reader: &mut Reader, index: u32) -> Result<Record, WireError> {
    let at = reader.at();
    let code = reader.u8("record code")?;
    match code {
        code::NEW_INSTANCE => new_instance(reader),
        code::LIST_UPDATE => list_update(reader),
        code::ACCEPT => accept(reader),
        code::RESPONSE_STARTED => response_started(reader),
        code::FINISHED_ATTEMPT => finished_attempt(reader),
        code::MESSAGE_ABANDONED => message_abandoned(reader),
        code::TIMER_FIRED => timer_fired(reader),
        code::PROBE_FINISHED => probe_finished(reader),
        code::PEER_NOTE => peer_note(reader),
        code::REMOVE_INSTANCE => Ok(Record::RemoveInstance { instance: instance(reader)? }),
        code::ENDPOINT_LIST => endpoint_list(reader),
        code => Err(WireError::UnknownRecord { at, index, code }),
    }
}

fn instance(reader: &mut Reader) -> Result<InstanceId, WireError> {
    reader.u16("Who")
}

fn new_instance(reader: &mut Reader) -> Result<Record, WireError> {
    let instance = instance(reader)?;
    let seed = reader.u64("Nonce64")?;
    let count = reader.u32("Config count")? as usize;
    let at = reader.at();
    let text = reader.bytes(count, "Config")?;
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

fn accept(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::Accept(AcceptRecord {
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

fn finished_attempt(reader: &mut Reader) -> Result<Record, WireError> {
    Ok(Record::FinishedAttempt(FinishedRecord {
        instance: instance(reader)?,
        message: reader.u32("Call")?,
        code: reader.u16("Code")?,
        latency: reader.u64("DelaySeen")?,
        complete: reader.u8("Complete")? != 0,
        endpoint: reader.u32("Endpoint")?,
        attempt: reader.u16("Trial")?,
        detail: reader.u32("Detail")?,
        report: load_report(reader)?,
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
        code: reader.u16("Code")?,
        latency: reader.u64("DelaySeen")?,
        endpoint: reader.u32("Endpoint")?,
        report: load_report(reader)?,
    })
}

fn peer_note(reader: &mut Reader) -> Result<Record, WireError> {
    let instance = instance(reader)?;
    let from = reader.u32("From")?;
    let count = usize::from(reader.u16("Msg count")?);
    Ok(Record::PeerNote { instance, from, text: reader.bytes(count, "Msg")?.to_vec() })
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
        weight: reader.f32("entry Weight")?,
        up_since: reader.u64("entry UpSince")?,
    })
}

fn load_report(reader: &mut Reader) -> Result<Vec<f32>, WireError> {
    let count = reader.u8("Report count")?;
    (0..count).map(|_| reader.f32("Report")).collect()
}
