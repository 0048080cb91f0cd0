//! A hook for reading the wall clock. It adds the page's offset.

use crate::mapped_page::MappedPage;
use crate::next_function::call_next;
use libc::{c_int, timespec};

const MS_PER_SEC: i64 = 1_000;
const NANOS_PER_MS: i64 = 1_000_000;
const NANOS_PER_SEC: i64 = 1_000_000_000;

/// # Safety
/// `time` must point to a `timespec` that may be written, as the C library requires.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    let result = call_next!(clock_gettime(clock: c_int, time: *mut timespec) -> c_int);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = MappedPage::get().map_or(0, MappedPage::wall_offset_ms);
        // SAFETY: the C library has just written a valid `timespec` there.
        add_ms(unsafe { &mut *time }, offset_ms);
    }
    result
}

fn add_ms(time: &mut timespec, offset_ms: i64) {
    let nanos = time.tv_nsec + (offset_ms % MS_PER_SEC) * NANOS_PER_MS;
    time.tv_sec += offset_ms / MS_PER_SEC + nanos.div_euclid(NANOS_PER_SEC);
    time.tv_nsec = nanos.rem_euclid(NANOS_PER_SEC);
}
