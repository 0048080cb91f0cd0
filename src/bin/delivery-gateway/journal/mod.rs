//! The write-ahead journal, which keeps the gateway's state beyond the process. It consists of an append-only file of
//! checksummed records in the state folder, the [`JournalState`] that results from these records, and a separate file
//! with the clock's last reading.
//!
//! A record describes a step of the gateway, such as a message accepted or an attempt started. It is written before the
//! step takes effect: the write call must have returned. No fsync is needed, because the state folder has to outlast
//! the process, but not the machine.
//!
//! Writes may fail for a while. A record that must precede its step (a message accepted, an attempt started) is refused
//! then, and the step is not taken. A record of a step that has already happened is applied to the state at once and
//! deferred. Deferred records are written in order, before any other record except those of the endpoint list, as soon
//! as writes succeed again ([`Journal::flush`]).
//!
//! - [`record`]: the kinds of records. A new kind is added at the end, so that older journals can still be read.
//! - [`state`]: the state that results from the records; [`compaction`]: rewrites the journal from the state.
//! - [`tombstones`]: the part of the state that remembers messages that are over, by the hashes of [`message_content`].
//! - [`frame`] and [`mod@chunks`]: the format of records on disk, and of lists too long for one record.
//! - [`mod@file`], [`clock_file`], [`space`] and [`error`]: the two files, their disk space, and their errors.

mod chunks;
mod clock_file;
mod compaction;
mod error;
mod file;
mod frame;
mod message_content;
mod record;
mod space;
mod state;
mod tombstones;

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
use tombstones::Tombstone;

pub use clock_file::ClockReading;
pub use error::JournalError;
pub use message_content::MessageContent;
pub use record::{
    AcceptedRecord, CircuitKey, FinalOutcome, PendingMessage, PersistedCircuit, PersistedCircuitChange,
    SentRecord,
};
pub use tombstones::CompletedMatch;

/// The minimum time between a failed compaction and the next one.
const COMPACTION_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The journal of one state folder. One process at a time owns the folder, by its lock, and only that process may use
/// the journal.
pub struct Journal {
    file: JournalFile,
    space: DiskSpace,
    /// The state that results from the file's records and the deferred ones.
    pub state: JournalState,
    /// The maximum number of bytes that the pending messages would take in a compacted file.
    live_bytes: u64,
    /// Records that are applied to the state but not yet written to the file, the oldest first.
    deferred: VecDeque<Record>,
    /// Whether the file's endpoint list is older than the state's.
    has_deferred_endpoints: bool,
    /// The size of a compacted copy that could not be removed; 0 if there is none.
    leftover_copy_bytes: u64,
    /// The time of the last failed compaction. None if none has failed, or if a later one has succeeded.
    compaction_failed_at: Option<Instant>,
    clock: ClockFile,
}

