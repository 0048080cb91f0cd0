//! Decides which calls fail and how, from the page and the random numbers. The hooks apply the decisions.

use crate::errno::set_errno;
use crate::fault_page::{Call, ALWAYS, UNLIMITED};
use crate::mapped_page::MappedPage;
use crate::random::draw;
use libc::{c_int, size_t};
use std::sync::atomic::{AtomicU32, Ordering};

/// A fault that has been chosen for one call.
#[derive(Clone, Copy)]
pub enum InjectedFault {
    /// The call is not made and fails with this `errno`.
    Error(i32),
    /// A part of the bytes is transferred, without an error.
    Short,
    /// The call returns `ENOSPC`. `write` and `pwrite64` write half of the bytes first.
    Torn,
    /// The process is killed before the call, or after half of the bytes are written.
    KilledBefore,
    /// The process is killed after the call, before the call returns. With `read` and `recv` it is killed before the
    /// call.
    KilledAfter,
}

impl From<i32> for InjectedFault {
    fn from(on_page: i32) -> Self {
        match on_page {
            Call::SHORT => InjectedFault::Short,
            Call::TORN => InjectedFault::Torn,
            Call::KILLED_BEFORE => InjectedFault::KilledBefore,
            Call::KILLED_AFTER => InjectedFault::KilledAfter,
            error => InjectedFault::Error(error),
        }
    }
}

/// Counts a call, and returns the fault to inject into it; `None` if it is not to fail or no page is mapped.
pub fn next_fault(call: Call) -> Option<InjectedFault> {
    let page = MappedPage::get()?;
    let entry = page.entry(call);
    let sequence = entry.calls().fetch_add(1, Ordering::SeqCst);
    let drawn = draw(page.seed(), (call as u64) << 32 | u64::from(sequence));
    // The lower 32 bits decide whether the call fails, the upper 32 bits choose the error.
    if drawn as u32 % ALWAYS >= entry.rate().load(Ordering::SeqCst) {
        return None;
    }
    if try_decrement(entry.skipped()) {
        return None;
    }
    if entry.budget().load(Ordering::SeqCst) != UNLIMITED && !try_decrement(entry.budget()) {
        return None;
    }
    let errors: Vec<i32> = entry.errors().into_iter().filter(|error| *error != 0).collect();
    let error = *errors.get((drawn >> 32) as usize % errors.len().max(1))?;
    entry.failures().fetch_add(1, Ordering::SeqCst);
    Some(InjectedFault::from(error))
}

/// Decrements a count; returns `false` and changes nothing if the count is zero.
fn try_decrement(count: &AtomicU32) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| remaining.checked_sub(1)).is_ok()
}

/// Checks a call that transfers no bytes for a fault, and kills the process if that is the fault. `Short`, `Torn` and
/// `KilledAfter` have no effect on such a call.
///
/// # Errors
/// Returns the value that the hook has to return, with `errno` set, if the call is to fail.
pub fn check(call: Call) -> Result<(), c_int> {
    match next_fault(call) {
        Some(InjectedFault::KilledBefore) => kill_process(),
        Some(InjectedFault::Error(error)) => {
            set_errno(error);
            Err(-1)
        }
        Some(InjectedFault::Short | InjectedFault::Torn | InjectedFault::KilledAfter) | None => Ok(()),
    }
}

/// How a read or write is carried out.
pub enum Transfer {
    /// This many bytes are transferred.
    Bytes(usize),
    /// This many bytes are transferred, and then the call fails with this `errno`. Only `write` and `pwrite64` transfer
    /// them.
    BytesThenError(usize, i32),
    /// This many bytes are transferred, and then the process is killed. Reads transfer none.
    BytesThenKill(usize),
    /// Nothing is transferred, and the call fails with this `errno`.
    Error(i32),
}

impl Transfer {
    /// Decides how to transfer `length` bytes. `call` is `None` if the transfer is not subject to faults.
    pub fn of(call: Option<Call>, length: size_t) -> Self {
        match call.and_then(next_fault) {
            None => Transfer::Bytes(length),
            // At least one byte: a read of zero bytes would mean the end of the data.
            Some(InjectedFault::Short) => Transfer::Bytes(length.div_ceil(2).max(1).min(length)),
            Some(InjectedFault::Torn) => Transfer::BytesThenError(length / 2, libc::ENOSPC),
            Some(InjectedFault::KilledBefore) => Transfer::BytesThenKill(length / 2),
            Some(InjectedFault::KilledAfter) => Transfer::BytesThenKill(length),
            Some(InjectedFault::Error(error)) => Transfer::Error(error),
        }
    }
}

/// How a message is transferred by `sendmsg` or `recvmsg`: whole or not at all.
pub enum MessageTransfer {
    Whole,
    KillBefore,
    WholeThenKill,
    /// The message is not transferred, and the call fails with this `errno`.
    Error(i32),
}

impl MessageTransfer {
    /// Decides how to transfer a message. `call` is `None` if the transfer is not subject to faults.
    pub fn of(call: Option<Call>) -> Self {
        match call.and_then(next_fault) {
            None | Some(InjectedFault::Short) => MessageTransfer::Whole,
            Some(InjectedFault::Torn) => MessageTransfer::Error(libc::ENOSPC),
            Some(InjectedFault::KilledBefore) => MessageTransfer::KillBefore,
            Some(InjectedFault::KilledAfter) => MessageTransfer::WholeThenKill,
            Some(InjectedFault::Error(error)) => MessageTransfer::Error(error),
        }
    }
}

/// Ends the process at once with `SIGKILL`, as the platform may do at any time.
pub fn kill_process() -> ! {
    /// The exit status with which a shell reports a process that was ended by `SIGKILL`.
    const KILLED_STATUS: c_int = 128 + libc::SIGKILL;
    // SAFETY: neither call is passed memory of this process, and `_exit` runs no destructors.
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        libc::_exit(KILLED_STATUS)
    }
}
