//! The write-ahead journal: what outlasts the process. An append-only file of checksummed records in the state folder,
//! the [`JournalState`] that they add up to, and the clock's last reading in a file beside it.
//!
//! Every record is written before the step that it stands for takes effect. It need not reach the disk: the folder
//! outlasts the process, not the machine. But the system call must have returned.
//!
//! Writes may fail for a while. A record that must come before its step (a message accepted, an attempt started) is
//! refused then, and the step is not taken. A record of what has happened already is applied to the state at once and
//! deferred: the file gets it, in order and before any other record, as soon as it can be written
//! ([`Journal::flush`]).
//!
//! - [`record`]: what the records say. A new kind goes to the end, so that older journals are still read.
//! - [`state`]: what they add up to; [`compaction`]: the records that a state is written as.
//! - [`frame`] and [`mod@chunks`]: the form of records on disk, and of lists too long for one record.
//! - [`mod@file`], [`clock_file`], [`space`] and [`error`]: the two files, the disk space that they may take, and what
//!   can fail.

mod chunks;
mod clock_file;
mod compaction;
mod error;
mod file;
mod frame;
mod record;
mod space;
mod state;

use delivery_gateway::discovery::DiscoveryUpdate;
use std::collections::VecDeque;
use std::path::Path;
use std::time::{Duration, Instant};

use chunks::{chunks, destination_records, endpoint_records};
use clock_file::{ClockFile, CLOCK_FILE_BYTES};
use compaction::{compact, remove_copy, CompactedFile};
use file::JournalFile;
use frame::encode_frame;
use record::Record;
use space::{live_bytes, DiskSpace};
use state::JournalState;

pub use clock_file::ClockReading;
pub use error::JournalError;
pub use record::{
    AcceptedRecord, CircuitKey, FinalOutcome, PendingMessage, PersistedCircuit, PersistedCircuitChange,
    SentRecord,
};

/// The shortest time between a compaction that failed and the next one.
const COMPACTION_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The journal of one state folder. One process at a time owns it, by the folder's lock.
pub struct Journal {
    file: JournalFile,
    space: DiskSpace,
    /// What the file's records and the deferred ones add up to.
    pub state: JournalState,
    /// Bytes that the pending messages would take in a compacted file, at most.
    live_bytes: u64,
    /// Records that the state has and the file does not, the oldest first.
    deferred: VecDeque<Record>,
    /// The file's endpoint list is older than the state's.
    endpoints_deferred: bool,
    /// Bytes of a compacted copy that could not be removed.
    leftover_copy_bytes: u64,
    /// When a compaction failed, unless one has succeeded since.
    compaction_failed_at: Option<Instant>,
    clock: ClockFile,
}

impl Journal {
    /// Opens the journal of a folder, with `disk_bytes` for all its files, and replays it. A torn tail is truncated:
    /// the step that it was to come before was not taken.
    ///
    /// # Errors
    /// A file cannot be opened or read. Nothing has been changed then, and it may be tried again.
    pub fn open(folder: &Path, disk_bytes: u64) -> Result<Self, JournalError> {
        let path = folder.join("journal");
        let mut state = JournalState::default();
        let mut file = JournalFile::replay(&path, |record| state.apply(record))?;
        let clock = ClockFile::open(&path)?;
        file.truncate_tail();
        let leftover_copy_bytes = remove_copy(&path);
        Ok(Journal {
            file,
            space: DiskSpace::new(disk_bytes.saturating_sub(CLOCK_FILE_BYTES)),
            live_bytes: state.pending.values().map(|pending| live_bytes(&pending.message)).sum(),
            state,
            deferred: VecDeque::new(),
            endpoints_deferred: false,
            leftover_copy_bytes,
            compaction_failed_at: None,
            clock,
        })
    }

    /// Whether the files hold all that the state does, and no more.
    pub fn is_flushed(&self) -> bool {
        self.has_all_records()
            && !self.endpoints_deferred
            && self.clock.is_written()
            && !self.file.has_torn_tail()
    }

    /// Whether a failed write may have left a whole record behind the end, which the next process would apply.
    pub fn has_torn_tail(&self) -> bool {
        self.file.has_torn_tail()
    }

    /// Whether the file has all records of messages. The endpoint list and the clock are deferred apart from these.
    pub fn has_all_records(&self) -> bool {
        self.deferred.is_empty()
    }

