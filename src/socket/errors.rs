//! Classifies system errors: transient ones, and those whose cause lies on this machine rather than with the peer.

use rustix::io::Errno;
use std::io;

/// Errors that end without intervention: a shortage of resources, interruptions, and a disk that fails for a while.
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

/// Returns whether the operation that failed with this error may succeed a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| TRANSIENT.iter().any(|errno| errno.raw_os_error() == raw))
}

/// Errors of a connect whose cause lies on this machine alone.
const LOCAL_FAILURES: [Errno; 7] =
    [Errno::AGAIN, Errno::INTR, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];

/// Returns whether a connect failed because this machine lacks a resource. Such an error carries no information about
/// the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| LOCAL_FAILURES.iter().any(|errno| errno.raw_os_error() == raw))
}

/// An error that may be, or contain, a system error.
pub trait AsIoError {
    /// Returns the system error; None if the error has another cause.
    fn as_io_error(&self) -> Option<&io::Error>;
}

impl AsIoError for io::Error {
    fn as_io_error(&self) -> Option<&io::Error> {
        Some(self)
    }
}
