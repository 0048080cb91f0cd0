//! Divides the disk space of the journal between live records, the file, and the copy that compaction writes.

use super::error::JournalError;
use super::record::AcceptedRecord;

/// The maximum fraction of the disk space for live bytes, which the pending messages would take in a compacted file. A
/// message that would exceed it is not accepted.
const LIVE_FRACTION: f64 = 0.43;
/// The file is compacted before it exceeds this fraction of the disk space, so that the old and the new file fit side
/// by side. It grows further only while compaction fails.
const COMPACTION_FRACTION: f64 = 0.54;
/// The maximum fraction of the disk space for the file. Nothing is appended beyond it, even if compaction fails.
const FILE_FRACTION: f64 = 0.95;
/// The live bytes reserved for each message, in addition to its content, for its later records.
const OVERHEAD_BYTES_PER_MESSAGE: u64 = 128;

/// Returns the maximum number of bytes that a message takes in a compacted file.
pub fn live_bytes(message: &AcceptedRecord) -> u64 {
    message.content_bytes() as u64 + OVERHEAD_BYTES_PER_MESSAGE
}

/// The disk space of the journal's records.
#[derive(Clone, Copy)]
pub struct DiskSpace {
    bytes: u64,
}

impl DiskSpace {
    pub fn new(bytes: u64) -> Self {
        DiskSpace { bytes }
    }

    pub fn bytes(self) -> u64 {
        self.bytes
    }

    /// Returns whether the journal has to be compacted before its file grows to `size` bytes.
    pub fn needs_compaction(self, size: u64) -> bool {
        size > self.fraction(COMPACTION_FRACTION)
    }

    /// Checks that the live bytes may grow to `needed` bytes.
    ///
    /// # Errors
    /// `needed` exceeds the maximum; the message must not be accepted.
    pub fn check_live(self, needed: u64) -> Result<(), JournalError> {
        let limit = self.fraction(LIVE_FRACTION);
        if needed > limit {
            return Err(JournalError::LiveBytesExceeded { needed, limit });
        }
        Ok(())
    }

    /// Checks that the file, together with a leftover copy of a failed compaction, may grow to `needed` bytes.
    ///
    /// # Errors
    /// `needed` exceeds the maximum.
    pub fn check_file(self, needed: u64) -> Result<(), JournalError> {
        let limit = self.fraction(FILE_FRACTION);
        if needed > limit {
            return Err(JournalError::FileFull { needed, limit });
        }
        Ok(())
    }

    fn fraction(self, fraction: f64) -> u64 {
        (self.bytes as f64 * fraction) as u64
    }
}
