//! Classifies system errors: transient ones, and those whose cause lies on this machine rather than with the peer.

use rustix::io::Errno;
use std::io;

/// Errors whose cause may pass without intervention: an interruption, a shortage of resources, an address in use, a
/// network that is down, an aborted connection, a busy device, and a disk that is full or fails for a while.
const TRANSIENT_ERRORS: [Errno; 16] = [
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

/// Returns whether the operation that failed with this error may succeed if it is retried a moment later.
pub fn is_transient(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| TRANSIENT_ERRORS.iter().any(|errno| errno.raw_os_error() == raw))
}

/// Errors of a connect whose cause lies on this machine alone.
const LOCAL_FAILURES: [Errno; 7] =
    [Errno::AGAIN, Errno::INTR, Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];

/// Returns whether a connect failed because this machine lacks a resource or a signal interrupted it. Such an error
/// carries no information about the peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|raw| LOCAL_FAILURES.iter().any(|errno| errno.raw_os_error() == raw))
}

/// An error that may be, or contain, a system error.
pub trait AsIoError {
    /// Returns the system error that decides whether the operation is retried; None if it must not be retried.
    fn as_io_error(&self) -> Option<&io::Error>;
}

impl AsIoError for io::Error {
    fn as_io_error(&self) -> Option<&io::Error> {
        Some(self)
    }
}
