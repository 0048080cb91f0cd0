//! Maps the page of shared memory into this process. The page configures which calls fail, and the offset of the wall
//! clock.
//!
//! The page is mapped at the first use and stays mapped until the process ends. Its layout is that of
//! [`crate::fault_page`].

use crate::fault_page::{
    Call, BUDGET_WORD, CALLS_WORD, ERRORS_WORD, FAILURES_WORD, MAX_ERRORS, PAGE_BYTES, PAGE_VARIABLE,
    RATE_WORD, SKIPPED_WORD, WALL_OFFSET_BYTE, WORD_BYTES,
};
use crate::next_function::call_next;
use libc::{c_char, c_int, mode_t};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::sync::OnceLock;

/// The page as mapped into this process.
#[derive(Clone, Copy)]
pub struct MappedPage {
    /// The start address of the mapping, aligned to a memory page.
    address: usize,
}

impl MappedPage {
    /// Returns the page, and maps it at the first call. Returns `None` if the environment variable [`PAGE_VARIABLE`] is
    /// not set or the file cannot be mapped.
    pub fn get() -> Option<Self> {
        static PAGE: OnceLock<Option<MappedPage>> = OnceLock::new();
        *PAGE.get_or_init(Self::map)
    }

    fn map() -> Option<Self> {
        let path = std::env::var_os(PAGE_VARIABLE)?;
        let path = CString::new(path.as_bytes()).ok()?;
        let file = open_without_faults(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC, 0);
        if file < 0 {
            return None;
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        // SAFETY: the kernel chooses the address, so that the mapping overlaps no other memory.
        let mapped =
            unsafe { libc::mmap(std::ptr::null_mut(), PAGE_BYTES, protection, libc::MAP_SHARED, file, 0) };
        // The descriptor is closed because it would count against the gateway's own descriptor limit.
        // SAFETY: the descriptor was opened above and is used nowhere else; a mapping outlives its descriptor.
        unsafe { libc::close(file) };
        (mapped != libc::MAP_FAILED).then_some(MappedPage { address: mapped as usize })
    }

    /// Returns the seed of all random draws.
    pub fn seed(self) -> u64 {
        // SAFETY: the page begins with the seed, is aligned, and is never unmapped.
        unsafe { &*(self.address as *const AtomicU64) }.load(Ordering::Relaxed)
    }

    /// Returns the offset of the process's wall clock from the machine's, in milliseconds; negative means behind.
    pub fn wall_offset_ms(self) -> i64 {
        let address = self.address + WALL_OFFSET_BYTE;
        // SAFETY: the offset lies inside the page, at a multiple of 8 bytes, and the page is never unmapped.
        unsafe { &*(address as *const AtomicI64) }.load(Ordering::Relaxed)
    }

    /// Returns the page's entry for a call.
    pub fn entry(self, call: Call) -> Entry {
        Entry { address: self.address + WORD_BYTES * call.entry_word() }
    }
}

/// The page's entry for one call.
#[derive(Clone, Copy)]
pub struct Entry {
    address: usize,
}

impl Entry {
    fn word(&self, word: usize) -> &AtomicU32 {
        let address = self.address + WORD_BYTES * word;
        // SAFETY: the entry lies inside the page, aligned to words, and the page is never unmapped.
        unsafe { &*(address as *const AtomicU32) }
    }

    /// The rate at which calls fail, from 0 to [`crate::fault_page::ALWAYS`].
    pub fn rate(&self) -> &AtomicU32 {
        self.word(RATE_WORD)
    }

    /// The number of calls that may still fail, or [`crate::fault_page::UNLIMITED`].
    pub fn budget(&self) -> &AtomicU32 {
        self.word(BUDGET_WORD)
    }

    /// The number of calls still to succeed although they would fail at this rate.
    pub fn skipped(&self) -> &AtomicU32 {
        self.word(SKIPPED_WORD)
    }

    /// The number of calls since the page was created, including those that failed.
    pub fn calls(&self) -> &AtomicU32 {
        self.word(CALLS_WORD)
    }

    /// The number of calls since the page was created for which a fault was drawn.
    pub fn failures(&self) -> &AtomicU32 {
        self.word(FAILURES_WORD)
    }

    /// The errors, or negative constants of [`Call`], from which each failure draws one; zero marks an unused element.
    pub fn errors(&self) -> [i32; MAX_ERRORS] {
        std::array::from_fn(|error| self.word(ERRORS_WORD + error).load(Ordering::SeqCst) as i32)
    }
}

/// Calls the C library's `open64` without injecting faults. `mode` is only used if the call creates a file.
pub fn open_without_faults(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    call_next!(open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int)
}
