//! Classes of system errors: those that pass by themselves, and those that say nothing of the peer.

use rustix::io::Errno;
use std::io;

/// Errors that pass without intervention: short resources, interruptions, and a disk that fails for a while.
const TRANSIENT: [Errno; 16] = [
    Errno::AGAIN,
    Errno::INTR,
    Errno::NFILE,
    Errno::MFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::CONNABORTED,
    Errno::NOLCK,
    Errno::NOSPC,
    Errno::DQUOT,
    Errno::IO,
    Errno::BUSY,
];

/// Whether an error says that something cannot be done just now, and may be possible a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| TRANSIENT.iter().any(|errno| errno.raw_os_error() == raw))
}

/// Errors of a connect whose cause is this machine alone.
const LOCAL_FAILURES: [Errno; 7] =
    [Errno::AGAIN, Errno::INTR, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];

/// Whether a connect failed for want of a resource of this machine, and so says nothing of the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| LOCAL_FAILURES.iter().any(|errno| errno.raw_os_error() == raw))
}

/// An error that may be, or contain, one of the system's.
pub trait AsIoError {
    /// The system's error, if it is one.
    fn as_io_error(&self) -> Option<&io::Error>;
}

impl AsIoError for io::Error {
    fn as_io_error(&self) -> Option<&io::Error> {
        Some(self)
    }
}
