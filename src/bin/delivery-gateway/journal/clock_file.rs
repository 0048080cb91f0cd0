//! The journal's clock: its last reading, in a file of its own beside the journal, as older builds do not know such a
//! record.

use serde::{Deserialize, Serialize};
use std::fs::{self, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::error::{FileOperation, JournalError};
use super::frame::{encode_frame, read_frame};

/// Disk space that the file may take, in bytes.
pub const CLOCK_FILE_BYTES: u64 = 512;

/// Journal time at a moment, and the machine's monotonic clock then: the next process continues from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Identifies the boot of the machine since which the monotonic clock runs.
    pub boot_id: String,
    /// The monotonic clock.
    pub monotonic: Duration,
    /// Journal time, in Unix milliseconds.
    pub journal_ms: u64,
}

/// The file of the clock, and what it holds or is to hold.
pub struct ClockFile {
    path: PathBuf,
    reading: Option<ClockReading>,
    /// The file holds this reading.
    is_written: bool,
}

impl ClockFile {
    /// Reads the file beside a journal. None there, or a damaged one, is as good as no reading.
    ///
    /// # Errors
    /// The file exists and cannot be read.
    pub fn open(journal: &Path) -> Result<Self, JournalError> {
        let path = journal.with_extension("clock");
        let reading = read(&path).map_err(JournalError::file(FileOperation::ReadClock, &path))?;
        Ok(ClockFile { path, reading, is_written: true })
    }

    /// The last reading, written or not.
    pub fn reading(&self) -> Option<&ClockReading> {
        self.reading.as_ref()
    }

    /// Whether the file holds the last reading.
    pub fn is_written(&self) -> bool {
        self.is_written
    }

    /// Replaces the reading.
    ///
    /// # Errors
    /// The file cannot be written; [`write`](Self::write) tries it again.
    pub fn record(&mut self, reading: ClockReading) -> Result<(), JournalError> {
        self.reading = Some(reading);
        self.is_written = false;
        self.write()
    }

    /// Writes the last reading to the file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&mut self) -> Result<(), JournalError> {
        let Some(reading) = &self.reading else { return Ok(()) };
        let frame = encode_frame(reading)?;
        OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(&self.path)
            .and_then(|file| file.write_all_at(&frame, 0))
            .map_err(JournalError::file(FileOperation::WriteClock, &self.path))?;
        self.is_written = true;
        Ok(())
    }
}

fn read(path: &Path) -> io::Result<Option<ClockReading>> {
    match fs::read(path) {
        Ok(bytes) => {
            let frame = read_frame(&mut bytes.as_slice(), bytes.len() as u64)?;
            Ok(frame.map(|frame| frame.record))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
