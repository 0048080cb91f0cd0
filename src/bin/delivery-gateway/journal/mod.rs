//! What outlasts the process: an append-only file of checksummed records, and the image that they add up to.
//!
//! Every record is written before what it promises. A write need not reach the disk (the folder outlasts the
//! process, not the machine), but the system call must have returned.
//!
//! Writes may fail for a while. A record that promises something (a message accepted, an attempt begun) is refused
//! then. All others tell what has happened already: the image holds them at once, and the file gets them, in their
//! order and before anything else, as soon as it can be written again ([`Journal::settle`]).

mod frame;
mod record;

use delivery_gateway::discovery::DiscoveryUpdate;
use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;

use frame::{frame, list_records, pieces, read_frame, FRAME};
use record::{JournalState, Record};

pub use record::{
    AcceptedRecord, CircuitKey, ClockReading, FinalOutcome, PendingMessage, PersistedCircuit,
    PersistedCircuitChange, SentRecord,
};

/// Messages are taken on only while what is live fits into this part of the disk ...
const LIVE_PART: f64 = 0.43;
/// ... and the file is compacted before it passes this part, so that old and new fit side by side.
const FILE_PART: f64 = 0.54;
/// No append goes past this part, also if compaction fails.
const HARD_PART: f64 = 0.95;
/// Room kept for the later records of each live message.
const PER_MESSAGE: u64 = 128;
/// What the file of the clock takes of the disk.
const CLOCK_FILE: u64 = 512;
/// In the place of a record's length and checksum: there is none, and nothing behind it counts.
const NO_RECORD: [u8; FRAME] = [0; FRAME];
/// After a compaction that failed, none is tried for so long.
const COMPACT_AGAIN: Duration = Duration::from_secs(1);

#[derive(Debug, Error)]
pub enum JournalError {
    #[error("the journal's file: {0}")]
    Io(#[from] io::Error),
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
    #[error("a record is too long")]
    RecordTooLong,
    #[error("the journal is full")]
    Full,
    /// Nothing was written.
    #[error("what a failed write has left behind cannot be cut off yet")]
    TornTail,
}

pub struct Journal {
    path: PathBuf,
    file: File,
    size: u64,
    /// Bytes that a compacted file would need at most.
    live: u64,
    disk: u64,
    pub state: JournalState,
    /// Records that the image holds and the file does not, the oldest first.
    unwritten: VecDeque<Record>,
    /// The list in the file is older than that of the state.
    list_unwritten: bool,
    /// A failed write may have left bytes behind the end, which the next process could take for a record.
    tail_unclean: bool,
    /// Bytes of a compacted copy that could not be removed.
    copy_left: u64,
    /// When a compaction failed last.
    compaction_failed: Option<Instant>,
    clock: Option<ClockReading>,
    clock_unwritten: bool,
}

impl Journal {
    /// Opens the journal of a folder and replays it. A torn or damaged tail is cut off: whatever it would have
    /// promised was not promised yet.
    ///
    /// # Errors
    /// The file cannot be opened or read. Nothing has been changed then, and it may be tried again.
    pub fn open(folder: &Path, disk: u64) -> Result<Self, JournalError> {
        let path = folder.join("journal");
        let disk = disk.saturating_sub(CLOCK_FILE);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        let end = file.metadata()?.len();
        let mut state = JournalState::default();
        // One record at a time: a file may be larger than the memory.
        let mut reader = BufReader::new(&file);
        let mut size = 0;
        while let Some((record, length)) = read_frame(&mut reader, end - size)? {
            state.apply(record);
            size += length;
        }
        let live = state.pending.values().map(cost).sum();
        let clock = read_clock(&path)?;
        let mut journal = Journal {
            path,
            file,
            size,
            live,
            disk,
            state,
            unwritten: VecDeque::new(),
            list_unwritten: false,
            tail_unclean: end > size,
            copy_left: 0,
            compaction_failed: None,
            clock,
            clock_unwritten: false,
        };
        if journal.tail_unclean {
            journal.clean_tail();
        }
        journal.remove_copy();
        Ok(journal)
    }

