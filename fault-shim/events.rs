//! Calls that wait for events, and clocks.

use libc::{c_int, c_uint, timespec};

use crate::fault_page::Call;
use crate::injection::fail_with;
use crate::page::wall_offset_ms;
use crate::real::real;

#[no_mangle]
pub extern "C" fn epoll_create1(flags: c_int) -> c_int {
    fail_with!(Call::EpollCreate);
    real!(c"epoll_create1", extern "C" fn(c_int) -> c_int, flags)
}

#[no_mangle]
pub extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        fail_with!(Call::EpollControl);
    }
    real!(
        c"epoll_ctl",
        extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int,
        epoll,
        operation,
        fd,
        event
    )
}

#[no_mangle]
pub extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    fail_with!(Call::EpollWait);
    real!(
        c"epoll_wait",
        extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int,
        epoll,
        events,
        max_events,
        timeout
    )
}

#[no_mangle]
pub extern "C" fn eventfd(count: c_uint, flags: c_int) -> c_int {
    fail_with!(Call::EventFd);
    real!(c"eventfd", extern "C" fn(c_uint, c_int) -> c_int, count, flags)
}

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    let result = real!(c"clock_gettime", extern "C" fn(c_int, *mut timespec) -> c_int, clock, time);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset = wall_offset_ms();
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + (offset % 1000) * 1_000_000;
        time.tv_sec += offset / 1000 + nanoseconds.div_euclid(1_000_000_000);
        time.tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    result
}
