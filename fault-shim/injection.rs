//! Decides which calls fail, from the page of faults, and makes them fail.

use std::sync::atomic::Ordering;

use crate::fault_page::{Call, ENTRY_WORDS, ERRORS, UNLIMITED};
use crate::page::{page, seed, word};

/// SplitMix64 of a number that is different for each call.
fn random(seed: u64, number: u64) -> u64 {
    let mut mixed = seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Counts a call, and gives the error that it is to fail with, if it is to fail.
pub fn fault(call: Call) -> Option<i32> {
    let page = page()?;
    let at = call.entry();
    let rate = word(page, at);
    let budget = word(page, at + 1);
    let skipped = word(page, at + 2);
    let number = word(page, at + 3).fetch_add(1, Ordering::SeqCst);
    let drawn = random(seed(page), (call as u64) << 32 | u64::from(number));
    if drawn as u32 & 0xFFFF >= rate.load(Ordering::SeqCst) {
        return None;
    }
    let decrement = |left: u32| left.checked_sub(1);
    if skipped.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok() {
        return None;
    }
    if budget.load(Ordering::SeqCst) != UNLIMITED
        && budget.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_err()
    {
        return None;
    }
    let errors =
        (0..ERRORS).map(|index| word(page, at + ENTRY_WORDS - ERRORS + index).load(Ordering::SeqCst));
    let errors: Vec<i32> = errors.map(|word| word as i32).filter(|error| *error != 0).collect();
    let error = *errors.get((drawn >> 32) as usize % errors.len().max(1))?;
    word(page, at + 4).fetch_add(1, Ordering::SeqCst);
    Some(error)
}

/// Sets the error number of this thread.
pub fn set_errno(error: i32) {
    unsafe { *libc::__errno_location() = error };
}

/// Restores the error number of this thread when dropped: looking something up must not change it.
pub struct ErrnoGuard(i32);

impl ErrnoGuard {
    pub fn new() -> Self {
        ErrnoGuard(unsafe { *libc::__errno_location() })
    }
}

impl Drop for ErrnoGuard {
    fn drop(&mut self) {
        set_errno(self.0);
    }
}

/// Ends the process at once, as the platform may at any moment.
pub fn die() -> ! {
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        libc::_exit(137)
    }
}

/// Fails a call that returns -1 with an error, or kills the process before it.
macro_rules! fail_with {
    ($call:expr) => {
        match $crate::injection::fault($call) {
            Some($crate::fault_page::Call::KILLED_BEFORE) => $crate::injection::die(),
            Some(error) if error > 0 => {
                $crate::injection::set_errno(error);
                return -1;
            }
            _ => {}
        }
    };
}
pub(crate) use fail_with;