    /// Whether the file says all that the image does, and no more.
    pub fn is_flushed(&self) -> bool {
        self.has_all_records() && !self.list_unwritten && !self.clock_unwritten && !self.tail_unclean
    }

    /// Whether a failed write may have left a whole record behind, which the next process would believe.
    pub fn has_unclean_tail(&self) -> bool {
        self.tail_unclean
    }

    /// Whether the file has all records of messages. The list and the clock do not wait for these, nor these for them.
    pub fn has_all_records(&self) -> bool {
        self.unwritten.is_empty()
    }

    /// Writes what could not be written before.
    pub fn flush(&mut self) -> Result<(), JournalError> {
        self.write_records()?;
        if self.list_unwritten {
            self.write_list()?;
        }
        if self.clock_unwritten {
            self.write_clock()?;
        }
        if self.tail_unclean {
            self.clean_tail();
        }
        Ok(())
    }

    /// Writes the records that could not be written before, the oldest first.
    fn write_records(&mut self) -> Result<(), JournalError> {
        while let Some(record) = self.unwritten.front() {
            self.write(&frame(record)?)?;
            // A compaction on the way has written them all.
            self.unwritten.pop_front();
        }
        Ok(())
    }

    /// Writes the whole list, in the place of changes that could not be written.
    fn write_list(&mut self) -> Result<(), JournalError> {
        let mut bytes = Vec::new();
        for piece in pieces(&self.state.destinations)? {
            bytes.extend(frame(&Record::Destinations(piece.into_iter().copied().collect()))?);
        }
        for record in list_records(self.state.endpoints_revision, true, self.state.endpoints.values())? {
            bytes.extend(frame(&record)?);
        }
        self.write(&bytes)?;
        self.list_unwritten = false;
        Ok(())
    }

    /// Whether the file is as this process left it.
    pub fn is_untouched(&self) -> bool {
        let now = fs::metadata(&self.path).ok().zip(self.file.metadata().ok());
        now.is_some_and(|(there, own)| there.ino() == own.ino() && there.len() == self.size)
    }

    /// Takes a message on and gives it its number; after this it outlasts the process.
    pub fn accept(&mut self, taken: AcceptedRecord) -> Result<u32, JournalError> {
        if self.tail_unclean {
            self.clean_tail();
        }
        if self.tail_unclean {
            return Err(JournalError::TornTail);
        }
        let number = self.state.last_number + 1;
        let more = taken_cost(&taken);
        if self.live + more > self.part(LIVE_PART) {
            return Err(JournalError::Full);
        }
        let tenant = taken.tenant.clone();
        self.promise(Record::Accepted { number, message: taken })?;
        self.live += more;
        if !tenant.is_empty() {
            // Taken on already, so that a failure here is none of the hand-in.
            let _ = self.tell(Record::Tenant { number, tenant });
        }
        Ok(number)
    }

    /// An attempt is about to be made.
    pub fn record_attempt(&mut self, number: u32, sent: SentRecord) -> Result<(), JournalError> {
        self.promise(Record::AttemptStarted { number, attempt: sent })
    }

    /// The attempt that was out has ended.
    pub fn record_attempt_outcome(&mut self, number: u32, may_have_run: bool) -> Result<(), JournalError> {
        self.tell_of_attempt(Record::AttemptFinished { number, may_have_run }, number)
    }

    /// The attempt that was out was not made after all, and is none of those that the message has.
    pub fn record_local_failure(&mut self, number: u32) -> Result<(), JournalError> {
        self.tell_of_attempt(Record::AttemptNotSent { number }, number)
    }

    /// A message has its final outcome, which nobody has been told yet.
    pub fn record_final_outcome(
        &mut self,
        number: u32,
        final_outcome: FinalOutcome,
    ) -> Result<(), JournalError> {
        self.tell(Record::OutcomeDecided { number, final_outcome })
    }