    /// Whether the file is as this process left it.
    pub fn is_untouched(&self) -> bool {
        self.file.is_untouched()
    }

    /// Writes what was deferred.
    ///
    /// # Errors
    /// Something still cannot be written; it stays deferred.
    pub fn flush(&mut self) -> Result<(), JournalError> {
        self.flush_records()?;
        if self.endpoints_deferred {
            self.write_all_endpoints()?;
        }
        if !self.clock.is_written() {
            self.clock.write()?;
        }
        self.file.truncate_tail();
        Ok(())
    }

    /// Accepts a message and returns its number. From then on it outlasts the process.
    ///
    /// # Errors
    /// It is not accepted: it cannot be written, or there is no room for it. After
    /// [`TornTail`](JournalError::TornTail) nothing was written; after other errors see
    /// [`has_torn_tail`](Self::has_torn_tail).
    pub fn accept(&mut self, message: AcceptedRecord) -> Result<u32, JournalError> {
        self.file.truncate_tail();
        if self.file.has_torn_tail() {
            return Err(JournalError::TornTail);
        }
        let number = self.state.last_number + 1;
        let message_bytes = live_bytes(&message);
        self.space.check_live(self.live_bytes + message_bytes)?;
        let tenant = message.tenant.clone();
        self.write_ahead(Record::Accepted { number, message })?;
        self.live_bytes += message_bytes;
        if !tenant.is_empty() {
            // The message is accepted: a failure here defers the record only.
            let _ = self.write_or_defer(Record::Tenant { number, tenant });
        }
        Ok(number)
    }

    /// An attempt is about to be made.
    ///
    /// # Errors
    /// It is not recorded, and must not be made.
    pub fn record_attempt_started(&mut self, number: u32, attempt: SentRecord) -> Result<(), JournalError> {
        self.write_ahead(Record::AttemptStarted { number, attempt })
    }

    /// The attempt in flight has finished; whether the endpoint may have processed it.
    ///
    /// # Errors
    /// The record is deferred.
    pub fn record_attempt_outcome(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.end_attempt(number, Record::AttemptFinished { number, may_have_run })
    }

    /// The attempt in flight was not sent after all, and does not count as one.
    ///
    /// # Errors
    /// The record is deferred.
    pub fn record_attempt_undone(&mut self, number: u32) -> Result<(), JournalError> {
        self.end_attempt(number, Record::AttemptUndone { number })
    }

    /// A message has its final outcome, of which nobody has been notified.
    ///
    /// # Errors
    /// The record is deferred. The client must not be notified before it is written.
    pub fn record_final_outcome(
        &mut self,
        number: u32,
        final_outcome: FinalOutcome,
    ) -> Result<(), JournalError> {
        self.write_or_defer(Record::OutcomeDecided { number, final_outcome })
    }

    /// A message is completed: delivered, its notification acknowledged, or abandoned by its client.
    ///
    /// # Errors
    /// The record is deferred.
    pub fn complete(&mut self, number: u32) -> Result<(), JournalError> {
        let Some(pending) = self.state.pending.get(&number) else { return Ok(()) };
        self.live_bytes = self.live_bytes.saturating_sub(live_bytes(&pending.message));
        self.write_or_defer(Record::Completed { number })
    }

    /// Applies an update of the endpoint list. The next process sees all of it or nothing.
    ///
    /// # Errors
    /// It is not written; the whole list is, later.
    pub fn record_endpoints(&mut self, update: DiscoveryUpdate) -> Result<(), JournalError> {
        if self.endpoints_deferred {
            self.state.apply_endpoints(update);
            return self.write_all_endpoints();
        }
        let written = self.write_endpoints(&update);
        self.state.apply_endpoints(update);
        self.endpoints_deferred = written.is_err();
        written
    }

    /// Records changes of the circuits.
    ///
    /// # Errors
    /// Not all are recorded, in the state neither.
    pub fn record_circuits(&mut self, changes: &[PersistedCircuitChange]) -> Result<(), JournalError> {
        for chunk in chunks(changes)? {
            self.write_ahead(Record::CircuitChanges(chunk.into_iter().cloned().collect()))?;
        }
        Ok(())
    }

