//! Hooks for creating, binding, connecting, configuring, querying and shutting down sockets, and for accepting
//! connections.

use crate::descriptors::Kind;
use crate::fault_page::Call;
use crate::faults::{check, next_fault, InjectedFault};
use crate::next_function::call_next;
use libc::{c_int, c_void, sockaddr, socklen_t};

#[no_mangle]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Err(failed) = check(Call::Socket) {
        return failed;
    }
    call_next!(socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    if let Err(failed) = check(Call::SocketPair) {
        return failed;
    }
    call_next!(socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Err(failed) = check(Call::Bind) {
        return failed;
    }
    call_next!(bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int)
}

#[no_mangle]
pub extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    if let Err(failed) = check(Call::Listen) {
        return failed;
    }
    call_next!(listen(fd: c_int, backlog: c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int {
    if let Err(failed) = check_tcp(fd, Call::Accept) {
        return failed;
    }
    call_next!(accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Err(failed) = check_tcp(fd, Call::Connect) {
        return failed;
    }
    call_next!(connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int)
}

/// Replaces the result of a non-blocking `connect`, which `SO_ERROR` reports.
///
/// # Safety
/// `value` must have room for the option's value, as the C library requires.
#[no_mangle]
pub unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    let result = call_next!(getsockopt(
        fd: c_int,
        level: c_int,
        name: c_int,
        value: *mut c_void,
        length: *mut socklen_t,
    ) -> c_int);
    let is_connect_result = level == libc::SOL_SOCKET && name == libc::SO_ERROR;
    if result == 0 && is_connect_result && Kind::of_descriptor(fd) == Kind::TcpSocket {
        if let Some(InjectedFault::Error(error)) = next_fault(Call::ConnectResult) {
            // SAFETY: the C library has just written a `c_int` there, because the value of `SO_ERROR` is a `c_int`.
            unsafe { *value.cast::<c_int>() = error };
        }
    }
    result
}

#[no_mangle]
pub extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Err(failed) = check(Call::SetSocketOption) {
        return failed;
    }
    call_next!(setsockopt(
        fd: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: socklen_t,
    ) -> c_int)
}

#[no_mangle]
pub extern "C" fn getsockname(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    if let Err(failed) = check(Call::GetSocketName) {
        return failed;
    }
    call_next!(getsockname(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int)
}

#[no_mangle]
pub extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    if let Err(failed) = check(Call::Shutdown) {
        return failed;
    }
    call_next!(shutdown(fd: c_int, how: c_int) -> c_int)
}

/// Checks a call for a fault if `fd` is a TCP socket.
///
/// # Errors
/// Returns the value that the hook has to return, with `errno` set, if the call is to fail.
fn check_tcp(fd: c_int, call: Call) -> Result<(), c_int> {
    match Kind::of_descriptor(fd) {
        Kind::TcpSocket => check(call),
        _ => Ok(()),
    }
}
