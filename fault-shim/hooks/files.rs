//! Hooks for opening, truncating, syncing, locking, renaming and removing files. Only the state folder and the
//! configuration have faults.

use crate::descriptors::Kind;
use crate::errno::fail;
use crate::fault_page::Call;
use crate::faults::{check, kill_process, next_fault, InjectedFault};
use crate::mapped_page::open_real;
use crate::next_function::real;
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
    open_real(path, flags, mode)
}

#[no_mangle]
pub extern "C" fn ftruncate64(fd: c_int, length: off64_t) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateTruncate) {
        return failed;
    }
    real!(ftruncate64(fd: c_int, length: off64_t) -> c_int)
}

#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateSync) {
        return failed;
    }
    real!(fsync(fd: c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateSync) {
        return failed;
    }
    real!(fdatasync(fd: c_int) -> c_int)
}

#[no_mangle]
pub extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    if let Err(failed) = check_state_file(fd, Call::StateLock) {
        return failed;
    }
    real!(flock(fd: c_int, operation: c_int) -> c_int)
}

/// # Safety
/// `from` and `to` must be NUL-terminated strings, as the C library requires.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let rename = || real!(rename(from: *const c_char, to: *const c_char) -> c_int);
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
    real!(unlink(path: *const c_char) -> c_int)
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
