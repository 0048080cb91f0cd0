//! Why the journal could not be opened, read or written.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What was tried on one of the journal's files.
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

    /// What happens next.
    fn consequence(self) -> &'static str {
        match self {
            FileOperation::Open | FileOperation::Replay | FileOperation::ReadClock => {
                "nothing has been changed, and the gateway does not start without it"
            }
            FileOperation::Append => "the write is retried, or what depends on it is not done",
            FileOperation::Compact => "the file stays as it is, and compaction is retried later",
            FileOperation::WriteClock => "the write is retried",
        }
    }
}

/// Why the journal could not be opened, read or written.
#[derive(Debug, Error)]
pub enum JournalError {
    /// A system call on a file failed.
    #[error("cannot {} at {}: {source}; {}", .operation.name(), .path.display(), .operation.consequence())]
    File { operation: FileOperation, path: PathBuf, source: io::Error },
    #[error("cannot encode a record: {0}; it is not written")]
    Encode(#[from] postcard::Error),
    #[error("a record of {bytes} bytes is longer than {limit}; it is not written")]
    RecordTooLong { bytes: usize, limit: usize },
    #[error("live records would take {needed} of at most {limit} bytes; the message is not accepted")]
    LiveBytesExceeded { needed: u64, limit: u64 },
    #[error("the journal would take {needed} of at most {limit} bytes; the record is not written now")]
    FileFull { needed: u64, limit: u64 },
    #[error("the compacted journal does not fit into {available} bytes; the file stays as it is")]
    NoRoomToCompact { available: u64 },
    /// Nothing was written.
    #[error(
        "what a failed write left behind the journal's end cannot be truncated yet; no message is accepted"
    )]
    TornTail,
}

impl JournalError {
    /// For `map_err`: gives an I/O error its operation and file.
    pub(super) fn file(operation: FileOperation, path: &Path) -> impl FnOnce(io::Error) -> Self + '_ {
        move |source| JournalError::File { operation, path: path.to_owned(), source }
    }

    /// The I/O error behind this one, if there is one.
    pub fn io_error(&self) -> Option<&io::Error> {
        match self {
            JournalError::File { source, .. } => Some(source),
            _ => None,
        }
    }
}
