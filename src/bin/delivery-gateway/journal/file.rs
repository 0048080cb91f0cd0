//! The journal's file. Appends whole records after the last one, and truncates the torn tail of a failed append.

use std::fs::{self, File, OpenOptions};
use std::io::BufReader;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

use super::error::{FileOperation, JournalError};
use super::frame::{read_frame, END_OF_RECORDS};
use super::record::Record;

/// The journal's file, and the end of its records.
pub struct JournalFile {
    path: PathBuf,
    file: File,
    /// The offset of the next record, in bytes.
    end: u64,
    /// Whether there may be bytes after `end` that the next process could read as a record. Bytes behind an
    /// [`END_OF_RECORDS`] that this process has written there don't count.
    has_torn_tail: bool,
}

impl JournalFile {
    /// Opens a file, or creates it, and passes its records to `apply`. The records end before the first torn or damaged
    /// one.
    ///
    /// # Errors
    /// The file cannot be opened or read. Its contents are unchanged.
    pub fn replay(path: &Path, mut apply: impl FnMut(Record)) -> Result<Self, JournalError> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(JournalError::file(FileOperation::Open, path))?;
        let length = file.metadata().map_err(JournalError::file(FileOperation::Open, path))?.len();
        // Reads one record at a time, because a file may be larger than the memory.
        let mut reader = BufReader::new(&file);
        let mut end = 0;
        while let Some(frame) =
            read_frame(&mut reader, length - end).map_err(JournalError::file(FileOperation::Replay, path))?
        {
            apply(frame.record);
            end += frame.bytes;
        }
        Ok(JournalFile { path: path.to_owned(), file, end, has_torn_tail: length > end })
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the size of the records in bytes.
    pub fn size(&self) -> u64 {
        self.end
    }

    /// Returns whether there may be bytes after the last record that the next process could read as a record.
    pub fn has_torn_tail(&self) -> bool {
        self.has_torn_tail
    }

    /// Returns whether no other process has replaced the file or appended to it. Also false if that cannot be checked,
    /// or while bytes that this process wrote itself follow the last record.
    pub fn is_untouched(&self) -> bool {
        let Ok(at_path) = fs::metadata(&self.path) else { return false };
        let Ok(own) = self.file.metadata() else { return false };
        at_path.ino() == own.ino() && at_path.len() == self.end
    }

    /// Writes whole records after the last one, over the torn tail of a failed write.
    ///
    /// # Errors
    /// Not all bytes could be written. None of the records counts, but a torn tail that cannot be truncated may hold
    /// some of them.
    pub fn append(&mut self, frames: &[u8]) -> Result<(), JournalError> {
        self.truncate_tail();
        if let Err(error) = self.file.write_all_at(frames, self.end) {
            self.has_torn_tail = true;
            self.truncate_tail();
            return Err(JournalError::file(FileOperation::Append, &self.path)(error));
        }
        self.end += frames.len() as u64;
        Ok(())
    }

    /// Truncates a torn tail or, if that fails, writes [`END_OF_RECORDS`] over its start. It stays torn if both fail.
    pub fn truncate_tail(&mut self) {
        if self.has_torn_tail {
            let is_clean = self.file.set_len(self.end).is_ok()
                || self.file.write_all_at(&END_OF_RECORDS, self.end).is_ok();
            self.has_torn_tail = !is_clean;
        }
    }

    /// Continues with the compacted file that has replaced this one.
    pub fn replace_with(&mut self, file: File, size: u64) {
        self.file = file;
        self.end = size;
        self.has_torn_tail = false;
    }
}
