//! Who may touch the state folder: the one process that has its lock, or the one that it is handed over to.

use delivery_gateway::socket::retry_transient;
use delivery_gateway::ParsedSettings;
use std::fs::File;
use std::path::{Path, PathBuf};

use crate::handover::{self, HandedOver, HandoverListener};
use crate::start_error::StartError;

/// The state folder's lock, and how it changes hands.
pub struct Ownership {
    /// The lock file; locked by whoever owns the folder.
    pub lock: File,
    socket: PathBuf,
    /// What a handover snapshot looks like: it means the same only to a process of the same fingerprint.
    pub fingerprint: u32,
}

impl Ownership {
    /// Opens the lock file, without locking it.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub async fn open(state_folder: &Path, parsed: &ParsedSettings) -> Result<Self, StartError> {
        let open = || async { handover::open_lock_file(state_folder) };
        let lock = retry_transient("opening the lock", open).await;
        Ok(Ownership {
            lock: lock.map_err(StartError::system("open the lock of the state folder"))?,
            socket: handover::socket_path(state_folder),
            fingerprint: handover::state_fingerprint(parsed),
        })
    }

    /// Waits until this process is the owner: none if no other process was, or what the owner has handed over.
    /// No file of the folder may be touched before.
    ///
    /// # Errors
    /// The lock cannot be taken, or what was handed over cannot be used.
    pub async fn acquire(&self) -> Result<Option<HandedOver>, StartError> {
        Ok(handover::become_owner(&self.lock, &self.socket, self.fingerprint).await?)
    }

    /// Offers the ownership to other processes.
    pub fn offer(&self) -> HandoverListener {
        HandoverListener::new(&self.socket)
    }
}
