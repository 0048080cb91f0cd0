//! How the disk space of the journal is divided: live bytes, the file, and room to compact it in.

use super::error::JournalError;
use super::record::AcceptedRecord;

/// Messages are accepted only while the live bytes fit into this fraction of the disk.
const LIVE_FRACTION: f64 = 0.43;
/// The file is compacted before it exceeds this fraction, so that the old and the new one fit side by side.
const COMPACTION_FRACTION: f64 = 0.54;
/// Nothing is appended beyond this fraction, also if compaction fails.
const FILE_FRACTION: f64 = 0.95;
/// Live bytes of each message for its later records.
const OVERHEAD_BYTES_PER_MESSAGE: u64 = 128;

/// Bytes that a message takes in a compacted file, at most.
pub fn live_bytes(message: &AcceptedRecord) -> u64 {
    message.content_bytes() as u64 + OVERHEAD_BYTES_PER_MESSAGE
}

/// The disk space that the journal may take.
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

    /// Whether a file of this size is compacted first.
    pub fn needs_compaction(self, size: u64) -> bool {
        size > self.fraction(COMPACTION_FRACTION)
    }

    /// # Errors
    /// So many live bytes are too many: no message is accepted that leads to them.
    pub fn check_live(self, needed: u64) -> Result<(), JournalError> {
        let limit = self.fraction(LIVE_FRACTION);
        if needed > limit {
            return Err(JournalError::LiveBytesExceeded { needed, limit });
        }
        Ok(())
    }

    /// # Errors
    /// A file of this size, with what else lies on the disk, is too large.
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
