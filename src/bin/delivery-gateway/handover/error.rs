//! Why a process does not get the state folder handed over.

use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a process does not get the state folder handed over.
#[derive(Debug, Error)]
pub enum HandoverError {
    #[error("cannot lock the state folder: {0}; this process ends")]
    Lock(io::Error),
    #[error("cannot connect to the owner at {}: {source}; it is asked again", .path.display())]
    Connect { path: PathBuf, source: io::Error },
    #[error("the owner has not answered in time; it is asked again")]
    NoAnswer,
    #[error("the owner has closed the connection without an answer; it is asked again")]
    ConnectionClosed,
    #[error("the owner refuses a handover for now; it is asked again")]
    Refused,
    #[error("the owner's listener and lock did not arrive; this process ends, and the owner continues")]
    MissingDescriptors,
    #[error("cannot decode the handover snapshot: {0}; this process ends, and the owner continues")]
    Snapshot(#[from] postcard::Error),
    #[error("cannot use the listener that was handed over: {0}; this process ends, and the owner continues")]
    Listener(io::Error),
}
