//! Divides the disk space of the journal between live records, the file, and the copy that compaction writes.
//!
//! The file and its compacted copy always fit the disk space together, so that compaction is possible at any time. The
//! copy has the pending messages, and the *base*: the endpoint list and all other state. So the base limits how many
//! messages are accepted, and how far the file may grow. Only a base of almost half of the space breaks this; see
//! [`DiskSpace::counted_base`].

use super::error::JournalError;
use super::record::AcceptedRecord;

/// The maximum fraction of the disk space for live bytes, which the pending messages would take in a compacted file. A
/// message that would exceed it is not accepted.
const LIVE_FRACTION: f64 = 0.43;
/// The maximum fraction of the disk space for a compacted file at the acceptance of a message, which leaves room for the
/// file at [`COMPACTION_FRACTION`] and for files' sizes in whole blocks.
const COMPACTED_FRACTION: f64 = 0.45;
/// The file is compacted before it exceeds this fraction of the disk space, so that the old and the new file fit side
/// by side. It grows further only while compaction fails.
const COMPACTION_FRACTION: f64 = 0.54;
/// The maximum fraction of the disk space for the file. Nothing is appended beyond it, or beyond what leaves room for a
/// compacted copy, even if compaction fails.
const FILE_FRACTION: f64 = 0.95;
/// The unit in which the platform counts the size of a file.
const BLOCK_BYTES: u64 = 512;
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

    /// Returns the base that the limits count. A base beyond [`COMPACTED_FRACTION`] is not counted: no journal with it can
    /// be compacted, and messages are accepted and attempted as long as the file has room.
    pub fn counted_base(self, base: u64) -> u64 {
        if base > self.fraction(COMPACTED_FRACTION) {
            0
        } else {
            base
        }
    }

    /// Returns whether the journal has to be compacted before its file grows to `size` bytes. `compacted` is the maximum
    /// size of a compacted file.
    pub fn needs_compaction(self, size: u64, compacted: u64) -> bool {
        size > self.fraction(COMPACTION_FRACTION).min(self.beside_copy(compacted))
    }

    /// Checks that the live bytes may grow to `needed` bytes, beside a base of `base` bytes in a compacted file.
    ///
    /// # Errors
    /// `needed` exceeds the maximum; the message must not be accepted.
    pub fn check_live(self, needed: u64, base: u64) -> Result<(), JournalError> {
        let limit = self.fraction(LIVE_FRACTION).min(self.fraction(COMPACTED_FRACTION).saturating_sub(base));
        if needed > limit {
            return Err(JournalError::LiveBytesExceeded { needed, limit });
        }
        Ok(())
    }

    /// Checks that the file, together with a leftover copy of a failed compaction, may grow to `needed` bytes.
    /// `compacted` is the maximum size of a compacted file.
    ///
    /// # Errors
    /// `needed` exceeds the maximum.
    pub fn check_file(self, needed: u64, compacted: u64) -> Result<(), JournalError> {
        let limit = self.fraction(FILE_FRACTION).min(self.beside_copy(compacted));
        if needed > limit {
            return Err(JournalError::FileFull { needed, limit });
        }
        Ok(())
    }

    /// Returns the maximum size of the file that leaves room for a copy of `compacted` bytes.
    fn beside_copy(self, compacted: u64) -> u64 {
        self.bytes.saturating_sub(compacted).saturating_sub(BLOCK_BYTES)
    }

    fn fraction(self, fraction: f64) -> u64 {
        (self.bytes as f64 * fraction) as u64
    }
}
