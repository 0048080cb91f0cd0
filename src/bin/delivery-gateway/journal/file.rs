//! The journal's file: appends whole records behind the last one, and truncates what a failed append leaves.

use std::fs::{self, File, OpenOptions};
use std::io::BufReader;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

use super::error::{FileOperation, JournalError};
use super::frame::{read_frame, END_OF_RECORDS};
use super::record::Record;

/// The journal's file, and where its records end.
pub struct JournalFile {
    path: PathBuf,
    file: File,
    /// Where the next record goes, in bytes from the start.
    end: u64,
    /// Bytes may lie behind the end, which the next process could take for a record.
    has_torn_tail: bool,
}

impl JournalFile {
    /// Opens a file, which is created where there is none, and passes on all its records. They end before the first
    /// torn or damaged one.
    ///
    /// # Errors
    /// The file cannot be opened or read. Its contents are as they were.
    pub fn replay(path: &Path, mut apply: impl FnMut(Record)) -> Result<Self, JournalError> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(JournalError::file(FileOperation::Open, path))?;
        let length = file.metadata().map_err(JournalError::file(FileOperation::Open, path))?.len();
        // One record at a time: a file may be larger than the memory.
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

    /// Where the file is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// How many bytes its records take.
    pub fn size(&self) -> u64 {
        self.end
    }

    /// Whether bytes may lie behind the last record.
    pub fn has_torn_tail(&self) -> bool {
        self.has_torn_tail
    }

    /// Whether no other process has replaced the file or appended to it.
    pub fn is_untouched(&self) -> bool {
        let Ok(at_path) = fs::metadata(&self.path) else { return false };
        let Ok(own) = self.file.metadata() else { return false };
        at_path.ino() == own.ino() && at_path.len() == self.end
    }

    /// Writes whole records behind the last one, over what a failed write may have left there.
    ///
    /// # Errors
    /// Not all could be written. None of it counts.
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

    /// Truncates a torn tail, or at least marks where records end. It stays torn if neither can be done.
    pub fn truncate_tail(&mut self) {
        if self.has_torn_tail {
            let cleaned = self.file.set_len(self.end).is_ok()
                || self.file.write_all_at(&END_OF_RECORDS, self.end).is_ok();
            self.has_torn_tail = !cleaned;
        }
    }

    /// Goes on with a compacted file that has been put in this one's place.
    pub fn replaced_by(&mut self, file: File, size: u64) {
        self.file = file;
        self.end = size;
        self.has_torn_tail = false;
    }
}