    /// A message has its end: it was delivered, its notice was answered, or nobody wants it.
    pub fn remove(&mut self, number: u32) -> Result<(), JournalError> {
        let Some(less) = self.state.pending.get(&number).map(cost) else { return Ok(()) };
        self.live = self.live.saturating_sub(less);
        self.tell(Record::Completed { number })
    }

    /// Writes all of an update or, as far as the next process is concerned, nothing of it: the whole list later.
    pub fn record_endpoints(&mut self, update: DiscoveryUpdate) -> Result<(), JournalError> {
        if self.list_unwritten {
            self.state.list(update);
            return self.write_list();
        }
        let written = self.write_update(&update);
        self.state.list(update);
        self.list_unwritten = written.is_err();
        written
    }

    fn write_update(&mut self, update: &DiscoveryUpdate) -> Result<(), JournalError> {
        let mut bytes = Vec::new();
        for record in list_records(update.revision, update.is_snapshot, &update.endpoints)? {
            bytes.extend(frame(&record)?);
        }
        // At once, as a compaction between two parts would lose the first.
        self.write(&bytes)
    }

    pub fn record_circuits(&mut self, changes: &[PersistedCircuitChange]) -> Result<(), JournalError> {
        for piece in pieces(changes)? {
            self.promise(Record::CircuitChanges(piece.into_iter().cloned().collect()))?;
        }
        Ok(())
    }

    pub fn record_endpoint_disabled(&mut self, uid: &str, out: bool) -> Result<(), JournalError> {
        self.promise(Record::EndpointDisabled { uid: uid.to_owned(), disabled: out })
    }

    /// The last reading of the clock; none in a folder of an older build, whose journal counts in wall time.
    pub fn clock_reading(&self) -> Option<&ClockReading> {
        self.clock.as_ref()
    }

    /// How journal time goes on from now.
    pub fn record_clock(&mut self, reading: ClockReading) -> Result<(), JournalError> {
        self.clock = Some(reading);
        self.clock_unwritten = true;
        self.write_clock()
    }

    /// In a file of its own: an older build, which knows no such record, still reads the journal.
    fn write_clock(&mut self) -> Result<(), JournalError> {
        let Some(reading) = &self.clock else { return Ok(()) };
        let file =
            OpenOptions::new().write(true).create(true).truncate(false).open(clock_path(&self.path))?;
        file.write_all_at(&frame(reading)?, 0)?;
        self.clock_unwritten = false;
        Ok(())
    }

    fn part(&self, part: f64) -> u64 {
        (self.disk as f64 * part) as u64
    }

    /// Writes a record that must be in the file before what it stands for happens; if it cannot be, that must not.
    fn promise(&mut self, record: Record) -> Result<(), JournalError> {
        self.write_records()?;
        self.write(&frame(&record)?)?;
        self.state.apply(record);
        Ok(())
    }

    /// Takes in a record of what has happened; the file gets it now or, after an error, later.
    fn tell(&mut self, record: Record) -> Result<(), JournalError> {
        let written = self.write_records().and_then(|()| self.write(&frame(&record)?));
        if written.is_ok() {
            self.state.apply(record);
        } else {
            self.state.apply(record.clone());
            self.unwritten.push_back(record);
        }
        written
    }

    /// The same of the attempt that is out; one that could not be written down never was.
    fn tell_of_attempt(&mut self, record: Record, number: u32) -> Result<(), JournalError> {
        let is_out = self.state.pending.get(&number).is_some_and(|held| held.in_flight.is_some());
        if is_out {
            self.tell(record)
        } else {
            Ok(())
        }
    }

    /// Writes at a place of its own keeping: what a failed write left behind is written over by the next one.
    fn write(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        let more = bytes.len() as u64;
        let mut compacted = Ok(());
        let failed_of_late = self.compaction_failed.is_some_and(|at| at.elapsed() < COMPACT_AGAIN);
        if self.size + more > self.part(FILE_PART) && !failed_of_late {
            compacted = self.compact();
        }
        if self.size + more + self.copy_left > self.part(HARD_PART) {
            return compacted.and(Err(JournalError::Full));
        }
        if self.tail_unclean {
            self.clean_tail();
        }
        if let Err(error) = self.file.write_all_at(bytes, self.size) {
            self.tail_unclean = true;
            self.clean_tail();
            return Err(error.into());
        }
        self.size += more;
        Ok(())
    }

