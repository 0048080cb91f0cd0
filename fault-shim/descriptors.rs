//! What a descriptor or a path is, and so which call is made on it.

use libc::{c_int, c_void, socklen_t};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::OnceLock;

use crate::fault_page::Call;
use crate::injection::ErrnoGuard;
use crate::page::page;
use crate::real::real;

/// What a descriptor or a path is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Tcp,
    Unix,
    /// A file of the folder that lasts.
    State,
    /// The configuration.
    Config,
    Other,
}

/// A variable of the environment, as it was when it was first asked for.
fn variable(name: &str, cache: &'static OnceLock<Option<Vec<u8>>>) -> Option<&'static [u8]> {
    cache.get_or_init(|| std::env::var_os(name).map(|value| value.as_bytes().to_vec())).as_deref()
}

/// What a path leads to.
pub fn kind_of_path(path: &[u8]) -> Kind {
    static STATE: OnceLock<Option<Vec<u8>>> = OnceLock::new();
    static CONFIG: OnceLock<Option<Vec<u8>>> = OnceLock::new();
    if variable("BALANCER_STATE", &STATE).is_some_and(|state| path.starts_with(state)) {
        Kind::State
    } else if variable("BALANCER_CONFIG", &CONFIG).is_some_and(|config| path == config) {
        Kind::Config
    } else {
        Kind::Other
    }
}

/// What a descriptor is; always [`Kind::Other`] without a page.
pub fn kind_of(descriptor: c_int) -> Kind {
    if page().is_none() {
        return Kind::Other;
    }
    let _errno = ErrnoGuard::new();
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let result = real!(
        c"getsockopt",
        extern "C" fn(c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int,
        descriptor,
        libc::SOL_SOCKET,
        libc::SO_DOMAIN,
        (&raw mut domain).cast::<c_void>(),
        &raw mut length
    );
    if result == 0 {
        return match domain {
            libc::AF_INET | libc::AF_INET6 => Kind::Tcp,
            libc::AF_UNIX => Kind::Unix,
            _ => Kind::Other,
        };
    }
    let Ok(link) = CString::new(format!("/proc/self/fd/{descriptor}")) else { return Kind::Other };
    let mut target = [0_u8; 4096];
    let length = unsafe { libc::readlink(link.as_ptr(), target.as_mut_ptr().cast(), target.len()) };
    usize::try_from(length).map_or(Kind::Other, |length| kind_of_path(&target[..length]))
}

/// The call that reading from a descriptor is.
pub fn reading(descriptor: c_int) -> Option<Call> {
    match kind_of(descriptor) {
        Kind::Tcp => Some(Call::TcpRead),
        Kind::Unix => Some(Call::UnixRead),
        Kind::State => Some(Call::StateRead),
        Kind::Config => Some(Call::ConfigRead),
        Kind::Other => None,
    }
}

/// The call that writing to a descriptor is.
pub fn writing(descriptor: c_int) -> Option<Call> {
    match kind_of(descriptor) {
        Kind::Tcp => Some(Call::TcpWrite),
        Kind::Unix => Some(Call::UnixWrite),
        Kind::State => Some(Call::StateWrite),
        Kind::Config | Kind::Other => None,
    }
}
