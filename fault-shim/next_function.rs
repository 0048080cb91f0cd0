//! Calls the C library's functions from within this library, which exports hooks with the same names.

use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns the address of the C library's function with this name. The dynamic linker searches for it in the libraries
/// that follow this one in its search order, so that it does not find the hook with this name.
///
/// The address is cached in `cache`, which has to be zero before the first call.
pub fn next_address(cache: &AtomicUsize, name: &CStr) -> usize {
    let cached = cache.load(Ordering::Relaxed);
    if cached != 0 {
        return cached;
    }
    // SAFETY: the name ends with a NUL byte, and `RTLD_NEXT` needs no open handle.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    cache.store(address, Ordering::Relaxed);
    address
}

/// Calls the C library's function of a given name. The macro takes the function's declaration with Rust's types; the
/// arguments are variables in scope with the names of the parameters: `call_next!(close(fd: c_int) -> c_int)`.
macro_rules! call_next {
    ($name:ident($($argument:ident: $type:ty),* $(,)?) -> $result:ty) => {{
        static ADDRESS: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        const NAME: &std::ffi::CStr =
            match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                Ok(name) => name,
                Err(_) => panic!("a function's name contains no NUL byte"),
            };
        let address = $crate::next_function::next_address(&ADDRESS, NAME);
        // SAFETY: each use names a function that the C library exports, with the types that its headers declare. The
        // headers declare `open64` as variadic; its use passes the mode as a fixed third argument.
        let function: extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(address) };
        function($($argument),*)
    }};
}

pub(crate) use call_next;
