//! Compaction: writes the state to a new file, and renames it over the journal.
//!
//! No other operation changes existing records. The journal stays unchanged until the rename.

use std::fs::{self, File};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use super::chunks::{chunks, destination_records, endpoint_records};
use super::error::{FileOperation, JournalError};
use super::frame::encode_frame;
use super::record::{PersistedCircuitChange, Record};
use super::state::JournalState;
use super::tombstones::Tombstone;

/// The file that has replaced the journal.
pub struct CompactedFile {
    pub file: File,
    /// In bytes.
    pub size: u64,
}

/// Writes the state to a new file of at most `available` bytes, and renames it over the journal.
///
/// # Errors
/// The file cannot be written or renamed, or would be too large. The copy may be left behind; see [`remove_copy`].
pub fn compact(state: &JournalState, journal: &Path, available: u64) -> Result<CompactedFile, JournalError> {
    let copy = copy_path(journal);
    let file = File::create(&copy).map_err(JournalError::file(FileOperation::Compact, &copy))?;
    let mut writer = CopyWriter { path: &copy, file: BufWriter::new(file), size: 0, available };
    writer.write_state(state)?;
    let CopyWriter { file, size, .. } = writer;
    let file = file.into_inner().map_err(io::IntoInnerError::into_error);
    let file = file.map_err(JournalError::file(FileOperation::Compact, &copy))?;
    fs::rename(&copy, journal).map_err(JournalError::file(FileOperation::Compact, journal))?;
    Ok(CompactedFile { file, size })
}

/// Removes the copy of a compaction that failed. Returns the size in bytes of a copy that could not be removed, else 0.
pub fn remove_copy(journal: &Path) -> u64 {
    let copy = copy_path(journal);
    match fs::remove_file(&copy) {
        Ok(()) => 0,
        Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
        Err(_) => fs::metadata(&copy).map_or(0, |data| data.len()),
    }
}

fn copy_path(journal: &Path) -> PathBuf {
    journal.with_extension("new")
}

struct CopyWriter<'a> {
    path: &'a Path,
    file: BufWriter<File>,
    /// In bytes.
    size: u64,
    /// The maximum size in bytes.
    available: u64,
}

impl CopyWriter<'_> {
    fn write(&mut self, record: Record) -> Result<(), JournalError> {
        let frame = encode_frame(&record)?;
        self.size += frame.len() as u64;
        if self.size > self.available {
            return Err(JournalError::NoRoomToCompact { available: self.available });
        }
        self.file.write_all(&frame).map_err(JournalError::file(FileOperation::Compact, self.path))
    }

    fn write_state(&mut self, state: &JournalState) -> Result<(), JournalError> {
        for record in endpoint_records(state.endpoints_revision, true, state.endpoints.values())? {
            self.write(record)?;
        }
        for record in destination_records(&state.destinations)? {
            self.write(record)?;
        }
        for chunk in chunks(state.circuits.iter())? {
            let changes = chunk.into_iter().cloned().map(PersistedCircuitChange::Updated);
            self.write(Record::CircuitChanges(changes.collect()))?;
        }
        for uid in &state.disabled_endpoints {
            self.write(Record::EndpointDisabled { uid: uid.clone(), is_disabled: true })?;
        }
        self.write_tombstones(state)?;
        for (&number, pending) in &state.pending {
            self.write(Record::Pending { number, message: pending.clone() })?;
            let tenant = &pending.message.tenant;
            if !tenant.is_empty() {
                self.write(Record::Tenant { number, tenant: tenant.clone() })?;
            }
        }
        Ok(())
    }

    /// Writes the tombstones and the highest number of a message, which may be over. Must come before the pending
    /// messages: in a reader's state, the number is not pending yet.
    fn write_tombstones(&mut self, state: &JournalState) -> Result<(), JournalError> {
        let tombstones: Vec<Tombstone> = state.tombstones.iter().collect();
        let mut lists = chunks(&tombstones)?;
        if lists.is_empty() && state.last_number > 0 {
            lists.push(Vec::new());
        }
        for list in lists {
            let tombstones = Some(list.into_iter().copied().collect());
            self.write(Record::Completed { number: state.last_number, tombstones })?;
        }
        Ok(())
    }
}
