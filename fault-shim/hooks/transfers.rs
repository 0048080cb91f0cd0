//! Hooks for reads and writes, which can fail, be cut short, be torn, or be interrupted by a kill of the process.

use crate::descriptors::Kind;
use crate::errno::fail;
use crate::fault_page::Call;
use crate::faults::{kill_process, MessageTransfer, Transfer};
use crate::next_function::call_next;
use libc::{c_int, c_void, iovec, msghdr, off64_t, size_t, ssize_t};

fn read_call(fd: c_int) -> Option<Call> {
    Kind::of_descriptor(fd).read_call()
}

fn write_call(fd: c_int) -> Option<Call> {
    Kind::of_descriptor(fd).write_call()
}

fn write_without_faults(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    call_next!(write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t)
}

fn pwrite_without_faults(fd: c_int, bytes: *const c_void, length: size_t, offset: off64_t) -> ssize_t {
    call_next!(pwrite64(fd: c_int, bytes: *const c_void, length: size_t, offset: off64_t) -> ssize_t)
}

#[no_mangle]
pub extern "C" fn read(fd: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    match Transfer::of(read_call(fd), length) {
        Transfer::Bytes(length) => {
            call_next!(read(fd: c_int, bytes: *mut c_void, length: size_t) -> ssize_t)
        }
        Transfer::BytesThenKill(_) => kill_process(),
        Transfer::BytesThenError(_, error) | Transfer::Error(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    match Transfer::of(read_call(fd), length) {
        Transfer::Bytes(length) => {
            call_next!(recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t)
        }
        Transfer::BytesThenKill(_) => kill_process(),
        Transfer::BytesThenError(_, error) | Transfer::Error(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t {
    let receive = || call_next!(recvmsg(fd: c_int, message: *mut msghdr, flags: c_int) -> ssize_t);
    match MessageTransfer::of(read_call(fd)) {
        MessageTransfer::Whole => receive(),
        MessageTransfer::KillBefore => kill_process(),
        MessageTransfer::WholeThenKill => {
            receive();
            kill_process()
        }
        MessageTransfer::Error(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    match Transfer::of(write_call(fd), length) {
        Transfer::Bytes(length) => write_without_faults(fd, bytes, length),
        Transfer::BytesThenError(length, error) => {
            write_without_faults(fd, bytes, length);
            fail(error)
        }
        Transfer::BytesThenKill(length) => {
            write_without_faults(fd, bytes, length);
            kill_process()
        }
        Transfer::Error(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match Transfer::of(write_call(fd), length) {
        Transfer::Bytes(length) => {
            call_next!(send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t)
        }
        Transfer::BytesThenKill(length) => {
            write_without_faults(fd, bytes, length);
            kill_process()
        }
        Transfer::BytesThenError(_, error) | Transfer::Error(error) => fail(error),
    }
}

/// A short or interrupted write transfers only a part of the first buffer, because faults are decided by the length of
/// that buffer.
///
/// # Safety
/// `parts` must point to `count` buffers that may be read, as the C library requires.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller passes a pointer to the first buffer, or null.
    let first = unsafe { parts.as_ref() };
    let first_bytes = first.map_or(std::ptr::null_mut(), |part| part.iov_base);
    let first_length = first.map_or(0, |part| part.iov_len);
    let write_whole = || call_next!(writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t);
    match Transfer::of(write_call(fd), first_length) {
        Transfer::Bytes(length) if length < first_length => write_without_faults(fd, first_bytes, length),
        Transfer::Bytes(_) => write_whole(),
        Transfer::BytesThenKill(length) => {
            if length < first_length {
                write_without_faults(fd, first_bytes, length);
            } else {
                write_whole();
            }
            kill_process()
        }
        Transfer::BytesThenError(_, error) | Transfer::Error(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    let send = || call_next!(sendmsg(fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t);
    match MessageTransfer::of(write_call(fd)) {
        MessageTransfer::Whole => send(),
        MessageTransfer::KillBefore => kill_process(),
        MessageTransfer::WholeThenKill => {
            send();
            kill_process()
        }
        MessageTransfer::Error(error) => fail(error),
    }
}

#[no_mangle]
pub extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, length: size_t, offset: off64_t) -> ssize_t {
    let write_at = |length: size_t| pwrite_without_faults(fd, bytes, length, offset);
    match Transfer::of(write_call(fd), length) {
        Transfer::Bytes(length) => write_at(length),
        Transfer::BytesThenError(length, error) => {
            write_at(length);
            fail(error)
        }
        Transfer::BytesThenKill(length) => {
            write_at(length);
            kill_process()
        }
        Transfer::Error(error) => fail(error),
    }
}
