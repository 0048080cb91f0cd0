//! The handover from one process to the next, without a gap in service.
//!
//! One process owns a state folder: it holds the folder's lock, and only its scheduler makes decisions. A new process,
//! the successor, asks the owner for a handover over a local socket. The owner, now the predecessor, passes on the
//! listener, the lock, its clients' connections and its state. If either process ends early, the other one continues.
//!
//! A successor with the same [`fingerprint`] gets a snapshot of the state. The predecessor then finishes its calls in
//! flight, and relays their results until it ends. For any other successor, which continues from the journal, the
//! predecessor finishes its calls before the handover, and aborts those that take too long.
//!
//! - [`successor`]: asks for the handover, takes over, and handles the predecessor's messages.
//! - [`predecessor`]: listens for a successor, hands over, and relays.
//! - [`messages`]: the messages between the two processes; [`codec`]: their format on the socket.
//! - [`fingerprint`]: decides whether the two processes can exchange a snapshot of the state.

mod codec;
mod error;
mod fingerprint;
mod messages;
mod predecessor;
mod successor;
#[cfg(test)]
mod tests;
mod timing;

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

pub use error::HandoverError;
pub use fingerprint::state_fingerprint;
pub use predecessor::{HandoverListener, HandoverResult, SuccessorConnection};
pub use successor::{become_owner, HandedOver, HandedOverState};
pub use timing::CALL_DRAIN_TIMEOUT;

/// Opens the file whose lock the owner of a state folder holds.
///
/// # Errors
/// The file cannot be opened or created.
pub fn open_lock_file(folder: &Path) -> io::Result<File> {
    OpenOptions::new().write(true).create(true).truncate(false).open(folder.join("lock"))
}

/// Returns the path of the socket on which the owner of a state folder listens for a successor: in the directory for
/// temporary files, with a name derived from the folder's path. The name begins with the program's former name, because
/// both builds of a handover must use the same path.
pub fn socket_path(folder: &Path) -> PathBuf {
    let folder = folder.canonicalize().unwrap_or_else(|_| folder.to_owned());
    let folder_hash = crc32fast::hash(folder.as_os_str().as_encoded_bytes());
    std::env::temp_dir().join(format!("gullcart-{folder_hash:08x}.sock"))
}