    /// Operators disable an endpoint, or enable it again.
    ///
    /// # Errors
    /// It is not recorded, and must not take effect.
    pub fn record_endpoint_disabled(&mut self, uid: &str, disabled: bool) -> Result<(), JournalError> {
        self.write_ahead(Record::EndpointDisabled { uid: uid.to_owned(), disabled })
    }

    /// The last reading of the clock. None in the folder of an older build, whose journal counts in wall time.
    pub fn clock_reading(&self) -> Option<&ClockReading> {
        self.clock.reading()
    }

    /// Records how journal time continues from now.
    ///
    /// # Errors
    /// The reading is deferred.
    pub fn record_clock(&mut self, reading: ClockReading) -> Result<(), JournalError> {
        self.clock.record(reading)
    }

    /// Writes a record that must be in the file before its step is taken. If it cannot be, nothing changes.
    fn write_ahead(&mut self, record: Record) -> Result<(), JournalError> {
        self.flush_records()?;
        self.append(&encode_frame(&record)?)?;
        self.state.apply(record);
        Ok(())
    }

    /// Applies a record of what has happened already. The file gets it now or, after an error, later.
    fn write_or_defer(&mut self, record: Record) -> Result<(), JournalError> {
        let written = self.flush_records().and_then(|()| self.append(&encode_frame(&record)?));
        if written.is_ok() {
            self.state.apply(record);
        } else {
            self.state.apply(record.clone());
            self.deferred.push_back(record);
        }
        written
    }

    /// The same for the end of an attempt, if its start was recorded.
    fn end_attempt(&mut self, number: u32, record: Record) -> Result<(), JournalError> {
        if !self.state.has_attempt_in_flight(number) {
            return Ok(());
        }
        self.write_or_defer(record)
    }

    /// Writes the records that were deferred, the oldest first.
    fn flush_records(&mut self) -> Result<(), JournalError> {
        while let Some(record) = self.deferred.front() {
            self.append(&encode_frame(record)?)?;
            // If the append compacted the journal, all were written, and none is left here.
            self.deferred.pop_front();
        }
        Ok(())
    }

    fn write_endpoints(&mut self, update: &DiscoveryUpdate) -> Result<(), JournalError> {
        let mut frames = Vec::new();
        for record in endpoint_records(update.revision, update.is_snapshot, &update.endpoints)? {
            frames.extend(encode_frame(&record)?);
        }
        // All parts at once: a compaction between two of them would lose the first.
        self.append(&frames)
    }

    /// Writes the whole endpoint list, in the place of updates that could not be written.
    fn write_all_endpoints(&mut self) -> Result<(), JournalError> {
        let mut frames = Vec::new();
        for record in destination_records(&self.state.destinations)? {
            frames.extend(encode_frame(&record)?);
        }
        let endpoints = self.state.endpoints.values();
        for record in endpoint_records(self.state.endpoints_revision, true, endpoints)? {
            frames.extend(encode_frame(&record)?);
        }
        self.append(&frames)?;
        self.endpoints_deferred = false;
        Ok(())
    }

    /// Appends whole frames, after a compaction where the file would grow too large.
    fn append(&mut self, frames: &[u8]) -> Result<(), JournalError> {
        let added = frames.len() as u64;
        let mut compacted = Ok(());
        if self.space.needs_compaction(self.file.size() + added) && self.may_compact() {
            compacted = self.compact();
        }
        let size = self.file.size() + added + self.leftover_copy_bytes;
        if let Err(full) = self.space.check_file(size) {
            // Where a compaction has failed as well, its error is the cause.
            return compacted.and(Err(full));
        }
        self.file.append(frames)
    }

    fn may_compact(&self) -> bool {
        self.compaction_failed_at.is_none_or(|at| at.elapsed() >= COMPACTION_RETRY_DELAY)
    }

    /// Writes the state, deferred records included, to a new file in the journal's place.
    fn compact(&mut self) -> Result<(), JournalError> {
        let available = self.space.bytes().saturating_sub(self.file.size());
        match compact(&self.state, self.file.path(), available) {
            Ok(CompactedFile { file, size }) => {
                self.file.replaced_by(file, size);
                self.leftover_copy_bytes = 0;
                self.endpoints_deferred = false;
                self.compaction_failed_at = None;
                self.deferred.clear();
                Ok(())
            }
            Err(error) => {
                self.compaction_failed_at = Some(Instant::now());
                self.leftover_copy_bytes = remove_copy(self.file.path());
                Err(error)
            }
        }
    }
}
