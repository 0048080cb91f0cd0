//! The handover from one process to the next, without a gap in service.
//!
//! One process owns a state folder: it holds the folder's lock, and it alone decides. A new process, the successor,
//! asks the owner for it over a local socket. The owner, then the predecessor, passes on the listener, the lock, its
//! clients' connections and its state, keeps the calls that it has in flight, and relays their results until it ends.
//! Where either process ends early, the other one continues.
//!
//! - [`successor`]: asks, takes over and follows the predecessor.
//! - [`predecessor`]: listens for a successor, hands over and relays.
//! - [`messages`]: what they say to each other; [`codec`]: its form on the socket.
//! - [`fingerprint`]: whether both mean the same by a snapshot of the state.

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
/// It cannot be opened or created.
pub fn open_lock_file(folder: &Path) -> io::Result<File> {
    OpenOptions::new().write(true).create(true).truncate(false).open(folder.join("lock"))
}

/// Where the owner of a state folder listens for a successor: in the directory for temporary files, under a name for
/// this folder. The name begins with the former name of the program, as both builds of a handover must find the same
/// path.
pub fn socket_path(folder: &Path) -> PathBuf {
    let folder = folder.canonicalize().unwrap_or_else(|_| folder.to_owned());
    let name = crc32fast::hash(folder.as_os_str().as_encoded_bytes());
    std::env::temp_dir().join(format!("gullcart-{name:08x}.sock"))
}
