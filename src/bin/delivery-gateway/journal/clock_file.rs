//! Stores the last reading of the journal's clock in a separate file beside the journal, because older builds can't
//! read a journal record of this kind.

use serde::{Deserialize, Serialize};
use std::fs::{self, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::error::{FileOperation, JournalError};
use super::frame::{encode_frame, read_frame};

/// The disk space reserved for the file.
pub const CLOCK_FILE_BYTES: u64 = 512;

/// Journal time and the machine's monotonic clock at the same moment. The next process continues journal time from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// The id of the machine's boot. The monotonic clock starts at each boot.
    pub boot_id: String,
    /// The time of the monotonic clock.
    pub monotonic: Duration,
    /// Journal time, in Unix milliseconds.
    pub journal_ms: u64,
}

/// The clock's file, and the last reading.
pub struct ClockFile {
    path: PathBuf,
    reading: Option<ClockReading>,
    /// Whether the file holds `reading`.
    is_written: bool,
}

impl ClockFile {
    /// Reads the clock's file beside a journal. A missing or damaged file counts as no reading.
    ///
    /// # Errors
    /// The file exists and cannot be read.
    pub fn open(journal: &Path) -> Result<Self, JournalError> {
        let path = journal.with_extension("clock");
        let reading = read(&path).map_err(JournalError::file(FileOperation::ReadClock, &path))?;
        Ok(ClockFile { path, reading, is_written: true })
    }

    /// Returns the last reading, whether or not it has been written. None if there is none.
    pub fn reading(&self) -> Option<&ClockReading> {
        self.reading.as_ref()
    }

    /// Returns whether the file holds the last reading.
    pub fn is_written(&self) -> bool {
        self.is_written
    }

    /// Replaces the reading, and writes it to the file.
    ///
    /// # Errors
    /// The file cannot be written. [`write`](Self::write) retries it.
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
