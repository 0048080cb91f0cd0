//! Calls the C library's functions from the hooks with the same names.

use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns the address of the next function with this name in the order of the dynamic linker, which is the C library's
/// own.
///
/// The address is cached in `cache`, which has to be zero before the first call.
pub fn next_address(cache: &AtomicUsize, name: &CStr) -> usize {
    let cached = cache.load(Ordering::Relaxed);
    if cached != 0 {
        return cached;
    }
    // SAFETY: the name ends with a NUL byte, and `RTLD_NEXT` needs no open handle.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    cache.store(found, Ordering::Relaxed);
    found
}

/// Calls the C library's function of a given name. The macro takes the function's declaration with Rust's types; the
/// arguments are variables in scope with the names of the parameters: `real!(close(fd: c_int) -> c_int)`.
macro_rules! real {
    ($name:ident($($argument:ident: $type:ty),* $(,)?) -> $result:ty) => {{
        static ADDRESS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        const NAME: &std::ffi::CStr =
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("a function's name contains no NUL byte"),
            };
        let address = $crate::next_function::next_address(&ADDRESS, NAME);
        // SAFETY: each use names a function that the C library exports, with the types that its headers declare.
        let function: extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(address) };
        function($($argument),*)
    }};
}

pub(crate) use real;