    /// Cuts off what may lie behind the end, or at least ends the records there. It is tried again where that fails.
    fn clean_tail(&mut self) {
        let cleaned =
            self.file.set_len(self.size).is_ok() || self.file.write_all_at(&NO_RECORD, self.size).is_ok();
        self.tail_unclean = self.tail_unclean && !cleaned;
    }

    /// Removes a compacted copy that did not come into the file's place.
    fn remove_copy(&mut self) {
        let copy = self.path.with_extension("new");
        self.copy_left = match fs::remove_file(&copy) {
            Ok(()) => 0,
            Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
            Err(_) => fs::metadata(&copy).map_or(0, |data| data.len()),
        };
    }

    /// Writes the image to a new file and puts it in the old one's place.
    fn compact(&mut self) -> Result<(), JournalError> {
        let new = self.path.with_extension("new");
        match self.write_image(&new) {
            Ok((file, size)) => {
                (self.file, self.size, self.copy_left) = (file, size, 0);
                (self.tail_unclean, self.list_unwritten, self.compaction_failed) = (false, false, None);
                self.unwritten.clear();
                Ok(())
            }
            Err(error) => {
                self.compaction_failed = Some(Instant::now());
                self.remove_copy();
                Err(error)
            }
        }
    }

    fn write_image(&self, new: &Path) -> Result<(File, u64), JournalError> {
        let mut file = BufWriter::new(File::create(new)?);
        let mut size = 0;
        let mut write = |record: Record| {
            let bytes = frame(&record)?;
            size += bytes.len() as u64;
            if self.size + size > self.disk {
                return Err(JournalError::Full);
            }
            Ok(file.write_all(&bytes)?)
        };
        list_records(self.state.endpoints_revision, true, self.state.endpoints.values())?
            .try_for_each(&mut write)?;
        for piece in pieces(&self.state.destinations)? {
            write(Record::Destinations(piece.into_iter().copied().collect()))?;
        }
        for piece in pieces(self.state.circuits.iter())? {
            let noted = |note: &PersistedCircuit| PersistedCircuitChange::Updated(note.clone());
            write(Record::CircuitChanges(piece.into_iter().map(noted).collect()))?;
        }
        for uid in &self.state.disabled_endpoints {
            write(Record::EndpointDisabled { uid: uid.clone(), disabled: true })?;
        }
        for (number, held) in &self.state.pending {
            write(Record::Pending { number: *number, message: held.clone() })?;
            if !held.message.tenant.is_empty() {
                write(Record::Tenant { number: *number, tenant: held.message.tenant.clone() })?;
            }
        }
        let file = file.into_inner().map_err(io::IntoInnerError::into_error)?;
        fs::rename(new, &self.path)?;
        Ok((file, size))
    }
}

fn clock_path(journal: &Path) -> PathBuf {
    journal.with_extension("clock")
}

/// The reading of the clock that was written last; none if there is none, or it is damaged.
fn read_clock(journal: &Path) -> io::Result<Option<ClockReading>> {
    match fs::read(clock_path(journal)) {
        Ok(bytes) => Ok(read_frame(&mut bytes.as_slice(), bytes.len() as u64)?.map(|(reading, _)| reading)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn taken_cost(taken: &AcceptedRecord) -> u64 {
    let key = taken.idempotency_key.as_ref().map_or(0, String::len);
    let texts = taken.id.len() + taken.class.len() + taken.tenant.len() + key;
    (taken.body.len() + texts) as u64 + PER_MESSAGE
}

fn cost(held: &PendingMessage) -> u64 {
    taken_cost(&held.message)
}
