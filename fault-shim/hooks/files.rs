//! Hooks for opening, truncating, syncing, locking, renaming and removing files. Only files of the state folder have
//! faults; opening the configuration has, too.

use crate::descriptors::Kind;
use crate::errno::fail;
use crate::fault_page::Call;
use crate::faults::{check, kill_process, next_fault, InjectedFault};
use crate::mapped_page::open_without_faults;
use crate::next_function::call_next;
use libc::{c_char, c_int, mode_t, off64_t};
use std::ffi::CStr;

/// # Safety
/// `path` must be a NUL-terminated string, as the C library requires.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller passes a NUL-terminated string.
    let call = match Kind::of_path(unsafe { CStr::from_ptr(path) }.to_bytes()) {
        Kind::StateFile => Some(Call::StateOpen),
        Kind::ConfigFile => Some(Call::ConfigOpen),
        Kind::TcpSocket | Kind::UnixSocket | Kind::Other => None,
    };
    if let Some(Err(failed)) = call.map(check) {
        return failed;
    }
    open_without_faults(path, flags, mode)
}

#[no_mangle]
pub extern "C" fn ftruncate64(fd: c_int, length: off64_t) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateTruncate) {
        return failed;
    }
    call_next!(ftruncate64(fd: c_int, length: off64_t) -> c_int)
}

#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateSync) {
        return failed;
    }
    call_next!(fsync(fd: c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateSync) {
        return failed;
    }
    call_next!(fdatasync(fd: c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateLock) {
        return failed;
    }
    call_next!(flock(fd: c_int, operation: c_int) -> c_int)
}

/// Injects faults if the new path is in the state folder.
///
/// # Safety
/// `from` and `to` must be NUL-terminated strings, as the C library requires.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let rename = || call_next!(rename(from: *const c_char, to: *const c_char) -> c_int);
    // SAFETY: the caller passes a NUL-terminated string.
    if Kind::of_path(unsafe { CStr::from_ptr(to) }.to_bytes()) != Kind::StateFile {
        return rename();
    }
    match next_fault(Call::StateRename) {
        Some(InjectedFault::KilledBefore) => kill_process(),
        Some(InjectedFault::KilledAfter) => {
            rename();
            kill_process()
        }
        Some(InjectedFault::Error(error)) => fail(error),
        Some(InjectedFault::Short | InjectedFault::Torn) | None => rename(),
    }
}

/// # Safety
/// `path` must be a NUL-terminated string, as the C library requires.
#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    // SAFETY: the caller passes a NUL-terminated string.
    if Kind::of_path(unsafe { CStr::from_ptr(path) }.to_bytes()) == Kind::StateFile {
        if let Err(failed) = check(Call::StateUnlink) {
            return failed;
        }
    }
    call_next!(unlink(path: *const c_char) -> c_int)
}

/// Checks a call for a fault if `fd` is a file of the state folder.
///
/// # Errors
/// Returns the value that the hook has to return, with `errno` set, if the call is to fail.
fn check_state_file(fd: c_int, call: Call) -> Result<(), c_int> {
    match Kind::of_descriptor(fd) {
        Kind::StateFile => check(call),
        _ => Ok(()),
    }
}
