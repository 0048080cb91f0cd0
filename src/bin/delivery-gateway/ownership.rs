//! The ownership of the state folder. Only one process may use the folder: its owner, which holds the folder's lock and
//! got it from the system or from the previous owner. During a handover both processes hold the lock, through a
//! duplicated descriptor, and only the successor uses the folder.

use delivery_gateway::socket::retry_transient;
use delivery_gateway::ParsedSettings;
use std::fs::File;
use std::path::{Path, PathBuf};

use crate::handover::{self, HandedOver, HandoverListener};
use crate::start_error::StartError;

/// The lock of the state folder, and the socket path and fingerprint for its handover.
pub struct Ownership {
    /// The lock file. The owner of the folder holds its lock.
    pub lock: File,
    socket: PathBuf,
    /// The fingerprint of the sources that define a handover snapshot and of the names in the settings. Only processes
    /// with the same fingerprint can exchange a handover snapshot.
    pub fingerprint: u32,
}

impl Ownership {
    /// Opens the lock file, without locking it.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub async fn open(state_folder: &Path, parsed: &ParsedSettings) -> Result<Self, StartError> {
        let open_lock = || async { handover::open_lock_file(state_folder) };
        let lock = retry_transient("opening the lock of the state folder", open_lock).await;
        Ok(Ownership {
            lock: lock.map_err(StartError::system("open the lock of the state folder"))?,
            socket: handover::socket_path(state_folder),
            fingerprint: handover::state_fingerprint(parsed),
        })
    }

    /// Waits until this process is the owner. Returns what the previous owner has handed over. None if there was no
    /// owner, or if it has ended without a handover. No other file of the folder may be read or written before.
    ///
    /// # Errors
    /// The lock cannot be taken, or the state handed over cannot be used.
    pub async fn acquire(&self) -> Result<Option<HandedOver>, StartError> {
        Ok(handover::become_owner(&self.lock, &self.socket, self.fingerprint).await?)
    }

    /// Listens for a process that asks for the handover.
    pub fn listen_for_successor(&self) -> HandoverListener {
        HandoverListener::new(&self.socket)
    }
}
