//! Which calls fail, and with what: decided by the page and the random numbers, carried out by the hooks.

use crate::errno::set_errno;
use crate::fault_page::{Call, ALWAYS, UNLIMITED};
use crate::mapped_page::MappedPage;
use crate::random::draw;
use libc::{c_int, size_t};
use std::sync::atomic::{AtomicU32, Ordering};

/// What a call is to suffer.
#[derive(Clone, Copy)]
pub enum InjectedFault {
    /// The call is not made and returns this `errno`.
    Error(i32),
    /// A part of the bytes is transferred, without an error.
    Short,
    /// A part of the bytes is written, and then the disk is full.
    Torn,
    /// The process is killed before the call, or when half of the bytes are written.
    KilledBefore,
    /// The process is killed after the call, before it returns.
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

/// Counts a call, and says what it is to suffer, if anything.
pub fn next_fault(call: Call) -> Option<InjectedFault> {
    let page = MappedPage::get()?;
    let entry = page.entry(call);
    let number = entry.calls().fetch_add(1, Ordering::SeqCst);
    let drawn = draw(page.seed(), (call as u64) << 32 | u64::from(number));
    // The lower bits choose the calls, the upper ones the errors.
    if drawn as u32 % ALWAYS >= entry.rate().load(Ordering::SeqCst) {
        return None;
    }
    if take_one(entry.skipped()) {
        return None;
    }
    if entry.budget().load(Ordering::SeqCst) != UNLIMITED && !take_one(entry.budget()) {
        return None;
    }
    let errors: Vec<i32> = entry.errors().into_iter().filter(|error| *error != 0).collect();
    let error = *errors.get((drawn >> 32) as usize % errors.len().max(1))?;
    entry.failures().fetch_add(1, Ordering::SeqCst);
    Some(InjectedFault::from(error))
}

/// Takes one off a count, unless nothing is left of it.
fn take_one(count: &AtomicU32) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

/// Fails a call that transfers no bytes, or kills the process before it. `Err` is what the hook returns.
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

/// What is made of a read or write.
pub enum Transfer {
    /// This many bytes are transferred.
    Bytes(usize),
    /// This many bytes are transferred, and then the call returns this `errno`.
    BytesThenError(usize, i32),
    /// This many bytes are transferred, and then the process is killed.
    BytesThenKill(usize),
    /// Nothing is transferred, and the call returns this `errno`.
    Error(i32),
}

impl Transfer {
    /// Decides a transfer of so many bytes; one that is not subject to faults has no `call`.
    pub fn of(call: Option<Call>, length: size_t) -> Self {
        match call.and_then(next_fault) {
            None => Transfer::Bytes(length),
            // At least one byte: a read of nothing would be the end of the data.
            Some(InjectedFault::Short) => Transfer::Bytes(length.div_ceil(2).max(1).min(length)),
            Some(InjectedFault::Torn) => Transfer::BytesThenError(length / 2, libc::ENOSPC),
            Some(InjectedFault::KilledBefore) => Transfer::BytesThenKill(length / 2),
            Some(InjectedFault::KilledAfter) => Transfer::BytesThenKill(length),
            Some(InjectedFault::Error(error)) => Transfer::Error(error),
        }
    }
}

/// What is made of a message on a Unix socket, which is transferred whole or not at all.
pub enum MessageTransfer {
    Whole,
    KillBefore,
    WholeThenKill,
    /// The message is not transferred, and the call returns this `errno`.
    Error(i32),
}

impl MessageTransfer {
    /// Decides the transfer of a message; one that is not subject to faults has no `call`.
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

/// Ends the process at once with `SIGKILL`, as the platform may at any moment.
pub fn kill_process() -> ! {
    /// How a shell reports a process that `SIGKILL` ended.
    const KILLED_STATUS: c_int = 128 + libc::SIGKILL;
    // SAFETY: neither call takes memory of this process; `_exit` runs no destructors.
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        libc::_exit(KILLED_STATUS)
    }
}
