//! The C library's own functions, which this library stands in front of.

use std::ffi::CStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The address of the real function, which the cache keeps.
pub fn next(cache: &AtomicUsize, name: &CStr) -> usize {
    let cached = cache.load(Ordering::Relaxed);
    if cached != 0 {
        return cached;
    }
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    cache.store(found, Ordering::Relaxed);
    found
}

/// The cache of `open64`, which is called in two places.
pub static OPEN: AtomicUsize = AtomicUsize::new(0);

/// Calls the real function, of this name and type.
macro_rules! real {
    ($name:literal, $type:ty, $($argument:expr),*) => {{
        static CACHE: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let function: $type = unsafe { std::mem::transmute($crate::real::next(&CACHE, $name)) };
        function($($argument),*)
    }};
}
pub(crate) use real;
