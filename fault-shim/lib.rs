//! A library that is loaded into a courier's process (`LD_PRELOAD`) and lets its system calls fail on demand.
//!
//! It stands before the C library's functions of the same names. Which calls fail, how, and by which part is read
//! from a page that the test or the soak holds (`src/bin/testbed/fault_page.rs`); without one every call goes through.
//! Chance comes from the page's seed and a count of the calls alone. It keeps to what Linux documents: an error comes
//! in the place of the call, except where a part of the work is done first (short and torn writes).
//!
//! A short read leaves bytes unread without the edge that a runtime may wait for. Linux documents that `read` and
//! `write` may be cut short by a signal, while `epoll(7)` takes a short one for an empty or full socket. The shim
//! makes no new edge: a courier must not depend on the stronger of the two.

// What its callers owe each function is said by the C library, whose names these are.
#![allow(clippy::missing_safety_doc)]

#[path = "../src/bin/testbed/fault_page.rs"]
#[allow(dead_code)]
mod fault_page;

use fault_page::{Call, ENTRY_WORDS, ERRORS, PAGE_BYTES, PAGE_VARIABLE, UNLIMITED};
use libc::{c_char, c_int, c_uint, c_void, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::{CStr, CString};
use std::os::unix::ffi::OsStrExt;
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::OnceLock;

/// The mapped page; zero if there is none.
static PAGE: OnceLock<usize> = OnceLock::new();

fn page() -> Option<usize> {
    let page = *PAGE.get_or_init(|| map_page().unwrap_or(0));
    (page != 0).then_some(page)
}

fn map_page() -> Option<usize> {
    let path = std::env::var_os(PAGE_VARIABLE)?;
    let path = CString::new(path.as_bytes()).ok()?;
    let open: extern "C" fn(*const c_char, c_int, mode_t) -> c_int =
        unsafe { std::mem::transmute(next(&OPEN, c"open64")) };
    let file = open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC, 0);
    if file < 0 {
        return None;
    }
    let (protection, flags) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
    // The descriptor is closed again: it would count against the courier's own limit.
    let mapped = unsafe { libc::mmap(std::ptr::null_mut(), PAGE_BYTES, protection, flags, file, 0) };
    unsafe { libc::close(file) };
    (mapped != libc::MAP_FAILED).then_some(mapped as usize)
}

/// A word of the page.
fn word(page: usize, at: usize) -> &'static AtomicU32 {
    unsafe { &*((page + 4 * at) as *const AtomicU32) }
}

fn seed(page: usize) -> u64 {
    unsafe { &*(page as *const AtomicU64) }.load(Ordering::Relaxed)
}

fn wall_offset_ms() -> i64 {
    page().map_or(0, |page| unsafe { &*((page + 8) as *const AtomicI64) }.load(Ordering::Relaxed))
}

/// SplitMix64, of a number that is different for each call.
fn chance(seed: u64, number: u64) -> u64 {
    let mut mixed = seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

/// Counts a call and tells how it is to fail, if it is.
fn fault(call: Call) -> Option<i32> {
    let page = page()?;
    let at = call.entry();
    let (rate, budget, skipped) = (word(page, at), word(page, at + 1), word(page, at + 2));
    let number = word(page, at + 3).fetch_add(1, Ordering::SeqCst);
    let drawn = chance(seed(page), (call as u64) << 32 | u64::from(number));
    if drawn as u32 & 0xFFFF >= rate.load(Ordering::SeqCst) {
        return None;
    }
    let one_less = |left: u32| left.checked_sub(1);
    if skipped.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less).is_ok() {
        return None;
    }
    if budget.load(Ordering::SeqCst) != UNLIMITED
        && budget.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less).is_err()
    {
        return None;
    }
    let errors =
        (0..ERRORS).map(|place| word(page, at + ENTRY_WORDS - ERRORS + place).load(Ordering::SeqCst));
    let errors: Vec<i32> = errors.map(|word| word as i32).filter(|error| *error != 0).collect();
    let error = *errors.get((drawn >> 32) as usize % errors.len().max(1))?;
    word(page, at + 4).fetch_add(1, Ordering::SeqCst);
    Some(error)
}

fn set_errno(error: i32) {
    unsafe { *libc::__errno_location() = error };
}

/// The error number in force, put back at the end: looking something up must not change it.
struct KeptErrno(i32);

impl KeptErrno {
    fn keep() -> Self {
        KeptErrno(unsafe { *libc::__errno_location() })
    }
}

impl Drop for KeptErrno {
    fn drop(&mut self) {
        set_errno(self.0);
    }
}

