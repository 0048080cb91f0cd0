//! Calls that read and write, on sockets and files.

use libc::{c_int, c_void, off64_t, size_t, ssize_t};

use crate::descriptors::{reading, writing};
use crate::fault_page::Call;
use crate::injection::{die, fault, set_errno};
use crate::real::real;

/// The outcome of a transfer of some length.
enum Transfer {
    /// So much is transferred.
    Of(usize),
    /// So much is transferred, and the call fails with this error.
    Torn(usize, i32),
    /// So much is transferred, and then the process is killed.
    Killed(usize),
    /// Nothing is transferred, and the call fails with this error.
    Fails(i32),
}

/// Decides the outcome of a transfer.
fn transfer(call: Option<Call>, length: usize) -> Transfer {
    match call.and_then(fault) {
        None => Transfer::Of(length),
        // An empty transfer would be the end of the data.
        Some(Call::SHORT) => Transfer::Of(length.div_ceil(2).max(1).min(length)),
        Some(Call::KILLED_BEFORE) => Transfer::Killed(length / 2),
        Some(Call::KILLED_BEHIND) => Transfer::Killed(length),
        Some(Call::TORN) => Transfer::Torn(length / 2, libc::ENOSPC),
        Some(error) => Transfer::Fails(error),
    }
}

#[no_mangle]
pub extern "C" fn read(fd: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    match transfer(reading(fd), length) {
        Transfer::Of(length) => {
            real!(c"read", extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t, fd, bytes, length)
        }
        Transfer::Killed(_) => die(),
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer(reading(fd), length) {
        Transfer::Of(length) => {
            real!(
                c"recv",
                extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t,
                fd,
                bytes,
                length,
                flags
            )
        }
        Transfer::Killed(_) => die(),
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn recvmsg(fd: c_int, message: *mut libc::msghdr, flags: c_int) -> ssize_t {
    let recvmsg =
        || real!(c"recvmsg", extern "C" fn(c_int, *mut libc::msghdr, c_int) -> ssize_t, fd, message, flags);
    // A message is transferred whole or not at all.
    match transfer(reading(fd), 2) {
        Transfer::Of(_) => recvmsg(),
        Transfer::Killed(1) => die(),
        Transfer::Killed(_) => {
            recvmsg();
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

/// Writes some bytes, and then fails with an error.
fn write_torn(fd: c_int, bytes: *const c_void, length: size_t, error: i32) -> ssize_t {
    real!(c"write", extern "C" fn(c_int, *const c_void, size_t) -> ssize_t, fd, bytes, length);
    set_errno(error);
    -1
}

#[no_mangle]
pub extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    match transfer(writing(fd), length) {
        Transfer::Of(length) => {
            real!(c"write", extern "C" fn(c_int, *const c_void, size_t) -> ssize_t, fd, bytes, length)
        }
        Transfer::Torn(length, error) => write_torn(fd, bytes, length, error),
        Transfer::Killed(length) => {
            write_torn(fd, bytes, length, 0);
            die()
        }
        Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer(writing(fd), length) {
        Transfer::Of(length) => {
            real!(
                c"send",
                extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t,
                fd,
                bytes,
                length,
                flags
            )
        }
        Transfer::Killed(length) => {
            write_torn(fd, bytes, length, 0);
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t {
    let first = unsafe { parts.as_ref() }.map_or(0, |part| part.iov_len);
    match transfer(writing(fd), first) {
        // Cut short inside the first part.
        Transfer::Of(length) if length < first => {
            let bytes = unsafe { (*parts).iov_base };
            real!(c"write", extern "C" fn(c_int, *const c_void, size_t) -> ssize_t, fd, bytes, length)
        }
        Transfer::Of(_) => {
            real!(c"writev", extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t, fd, parts, count)
        }
        Transfer::Killed(length) => {
            if length < first {
                write_torn(fd, unsafe { (*parts).iov_base }, length, 0);
            } else {
                real!(
                    c"writev",
                    extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t,
                    fd,
                    parts,
                    count
                );
            }
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn sendmsg(fd: c_int, message: *const libc::msghdr, flags: c_int) -> ssize_t {
    let sendmsg =
        || real!(c"sendmsg", extern "C" fn(c_int, *const libc::msghdr, c_int) -> ssize_t, fd, message, flags);
    // A message is transferred whole or not at all.
    match transfer(writing(fd), 2) {
        Transfer::Of(_) => sendmsg(),
        Transfer::Killed(1) => die(),
        Transfer::Killed(_) => {
            sendmsg();
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, length: size_t, offset: off64_t) -> ssize_t {
    let write = |length: usize| {
        real!(
            c"pwrite64",
            extern "C" fn(c_int, *const c_void, size_t, off64_t) -> ssize_t,
            fd,
            bytes,
            length,
            offset
        )
    };
    match transfer(writing(fd), length) {
        Transfer::Of(length) => write(length),
        Transfer::Torn(length, error) => {
            write(length);
            set_errno(error);
            -1
        }
        Transfer::Killed(length) => {
            write(length);
            die()
        }
        Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}
