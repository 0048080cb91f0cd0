//! The calling thread's `errno`, in which the C library's functions and the hooks report errors.

/// Sets the calling thread's `errno`.
pub fn set_errno(error: i32) {
    // SAFETY: the C library returns a valid pointer to the calling thread's own `errno`.
    unsafe { *libc::__errno_location() = error };
}

/// Reports a failed call: sets `errno`, and returns -1 in the return type of the call.
pub fn fail<T: From<i8>>(error: i32) -> T {
    set_errno(error);
    T::from(-1)
}

/// Restores the saved `errno` when dropped. It wraps system calls that the hooks make for their own purposes, which
/// must not change the `errno` that the gateway sees.
pub struct SavedErrno(i32);

impl SavedErrno {
    pub fn save() -> Self {
        // SAFETY: the C library returns a valid pointer to the calling thread's own `errno`.
        SavedErrno(unsafe { *libc::__errno_location() })
    }
}

impl Drop for SavedErrno {
    fn drop(&mut self) {
        set_errno(self.0);
    }
}
