//! Calls that make sockets and connections.

use libc::{c_int, c_void, sockaddr, socklen_t};

use crate::descriptors::{kind_of, Kind};
use crate::fault_page::Call;
use crate::injection::{fail_with, fault};
use crate::real::real;

#[no_mangle]
pub extern "C" fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int {
    if kind_of(fd) == Kind::Tcp {
        fail_with!(Call::Accept);
    }
    real!(
        c"accept4",
        extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int,
        fd,
        address,
        length,
        flags
    )
}

#[no_mangle]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_with!(Call::Socket);
    real!(c"socket", extern "C" fn(c_int, c_int, c_int) -> c_int, domain, kind, protocol)
}

#[no_mangle]
pub extern "C" fn socketpair(domain: c_int, kind: c_int, protocol: c_int, pair: *mut c_int) -> c_int {
    fail_with!(Call::SocketPair);
    real!(
        c"socketpair",
        extern "C" fn(c_int, c_int, c_int, *mut c_int) -> c_int,
        domain,
        kind,
        protocol,
        pair
    )
}

#[no_mangle]
pub extern "C" fn bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    fail_with!(Call::Bind);
    real!(c"bind", extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int, fd, address, length)
}

#[no_mangle]
pub extern "C" fn listen(fd: c_int, backlog: c_int) -> c_int {
    fail_with!(Call::Listen);
    real!(c"listen", extern "C" fn(c_int, c_int) -> c_int, fd, backlog)
}

#[no_mangle]
pub extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if kind_of(fd) == Kind::Tcp {
        fail_with!(Call::Connect);
    }
    real!(c"connect", extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int, fd, address, length)
}

#[no_mangle]
pub unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    length: *mut socklen_t,
) -> c_int {
    let result = real!(
        c"getsockopt",
        extern "C" fn(c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int,
        fd,
        level,
        name,
        value,
        length
    );
    if result == 0 && level == libc::SOL_SOCKET && name == libc::SO_ERROR && kind_of(fd) == Kind::Tcp {
        if let Some(error) = fault(Call::ConnectResult).filter(|error| *error > 0) {
            unsafe { *value.cast::<c_int>() = error };
        }
    }
    result
}

#[no_mangle]
pub extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    fail_with!(Call::SetSocketOption);
    real!(
        c"setsockopt",
        extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int,
        fd,
        level,
        name,
        value,
        length
    )
}

#[no_mangle]
pub extern "C" fn getsockname(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int {
    fail_with!(Call::GetSocketName);
    real!(c"getsockname", extern "C" fn(c_int, *mut sockaddr, *mut socklen_t) -> c_int, fd, address, length)
}

#[no_mangle]
pub extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    fail_with!(Call::Shutdown);
    real!(c"shutdown", extern "C" fn(c_int, c_int) -> c_int, fd, how)
}
