//! The page of faults, as it is mapped into this process.

use libc::{c_char, c_int, mode_t};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, Ordering};
use std::sync::OnceLock;

use crate::fault_page::{PAGE_BYTES, PAGE_VARIABLE};
use crate::real::{next, OPEN};

/// The mapped page; zero if there is none.
static PAGE: OnceLock<usize> = OnceLock::new();

/// The address of the page; none if this process has none.
pub fn page() -> Option<usize> {
    let page = *PAGE.get_or_init(|| map_page().unwrap_or(0));
    (page != 0).then_some(page)
}

fn map_page() -> Option<usize> {
    let path = std::env::var_os(PAGE_VARIABLE)?;
    let path = CString::new(path.as_bytes()).ok()?;
    let open: extern "C" fn(*const c_char, c_int, mode_t) -> c_int =
        unsafe { std::mem::transmute(next(&OPEN, c"open64")) };
    let file = open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC, 0);
    if file < 0 {
        return None;
    }
    let protection = libc::PROT_READ | libc::PROT_WRITE;
    let flags = libc::MAP_SHARED;
    // The descriptor is closed again: it would count against the limit of the gateway.
    let mapped = unsafe { libc::mmap(std::ptr::null_mut(), PAGE_BYTES, protection, flags, file, 0) };
    unsafe { libc::close(file) };
    (mapped != libc::MAP_FAILED).then_some(mapped as usize)
}

/// A word of the page.
pub fn word(page: usize, at: usize) -> &'static AtomicU32 {
    unsafe { &*((page + 4 * at) as *const AtomicU32) }
}

/// The seed of all randomness.
pub fn seed(page: usize) -> u64 {
    unsafe { &*(page as *const AtomicU64) }.load(Ordering::Relaxed)
}

/// Offset of the wall clock from the machine's own, in milliseconds.
pub fn wall_offset_ms() -> i64 {
    page().map_or(0, |page| unsafe { &*((page + 8) as *const AtomicI64) }.load(Ordering::Relaxed))
}
