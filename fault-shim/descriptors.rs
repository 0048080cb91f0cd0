//! Classifies descriptors and paths. Of all files, only those of the state folder and the configuration have faults.

use crate::errno::SavedErrno;
use crate::fault_page::Call;
use crate::mapped_page::MappedPage;
use crate::next_function::call_next;
use libc::{c_int, c_void, socklen_t};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::sync::OnceLock;

/// The environment variable that holds the path of the gateway's state folder.
const STATE_VARIABLE: &str = "BALANCER_STATE";
/// The environment variable that holds the path of the gateway's configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// The maximum length of a path on Linux.
const PATH_BYTES: usize = libc::PATH_MAX as usize;

/// The kind of object that a descriptor or path refers to, as far as faults depend on it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    TcpSocket,
    UnixSocket,
    /// A file of the state folder.
    StateFile,
    ConfigFile,
    Other,
}

impl Kind {
    /// Returns the kind of a path. It compares the path with the two environment variables as text: a path that begins
    /// with the state folder's is a state file.
    pub fn of_path(path: &[u8]) -> Self {
        static STATE: OnceLock<Option<Vec<u8>>> = OnceLock::new();
        static CONFIG: OnceLock<Option<Vec<u8>>> = OnceLock::new();
        if read_variable(STATE_VARIABLE, &STATE).is_some_and(|folder| path.starts_with(folder)) {
            Kind::StateFile
        } else if read_variable(CONFIG_VARIABLE, &CONFIG).is_some_and(|file| path == file) {
            Kind::ConfigFile
        } else {
            Kind::Other
        }
    }

    /// Returns the kind of an open descriptor, and `Other` for all if no page is mapped. Preserves `errno`, except that
    /// the first use of the page may change it.
    pub fn of_descriptor(fd: c_int) -> Self {
        if MappedPage::get().is_none() {
            return Kind::Other;
        }
        let _saved = SavedErrno::save();
        match socket_domain(fd) {
            Some(libc::AF_INET | libc::AF_INET6) => Kind::TcpSocket,
            Some(libc::AF_UNIX) => Kind::UnixSocket,
            Some(_) => Kind::Other,
            None => Self::of_open_file(fd),
        }
    }

    fn of_open_file(fd: c_int) -> Self {
        let Ok(link) = CString::new(format!("/proc/self/fd/{fd}")) else { return Kind::Other };
        let mut target = [0_u8; PATH_BYTES];
        // SAFETY: the link's name ends with a NUL byte, and no more is written than the buffer holds.
        let length = unsafe { libc::readlink(link.as_ptr(), target.as_mut_ptr().cast(), target.len()) };
        usize::try_from(length).map_or(Kind::Other, |length| Self::of_path(&target[..length]))
    }

    /// Returns the call that a read from such a descriptor counts as; `None` if such reads have no faults.
    pub fn read_call(self) -> Option<Call> {
        match self {
            Kind::TcpSocket => Some(Call::TcpRead),
            Kind::UnixSocket => Some(Call::UnixRead),
            Kind::StateFile => Some(Call::StateRead),
            Kind::ConfigFile => Some(Call::ConfigRead),
            Kind::Other => None,
        }
    }

    /// Returns the call that a write to such a descriptor counts as; `None` if such writes have no faults.
    pub fn write_call(self) -> Option<Call> {
        match self {
            Kind::TcpSocket => Some(Call::TcpWrite),
            Kind::UnixSocket => Some(Call::UnixWrite),
            Kind::StateFile => Some(Call::StateWrite),
            Kind::ConfigFile | Kind::Other => None,
        }
    }
}

/// Returns the address family of a socket; `None` if the descriptor is not a socket.
fn socket_domain(fd: c_int) -> Option<c_int> {
    let mut domain: c_int = 0;
    let mut domain_bytes = size_of::<c_int>() as socklen_t;
    let level = libc::SOL_SOCKET;
    let name = libc::SO_DOMAIN;
    let value = (&raw mut domain).cast::<c_void>();
    let length = &raw mut domain_bytes;
    let result = call_next!(getsockopt(
        fd: c_int,
        level: c_int,
        name: c_int,
        value: *mut c_void,
        length: *mut socklen_t,
    ) -> c_int);
    (result == 0).then_some(domain)
}

/// Returns an environment variable as it was at the first call with this `cache`; `None` if it was not set.
fn read_variable(name: &str, cache: &'static OnceLock<Option<Vec<u8>>>) -> Option<&'static [u8]> {
    cache.get_or_init(|| std::env::var_os(name).map(|value| value.as_bytes().to_vec())).as_deref()
}
