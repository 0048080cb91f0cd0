//! The calling thread's `errno`: the C library's functions report errors in it, and so do the hooks.

/// Sets the error that the current call returns.
pub fn set_errno(error: i32) {
    // SAFETY: the C library returns a valid pointer to the calling thread's own `errno`.
    unsafe { *libc::__errno_location() = error };
}

/// Reports a failed call: sets `errno` and returns -1 in the type that the call returns.
pub fn fail<T: From<i8>>(error: i32) -> T {
    set_errno(error);
    T::from(-1)
}

/// Restores the current `errno` when dropped, for calls that the hooks make on their own account.
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
