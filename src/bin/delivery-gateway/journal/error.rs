//! The errors of the journal.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An operation on one of the journal's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileOperation {
    Open,
    Replay,
    Append,
    Compact,
    ReadClock,
    WriteClock,
}

impl FileOperation {
    fn name(self) -> &'static str {
        match self {
            FileOperation::Open => "open the journal",
            FileOperation::Replay => "replay the journal",
            FileOperation::Append => "append to the journal",
            FileOperation::Compact => "compact the journal",
            FileOperation::ReadClock => "read the journal's clock",
            FileOperation::WriteClock => "write the journal's clock",
        }
    }

    /// Returns what happens after the operation has failed.
    fn consequence(self) -> &'static str {
        match self {
            FileOperation::Open | FileOperation::Replay | FileOperation::ReadClock => {
                "no file has been changed; the gateway does not start without its journal"
            }
            FileOperation::Append => "the write is retried, or the step that depends on it is not taken",
            FileOperation::Compact => "the journal stays as it is, and compaction is retried later",
            FileOperation::WriteClock => "the write is retried",
        }
    }
}

/// A failure to open, read or write the journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// A system call on a file failed.
    #[error("cannot {} at {}: {source}; {}", .operation.name(), .path.display(), .operation.consequence())]
    File { operation: FileOperation, path: PathBuf, source: io::Error },
    #[error("cannot encode a journal record: {0}; it is not written")]
    Encode(#[from] postcard::Error),
    #[error("a journal record of {bytes} bytes exceeds the maximum of {limit}; it is not written")]
    RecordTooLong { bytes: usize, limit: usize },
    #[error("live records would take {needed} bytes, the maximum is {limit}; the message is not accepted")]
    LiveBytesExceeded { needed: u64, limit: u64 },
    #[error("{tombstones} tombstones and the pending messages exceed the maximum of {limit}; the message is not accepted")]
    TombstonesFull { tombstones: usize, limit: usize },
    #[error("the journal would take {needed} bytes, the maximum is {limit}; the record is not written now")]
    FileFull { needed: u64, limit: u64 },
    #[error("the compacted journal exceeds the {available} bytes left for it; the journal stays as it is")]
    NoRoomToCompact { available: u64 },
    /// Nothing was written, because an earlier failed write has left a torn tail.
    #[error(
        "a failed write left a torn tail in the journal that cannot be truncated yet; no message is accepted"
    )]
    TornTail,
}

impl JournalError {
    /// Returns a function for `map_err` that adds the operation and the file to an I/O error.
    pub(super) fn file(operation: FileOperation, path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| JournalError::File { operation, path: path.to_owned(), source }
    }

    /// Returns the I/O error that caused this one, if any.
    pub fn io_error(&self) -> Option<&io::Error> {
        match self {
            JournalError::File { source, .. } => Some(source),
            _ => None,
        }
    }
}
