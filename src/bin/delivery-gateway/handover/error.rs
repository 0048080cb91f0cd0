//! The errors of a handover, on the successor's side.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why a process doesn't get ownership of the state folder.
#[derive(Debug, Error)]
pub enum HandoverError {
    #[error("cannot lock the state folder: {0}; this process ends")]
    Lock(io::Error),
    #[error("cannot connect to the owner at {}: {source}; this process asks again", .path.display())]
    Connect { path: PathBuf, source: io::Error },
    #[error("the owner has not answered in time; this process asks again")]
    NoAnswer,
    #[error("the owner has closed the connection without an answer; this process asks again")]
    ConnectionClosed,
    #[error("the owner refuses a handover for now; this process asks again")]
    Refused,
    #[error("the owner's listener and lock did not arrive; this process ends, and the owner continues")]
    MissingDescriptors,
    #[error("cannot decode the handover snapshot: {0}; this process ends, and the owner continues")]
    Snapshot(#[from] postcard::Error),
    #[error("cannot use the owner's listener: {0}; this process ends, and the owner continues")]
    Listener(io::Error),
}