impl Journal {
    /// Opens the journal of a folder, and replays it. `disk_bytes` is the disk space for all its files. A torn tail is
    /// truncated: its record was not written completely, so no step that needs the record was taken.
    ///
    /// # Errors
    /// A file cannot be opened or read. No file has been changed, and the call may be retried.
    pub fn open(folder: &Path, disk_bytes: u64) -> Result<Self, JournalError> {
        let path = folder.join("journal");
        let mut state = JournalState::new(disk_bytes);
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
            has_deferred_endpoints: false,
            leftover_copy_bytes,
            compaction_failed_at: None,
            clock,
        })
    }

    /// Returns whether the files hold all of the state, and no torn tail.
    pub fn is_flushed(&self) -> bool {
        self.has_all_records()
            && !self.has_deferred_endpoints
            && self.clock.is_written()
            && !self.file.has_torn_tail()
    }

    /// Returns whether a failed write may have left a whole record after the end, which the next process would apply.
    pub fn has_torn_tail(&self) -> bool {
        self.file.has_torn_tail()
    }

    /// Returns whether no record of a message is deferred. The endpoint list and the clock are deferred separately.
    pub fn has_all_records(&self) -> bool {
        self.deferred.is_empty()
    }

    /// Returns whether the file is unchanged since this process last wrote to it. False if that cannot be checked.
    pub fn is_untouched(&self) -> bool {
        self.file.is_untouched()
    }

    /// Writes everything that is deferred: records, the endpoint list and the clock's reading. Truncates a torn tail.
    ///
    /// # Errors
    /// A write still fails; its record stays deferred.
    pub fn flush(&mut self) -> Result<(), JournalError> {
        self.flush_records()?;
        if self.has_deferred_endpoints {
            self.write_all_endpoints()?;
        }
        if !self.clock.is_written() {
            self.clock.write()?;
        }
        self.file.truncate_tail();
        Ok(())
    }

    /// Accepts a message, and returns its number. The message then outlasts the process.
    ///
    /// # Errors
    /// The message is not accepted: it cannot be written, or would exceed the disk space. After
    /// [`TornTail`](JournalError::TornTail), nothing was written. After other errors, the message's record may be in
    /// the file if [`has_torn_tail`](Self::has_torn_tail) returns true.
    pub fn accept(&mut self, message: AcceptedRecord) -> Result<u32, JournalError> {
        self.file.truncate_tail();
        if self.file.has_torn_tail() {
            return Err(JournalError::TornTail);
        }
        let number = self.state.last_number + 1;
        self.check_tombstones()?;
        let message_bytes = live_bytes(&message);
        self.space.check_live(self.live_bytes + message_bytes, self.base_bytes())?;
        let tenant = message.tenant.clone();
        self.write_ahead(Record::Accepted { number, message })?;
        self.live_bytes += message_bytes;
        if !tenant.is_empty() {
            // The message is accepted already. A failure here only defers the tenant's record.
            let _ = self.write_or_defer(Record::Tenant { number, tenant });
        }
        Ok(number)
    }

    /// Records an attempt that is about to be sent.
    ///
    /// # Errors
    /// The attempt is not recorded, and must not be sent.
    pub fn record_attempt_started(&mut self, number: u32, attempt: SentRecord) -> Result<(), JournalError> {
        self.write_ahead(Record::AttemptStarted { number, attempt })
    }

    /// Records the end of the attempt in flight, and whether the endpoint may have processed it.
    ///
    /// # Errors
    /// The record is deferred.
    pub fn record_attempt_outcome(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.end_attempt(number, Record::AttemptFinished { number, may_have_run })
    }

    /// Records that the attempt in flight was not sent, and removes it from the message's number of attempts.
    ///
    /// # Errors
    /// The record is deferred.
    pub fn record_attempt_undone(&mut self, number: u32) -> Result<(), JournalError> {
        self.end_attempt(number, Record::AttemptUndone { number })
    }

    /// Records the final outcome of a message, before its notification is sent.
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

    /// Records at `ended_ms`, in journal time, that a message is completed: it was delivered, or its notification was
    /// acknowledged. Its tombstone stays. `is_idempotent`: its class permits that it runs again at any time.
    ///
    /// # Errors
    /// The record is deferred.
    pub fn complete(&mut self, number: u32, ended_ms: u64, is_idempotent: bool) -> Result<(), JournalError> {
        let Some(pending) = self.state.pending.get(&number) else { return Ok(()) };
        let is_expendable = is_idempotent || !pending.may_have_run();
        let message = &pending.message;
        let tombstone = Tombstone::new(&message.id, &message.content(), ended_ms, is_expendable);
        self.remove(number, vec![tombstone])
    }

    /// Records that a message was withdrawn, which must certainly not have run. Its id is free again.
    ///
    /// # Errors
    /// The record is deferred.
    pub fn withdraw(&mut self, number: u32) -> Result<(), JournalError> {
        self.remove(number, Vec::new())
    }

    /// Applies an update of the endpoint list, and records it. The next process reads either all of the update or none.
    ///
    /// # Errors
    /// The update is not written. The whole list is deferred, and written later.
    pub fn record_endpoints(&mut self, update: DiscoveryUpdate) -> Result<(), JournalError> {
        if self.has_deferred_endpoints {
            self.state.apply_endpoints(update);
            return self.write_all_endpoints();
        }
        let written = self.write_endpoints(&update);
        self.state.apply_endpoints(update);
        self.has_deferred_endpoints = written.is_err();
        written
    }

    /// Records changes of circuits.
    ///
    /// # Errors
    /// Not all changes are recorded. Those that are not are missing from the state as well.
    pub fn record_circuits(&mut self, changes: &[PersistedCircuitChange]) -> Result<(), JournalError> {
        for chunk in chunks(changes)? {
            self.write_ahead(Record::CircuitChanges(chunk.into_iter().cloned().collect()))?;
        }
        Ok(())
    }

    /// Records that operators disable an endpoint or enable it again.
    ///
    /// # Errors
    /// The change is not recorded, and must not take effect.
    pub fn record_endpoint_disabled(&mut self, uid: &str, is_disabled: bool) -> Result<(), JournalError> {
        self.write_ahead(Record::EndpointDisabled { uid: uid.to_owned(), is_disabled })
    }

    /// Returns the last reading of the clock. None in a new folder, if the clock's file is damaged, or in the folder of
    /// an older build, whose journal has wall-clock times.
    pub fn clock_reading(&self) -> Option<&ClockReading> {
        self.clock.reading()
    }

    /// Records a reading of the clock, from which the next process continues journal time.
    ///
    /// # Errors
    /// The reading is deferred.
    pub fn record_clock(&mut self, reading: ClockReading) -> Result<(), JournalError> {
        self.clock.record(reading)
    }

    /// Writes a record that must be in the file before its step is taken, and applies it. After an error, the state is
    /// unchanged.
    fn write_ahead(&mut self, record: Record) -> Result<(), JournalError> {
        self.flush_records()?;
        self.append(&encode_frame(&record)?)?;
        self.state.apply(record);
        Ok(())
    }

    /// Applies a record of a step that has already happened, and writes it. After an error, the record is deferred.
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

    /// Checks that the tombstone of one more message has room when the message ends, beside those of all pending ones.
    fn check_tombstones(&self) -> Result<(), JournalError> {
        let JournalState { tombstones, pending, .. } = &self.state;
        if tombstones.has_room_for(pending.len() + 1) {
            return Ok(());
        }
        Err(JournalError::TombstonesFull { tombstones: tombstones.len(), limit: tombstones.max_count() })
    }

    /// Removes a pending message, and adds tombstones.
    fn remove(&mut self, number: u32, tombstones: Vec<Tombstone>) -> Result<(), JournalError> {
        let Some(pending) = self.state.pending.get(&number) else { return Ok(()) };
        self.live_bytes = self.live_bytes.saturating_sub(live_bytes(&pending.message));
        self.write_or_defer(Record::Completed { number, tombstones: Some(tombstones) })
    }

    /// Calls [`write_or_defer`](Self::write_or_defer) for the end of an attempt, if its start was recorded.
    fn end_attempt(&mut self, number: u32, record: Record) -> Result<(), JournalError> {
        if !self.state.has_attempt_in_flight(number) {
            return Ok(());
        }
        self.write_or_defer(record)
    }

    /// Writes the deferred records, the oldest first.
    fn flush_records(&mut self) -> Result<(), JournalError> {
        while let Some(record) = self.deferred.front() {
            self.append(&encode_frame(record)?)?;
            // If `append` has compacted the journal, all records are written and the queue is already empty.
            self.deferred.pop_front();
        }
        Ok(())
    }

    fn write_endpoints(&mut self, update: &DiscoveryUpdate) -> Result<(), JournalError> {
        let mut frames = Vec::new();
        for record in endpoint_records(update.revision, update.is_snapshot, &update.endpoints)? {
            frames.extend(encode_frame(&record)?);
        }
        // Appends all parts at once, because a compaction between two parts would lose the first.
        self.append(&frames)
    }

    /// Writes the whole endpoint list, in place of the updates that could not be written.
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
        self.has_deferred_endpoints = false;
        Ok(())
    }

    /// Appends whole frames. Compacts the journal first if the file would grow too large.
    fn append(&mut self, frames: &[u8]) -> Result<(), JournalError> {
        let added = frames.len() as u64;
        let compacted_bytes = self.base_bytes() + self.live_bytes;
        let mut compacted = Ok(());
        if self.space.needs_compaction(self.file.size() + added, compacted_bytes) && self.can_compact() {
            compacted = self.compact();
        }
        let size = self.file.size() + added + self.leftover_copy_bytes;
        if let Err(full) = self.space.check_file(size, compacted_bytes) {
            // If the compaction has failed as well, its error is the cause.
            return compacted.and(Err(full));
        }
        self.file.append(frames)
    }

    /// Returns the bytes that a compacted file takes besides the pending messages, as the limits count them.
    fn base_bytes(&self) -> u64 {
        self.space.counted_base(self.state.base_bytes())
    }

    fn can_compact(&self) -> bool {
        self.compaction_failed_at.is_none_or(|at| at.elapsed() >= COMPACTION_RETRY_DELAY)
    }

    /// Writes the state, including the deferred records, to a new file that replaces the journal.
    fn compact(&mut self) -> Result<(), JournalError> {
        let available = self.space.bytes().saturating_sub(self.file.size());
        match compact(&self.state, self.file.path(), available) {
            Ok(CompactedFile { file, size }) => {
                self.file.replace_with(file, size);
                self.leftover_copy_bytes = 0;
                self.has_deferred_endpoints = false;
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