/// The function that this library stands before.
fn next(cache: &AtomicUsize, name: &CStr) -> usize {
    let known = cache.load(Ordering::Relaxed);
    if known != 0 {
        return known;
    }
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    cache.store(found, Ordering::Relaxed);
    found
}

static OPEN: AtomicUsize = AtomicUsize::new(0);

/// Calls the real function, of this name and type.
macro_rules! real {
    ($name:literal, $type:ty, $($argument:expr),*) => {{
        static CACHE: AtomicUsize = AtomicUsize::new(0);
        let function: $type = unsafe { std::mem::transmute(next(&CACHE, $name)) };
        function($($argument),*)
    }};
}

/// What a descriptor is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Tcp,
    Unix,
    State,
    Config,
    Other,
}

fn variable(name: &str, cache: &'static OnceLock<Option<Vec<u8>>>) -> Option<&'static [u8]> {
    cache.get_or_init(|| std::env::var_os(name).map(|value| value.as_bytes().to_vec())).as_deref()
}

fn kind_of_path(path: &[u8]) -> Kind {
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

fn kind_of(descriptor: c_int) -> Kind {
    if page().is_none() {
        return Kind::Other;
    }
    let _kept = KeptErrno::keep();
    let (mut domain, mut length) = (0 as c_int, 4 as socklen_t);
    let (out, size) = ((&raw mut domain).cast::<c_void>(), &raw mut length);
    let asked = real!(
        c"getsockopt",
        extern "C" fn(c_int, c_int, c_int, *mut c_void, *mut socklen_t) -> c_int,
        descriptor,
        libc::SOL_SOCKET,
        libc::SO_DOMAIN,
        out,
        size
    );
    if asked == 0 {
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
fn reading(descriptor: c_int) -> Option<Call> {
    match kind_of(descriptor) {
        Kind::Tcp => Some(Call::TcpRead),
        Kind::Unix => Some(Call::UnixRead),
        Kind::State => Some(Call::StateRead),
        Kind::Config => Some(Call::ConfigRead),
        Kind::Other => None,
    }
}

fn writing(descriptor: c_int) -> Option<Call> {
    match kind_of(descriptor) {
        Kind::Tcp => Some(Call::TcpWrite),
        Kind::Unix => Some(Call::UnixWrite),
        Kind::State => Some(Call::StateWrite),
        Kind::Config | Kind::Other => None,
    }
}

/// What becomes of a transfer of some length.
enum Transfer {
    /// It goes through, of this length.
    Of(usize),
    /// So much of it goes through, and then there is this error.
    Torn(usize, i32),
    /// So much of it goes through, and then the process is killed.
    Killed(usize),
    Fails(i32),
}

fn transfer(call: Option<Call>, length: usize) -> Transfer {
    match call.and_then(fault) {
        None => Transfer::Of(length),
        // An empty transfer would be the end of the data.
        Some(Call::SHORT) => Transfer::Of(length.div_ceil(2).max(1).min(length)),
        Some(Call::KILLED_BEFORE) => Transfer::Killed(length / 2),
        Some(Call::KILLED_BEHIND) => Transfer::Killed(length),
        Some(Call::TORN) => Transfer::Torn(length / 2, libc::ENOSPC),
        Some(error) => Transfer::Fails(error),
    }
}

/// Ends the process at once, as the platform may at any moment.
fn die() -> ! {
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        libc::_exit(137)
    }
}

/// Fails a call that returns -1 with an error, or kills the process before it.
macro_rules! fail_with {
    ($call:expr) => {
        match fault($call) {
            Some(Call::KILLED_BEFORE) => die(),
            Some(error) if error > 0 => {
                set_errno(error);
                return -1;
            }
            _ => {}
        }
    };
}

// ---- Sockets ----

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

// ---- Transfers ----

#[no_mangle]
pub extern "C" fn read(fd: c_int, bytes: *mut c_void, length: size_t) -> ssize_t {
    match transfer(reading(fd), length) {
        Transfer::Of(length) => {
            real!(c"read", extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t, fd, bytes, length)
        }
        Transfer::Killed(_) => die(),
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer(reading(fd), length) {
        Transfer::Of(length) => {
            real!(
                c"recv",
                extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t,
                fd,
                bytes,
                length,
                flags
            )
        }
        Transfer::Killed(_) => die(),
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn recvmsg(fd: c_int, message: *mut libc::msghdr, flags: c_int) -> ssize_t {
    let recvmsg =
        || real!(c"recvmsg", extern "C" fn(c_int, *mut libc::msghdr, c_int) -> ssize_t, fd, message, flags);
    // A message is not cut: half of it is none.
    match transfer(reading(fd), 2) {
        Transfer::Of(_) => recvmsg(),
        Transfer::Killed(1) => die(),
        Transfer::Killed(_) => {
            recvmsg();
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

fn write_torn(fd: c_int, bytes: *const c_void, length: size_t, error: i32) -> ssize_t {
    real!(c"write", extern "C" fn(c_int, *const c_void, size_t) -> ssize_t, fd, bytes, length);
    set_errno(error);
    -1
}

#[no_mangle]
pub extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    match transfer(writing(fd), length) {
        Transfer::Of(length) => {
            real!(c"write", extern "C" fn(c_int, *const c_void, size_t) -> ssize_t, fd, bytes, length)
        }
        Transfer::Torn(length, error) => write_torn(fd, bytes, length, error),
        Transfer::Killed(length) => {
            write_torn(fd, bytes, length, 0);
            die()
        }
        Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match transfer(writing(fd), length) {
        Transfer::Of(length) => {
            real!(
                c"send",
                extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t,
                fd,
                bytes,
                length,
                flags
            )
        }
        Transfer::Killed(length) => {
            write_torn(fd, bytes, length, 0);
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const libc::iovec, count: c_int) -> ssize_t {
    let first = unsafe { parts.as_ref() }.map_or(0, |part| part.iov_len);
    match transfer(writing(fd), first) {
        // Cut short inside the first part.
        Transfer::Of(length) if length < first => {
            let bytes = unsafe { (*parts).iov_base };
            real!(c"write", extern "C" fn(c_int, *const c_void, size_t) -> ssize_t, fd, bytes, length)
        }
        Transfer::Of(_) => {
            real!(c"writev", extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t, fd, parts, count)
        }
        Transfer::Killed(length) => {
            if length < first {
                write_torn(fd, unsafe { (*parts).iov_base }, length, 0);
            } else {
                real!(
                    c"writev",
                    extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t,
                    fd,
                    parts,
                    count
                );
            }
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

#[no_mangle]
pub extern "C" fn sendmsg(fd: c_int, message: *const libc::msghdr, flags: c_int) -> ssize_t {
    let sendmsg =
        || real!(c"sendmsg", extern "C" fn(c_int, *const libc::msghdr, c_int) -> ssize_t, fd, message, flags);
    // A message is not cut: half of it is none.
    match transfer(writing(fd), 2) {
        Transfer::Of(_) => sendmsg(),
        Transfer::Killed(1) => die(),
        Transfer::Killed(_) => {
            sendmsg();
            die()
        }
        Transfer::Torn(_, error) | Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

// ---- Files ----

#[no_mangle]
pub extern "C" fn pwrite64(fd: c_int, bytes: *const c_void, length: size_t, offset: off64_t) -> ssize_t {
    let write = |length: usize| {
        real!(
            c"pwrite64",
            extern "C" fn(c_int, *const c_void, size_t, off64_t) -> ssize_t,
            fd,
            bytes,
            length,
            offset
        )
    };
    match transfer(writing(fd), length) {
        Transfer::Of(length) => write(length),
        Transfer::Torn(length, error) => {
            write(length);
            set_errno(error);
            -1
        }
        Transfer::Killed(length) => {
            write(length);
            die()
        }
        Transfer::Fails(error) => {
            set_errno(error);
            -1
        }
    }
}

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

// ---- Waits and clocks ----

#[no_mangle]
pub extern "C" fn epoll_create1(flags: c_int) -> c_int {
    fail_with!(Call::EpollCreate);
    real!(c"epoll_create1", extern "C" fn(c_int) -> c_int, flags)
}

#[no_mangle]
pub extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        fail_with!(Call::EpollControl);
    }
    real!(
        c"epoll_ctl",
        extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int,
        epoll,
        operation,
        fd,
        event
    )
}

#[no_mangle]
pub extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    fail_with!(Call::EpollWait);
    real!(
        c"epoll_wait",
        extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int,
        epoll,
        events,
        most,
        timeout
    )
}

#[no_mangle]
pub extern "C" fn eventfd(count: c_uint, flags: c_int) -> c_int {
    fail_with!(Call::EventFd);
    real!(c"eventfd", extern "C" fn(c_uint, c_int) -> c_int, count, flags)
}

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut timespec) -> c_int {
    let result = real!(c"clock_gettime", extern "C" fn(c_int, *mut timespec) -> c_int, clock, time);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset = wall_offset_ms();
        let time = unsafe { &mut *time };
        let nanoseconds = time.tv_nsec + (offset % 1000) * 1_000_000;
        time.tv_sec += offset / 1000 + nanoseconds.div_euclid(1_000_000_000);
        time.tv_nsec = nanoseconds.rem_euclid(1_000_000_000);
    }
    result
}
