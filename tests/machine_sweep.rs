//! Every system call of the gateway, with every transient error that Linux documents for it, from the first call of the
//! process on: a short run with a new configuration, a shutdown and a restart, in which each request must get its final
//! outcome within the rules.

mod environment;

use environment::audit::{ClientExpectation, DeliveryAudit};
use environment::*;
use libc::*;
use std::thread;
use std::time::Duration;

/// Messages of each class that one life brings.
const MESSAGES: usize = 8;
/// Messages until the journal is compacted, at most.
const MOST_FILLERS: usize = 400;
/// Which calls of a kind fail: the first ones of each process where there are only a few, or a part of all.
#[derive(Clone, Copy)]
enum Which {
    First(u32),
    Part(f64),
}

use Which::{First, Part};

/// Lets calls fail with each of the errors, through a life for each.
fn live_with(call: SystemCall, errors: &[i32], which: Which, clients: ClientExpectation) {
    thread::scope(|audits| {
        for (seed, error) in errors.iter().enumerate() {
            audits.spawn(move || live_with_error(call, *error, seed as u64 + 1, which, clients));
        }
    });
}

fn live_with_error(call: SystemCall, error: i32, seed: u64, which: Which, clients: ClientExpectation) {
    let mut environment = TestEnvironment::with_faults(2, seed);
    // Small, so that the journal is compacted; and with what a killed process has left behind.
    environment.disk_mb = 0.06;
    environment.latency_objective_secs = 3;
    environment.append_to_journal(b"torn");
    environment.write_unfinished_journal_copy();
    let fault = Fault::always(&[error]);
    environment.fail(
        call,
        match which {
            First(count) => fault.times(count),
            Part(part) => fault.with_ratio(part),
        },
    );
    live(&environment, &format!("{call:?} {error}"), clients);
    let counted = environment.faults().call_counts(call).unwrap();
    assert!(counted.failures > 0, "{call:?} {error}: {counted:?}");
}

fn live(environment: &TestEnvironment, what: &str, clients: ClientExpectation) {
    let mut audit = DeliveryAudit::new(environment);
    let mut gateway = environment.start();
    for number in 0..MESSAGES {
        audit.enqueue(&gateway, &format!("a{number}"), true, clients);
        audit.enqueue(&gateway, &format!("b{number}"), false, clients);
    }
    // Until the journal is compacted, whether or not that succeeds.
    let compactions = || environment.faults().call_counts(SystemCall::StateRename).unwrap().calls;
    for number in (0..MOST_FILLERS).take_while(|_| compactions() == 0) {
        audit.enqueue(&gateway, &format!("e{number}"), false, clients);
        audit.observe(Duration::from_millis(50));
    }
    assert!(compactions() > 0, "{what}: the journal was never compacted");
    gateway.send_sighup();
    audit.enqueue(&gateway, "c0", true, clients);
    gateway.send_sigterm();
    assert!(gateway.wait(Duration::from_secs(6)).success(), "{what}: the process did not end well");
    let gateway = environment.start();
    audit.enqueue(&gateway, "d0", true, clients);
    audit.enqueue(&gateway, "d1", false, clients);
    audit.wait_for_outcomes(what);
    assert!(!gateway.has_logged("panicked"), "{what}");
}

/// A test for each call, with its errors, the part of the calls that fail, and what that means for clients.
macro_rules! audits {
    ($($name:ident: $call:ident, [$($error:expr),+], $part:expr, $clients:ident;)+) => {
        $(#[test]
        fn $name() {
            live_with(SystemCall::$call, &[$($error),+], $part, ClientExpectation::$clients);
        })+
    };
}

audits! {
    accept: Accept, [EINTR, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ETIMEDOUT, EHOSTUNREACH], Part(0.5), AreAnswered;
    socket: Socket, [EMFILE, ENFILE, ENOBUFS, ENOMEM], Part(0.3), AreAnswered;
    bind: Bind, [EADDRINUSE, EADDRNOTAVAIL, ENOMEM], First(3), AreAnswered;
    listen: Listen, [EADDRINUSE], First(3), AreAnswered;
    connect: Connect, [EADDRNOTAVAIL, EAGAIN, EINTR, ENETUNREACH, ENOBUFS, ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH], Part(0.3), AreAnswered;
    connect_result: ConnectResult, [ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNREFUSED, ECONNRESET], Part(0.3), AreAnswered;
    set_socket_option: SetSocketOption, [ENOBUFS, ENOMEM], Part(0.3), AreAnswered;
    get_socket_name: GetSocketName, [ENOBUFS], First(3), AreAnswered;
    shutdown: Shutdown, [ENOTCONN, ENOBUFS], First(3), AreAnswered;
    tcp_read: TcpRead, [EINTR, SystemCall::SHORT, ENOMEM, ENOBUFS], Part(0.3), AreAnswered;
    tcp_write: TcpWrite, [EINTR, SystemCall::SHORT, ENOMEM, ENOBUFS], Part(0.3), AreAnswered;
    broken_tcp_read: TcpRead, [ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH], Part(0.1), MayBeDisconnected;
    broken_tcp_write: TcpWrite, [EPIPE, ECONNRESET, ETIMEDOUT, EHOSTUNREACH], Part(0.1), MayBeDisconnected;
    unix_read: UnixRead, [EINTR, ENOMEM], Part(0.5), AreAnswered;
    unix_write: UnixWrite, [EINTR, EAGAIN], Part(0.5), AreAnswered;
    socket_pair: SocketPair, [EMFILE, ENFILE, ENOMEM], First(2), AreAnswered;
    epoll_create: EpollCreate, [EMFILE, ENFILE, ENOMEM], First(2), AreAnswered;
    epoll_control: EpollControl, [ENOMEM, ENOSPC], Part(0.2), MayBeDisconnected;
    epoll_wait: EpollWait, [EINTR], Part(0.3), AreAnswered;
    event_fd: EventFd, [EMFILE, ENFILE, ENOMEM], First(2), AreAnswered;
    state_open: StateOpen, [EIO, ENOSPC, EDQUOT, EMFILE, ENFILE, EINTR, ENOMEM], First(3), AreAnswered;
    state_read: StateRead, [EIO, EINTR, SystemCall::SHORT], First(2), AreAnswered;
    state_write: StateWrite, [EIO, ENOSPC, EDQUOT, EINTR, SystemCall::SHORT, SystemCall::TORN], Part(0.2), AreAnswered;
    state_truncate: StateTruncate, [EIO, EINTR], First(2), AreAnswered;
    state_rename: StateRename, [EIO, ENOSPC, EDQUOT, EBUSY, ENOMEM], First(2), AreAnswered;
    state_unlink: StateUnlink, [EIO, EBUSY, ENOMEM], First(2), AreAnswered;
    state_lock: StateLock, [EINTR, ENOLCK], First(2), AreAnswered;
    config_open: ConfigOpen, [EIO, EMFILE, ENFILE, EINTR, ENOMEM], First(2), AreAnswered;
    config_read: ConfigRead, [EIO, EINTR, SystemCall::SHORT], First(1), AreAnswered;
}
