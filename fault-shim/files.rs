//! Calls on files other than reading and writing.

use libc::{c_char, c_int, mode_t, off64_t};
use std::ffi::CStr;

use crate::descriptors::{kind_of, kind_of_path, Kind};
use crate::fault_page::Call;
use crate::injection::{die, fail_with, fault, set_errno};
use crate::real::{next, real, OPEN};

#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    match kind_of_path(unsafe { CStr::from_ptr(path) }.to_bytes()) {
        Kind::State => fail_with!(Call::StateOpen),
        Kind::Config => fail_with!(Call::ConfigOpen),
        Kind::Tcp | Kind::Unix | Kind::Other => {}
    }
    let open: extern "C" fn(*const c_char, c_int, mode_t) -> c_int =
        unsafe { std::mem::transmute(next(&OPEN, c"open64")) };
    open(path, flags, mode)
}

#[no_mangle]
pub extern "C" fn ftruncate64(fd: c_int, length: off64_t) -> c_int {
    if kind_of(fd) == Kind::State {
        fail_with!(Call::StateTruncate);
    }
    real!(c"ftruncate64", extern "C" fn(c_int, off64_t) -> c_int, fd, length)
}

#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    if kind_of(fd) == Kind::State {
        fail_with!(Call::StateSync);
    }
    real!(c"fsync", extern "C" fn(c_int) -> c_int, fd)
}

#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    if kind_of(fd) == Kind::State {
        fail_with!(Call::StateSync);
    }
    real!(c"fdatasync", extern "C" fn(c_int) -> c_int, fd)
}

#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let rename = || real!(c"rename", extern "C" fn(*const c_char, *const c_char) -> c_int, from, to);
    if kind_of_path(unsafe { CStr::from_ptr(to) }.to_bytes()) == Kind::State {
        match fault(Call::StateRename) {
            Some(Call::KILLED_BEFORE) => die(),
            Some(Call::KILLED_BEHIND) => {
                rename();
                die()
            }
            Some(error) if error > 0 => {
                set_errno(error);
                return -1;
            }
            _ => {}
        }
    }
    rename()
}

#[no_mangle]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    if kind_of_path(unsafe { CStr::from_ptr(path) }.to_bytes()) == Kind::State {
        fail_with!(Call::StateUnlink);
    }
    real!(c"unlink", extern "C" fn(*const c_char) -> c_int, path)
}

#[no_mangle]
pub extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    if kind_of(fd) == Kind::State {
        fail_with!(Call::StateLock);
    }
    real!(c"flock", extern "C" fn(c_int, c_int) -> c_int, fd, operation)
}
