//! Hooks for the system calls of an event loop: epoll and event descriptors.

use crate::fault_page::Call;
use crate::faults::check;
use crate::next_function::call_next;
use libc::{c_int, c_uint, epoll_event};

#[no_mangle]
pub extern "C" fn epoll_create1(flags: c_int) -> c_int {
    if let Err(failed) = check(Call::EpollCreate) {
        return failed;
    }
    call_next!(epoll_create1(flags: c_int) -> c_int)
}

/// Injects faults only into `EPOLL_CTL_ADD`: Linux documents no transient error for the other operations.
#[no_mangle]
pub extern "C" fn epoll_ctl(epoll: c_int, operation: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        if let Err(failed) = check(Call::EpollControl) {
            return failed;
        }
    }
    call_next!(epoll_ctl(epoll: c_int, operation: c_int, fd: c_int, event: *mut epoll_event) -> c_int)
}

#[no_mangle]
pub extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    if let Err(failed) = check(Call::EpollWait) {
        return failed;
    }
    call_next!(epoll_wait(
        epoll: c_int,
        events: *mut epoll_event,
        max_events: c_int,
        timeout_ms: c_int,
    ) -> c_int)
}

#[no_mangle]
pub extern "C" fn eventfd(count: c_uint, flags: c_int) -> c_int {
    if let Err(failed) = check(Call::EventFd) {
        return failed;
    }
    call_next!(eventfd(count: c_uint, flags: c_int) -> c_int)
}
