//! Fails the system calls of the gateway with the transient errors that Linux documents for them, from the first call
//! of the process on. Each case is a short run with a reload of the configuration, a shutdown and a restart, in which
//! each accepted message must get its final outcome within the delivery rules.

mod environment;

use environment::audit::{ClientExpectation, DeliveryAudit};
use environment::*;
use libc::*;
use std::thread;
use std::time::Duration;

/// The number of messages of each class that are enqueued at the start of a run.
const MESSAGES: usize = 8;
/// The maximum number of messages that are enqueued until the journal is compacted.
const MAX_FILLERS: usize = 400;
/// The calls of a kind that fail: the first ones of a run, where there are only a few calls, or a ratio of all.
#[derive(Clone, Copy)]
enum FailingCalls {
    First(u32),
    Ratio(f64),
}

use FailingCalls::{First, Ratio};

/// Runs a gateway once for each error, all at the same time, with calls that fail with that error.
fn run_with_errors(call: SystemCall, errors: &[i32], failing: FailingCalls, expectation: ClientExpectation) {
    thread::scope(|scope| {
        for (seed, error) in errors.iter().enumerate() {
            scope.spawn(move || run_with_error(call, *error, seed as u64 + 1, failing, expectation));
        }
    });
}

fn run_with_error(
    call: SystemCall,
    error: i32,
    seed: u64,
    failing: FailingCalls,
    expectation: ClientExpectation,
) {
    let mut environment = TestEnvironment::with_faults(2, seed);
    // The disk is small, so that the journal is compacted, and holds what a killed process may leave behind.
    environment.disk_mb = 0.06;
    environment.latency_objective_secs = 3;
    environment.append_to_journal(b"torn");
    environment.write_unfinished_journal_copy();
    let fault = Fault::always(&[error]);
    environment.fail(
        call,
        match failing {
            First(count) => fault.times(count),
            Ratio(ratio) => fault.with_ratio(ratio),
        },
    );
    run_and_restart(&environment, &format!("{call:?} {error}"), expectation);
    let counts = environment.faults().call_counts(call).unwrap();
    assert!(counts.failures > 0, "{call:?} {error}: no call failed: {counts:?}");
}

/// Runs a gateway through a compaction, a reload, a shutdown and a restart, and audits the outcomes. `case` appears in
/// panic messages.
fn run_and_restart(environment: &TestEnvironment, case: &str, expectation: ClientExpectation) {
    let mut audit = DeliveryAudit::new(environment);
    let mut gateway = environment.start();
    for number in 0..MESSAGES {
        audit.enqueue(&gateway, &format!("a{number}"), true, expectation);
        audit.enqueue(&gateway, &format!("b{number}"), false, expectation);
    }
    // Fills the journal until it is compacted, whether or not the compaction succeeds.
    let compactions = || environment.faults().call_counts(SystemCall::StateRename).unwrap().calls;
    for number in (0..MAX_FILLERS).take_while(|_| compactions() == 0) {
        audit.enqueue(&gateway, &format!("e{number}"), false, expectation);
        audit.observe(Duration::from_millis(50));
    }
    assert!(compactions() > 0, "{case}: the journal was not compacted");
    gateway.send_sighup();
    audit.enqueue(&gateway, "c0", true, expectation);
    gateway.send_sigterm();
    assert!(gateway.wait(Duration::from_secs(6)).success(), "{case}: the process did not exit with success");
    let gateway = environment.start();
    audit.enqueue(&gateway, "d0", true, expectation);
    audit.enqueue(&gateway, "d1", false, expectation);
    audit.wait_for_outcomes(case);
    assert!(!gateway.has_logged("panicked"), "{case}: the gateway panicked after the restart");
}

/// Defines a test for each call, with its errors, the calls that fail, and whether clients may be disconnected.
macro_rules! audits {
    ($($name:ident: $call:ident, [$($error:expr),+], $failing:expr, $expectation:ident;)+) => {
        $(#[test]
        fn $name() {
            run_with_errors(SystemCall::$call, &[$($error),+], $failing, ClientExpectation::$expectation);
        })+
    };
}

audits! {
    accept: Accept, [EINTR, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ETIMEDOUT, EHOSTUNREACH], Ratio(0.5), MustBeAnswered;
    socket: Socket, [EMFILE, ENFILE, ENOBUFS, ENOMEM], Ratio(0.3), MustBeAnswered;
    bind: Bind, [EADDRINUSE, EADDRNOTAVAIL, ENOMEM], First(3), MustBeAnswered;
    listen: Listen, [EADDRINUSE], First(3), MustBeAnswered;
    connect: Connect, [EADDRNOTAVAIL, EAGAIN, EINTR, ENETUNREACH, ENOBUFS, ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH], Ratio(0.3), MustBeAnswered;
    connect_result: ConnectResult, [ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNREFUSED, ECONNRESET], Ratio(0.3), MustBeAnswered;
    set_socket_option: SetSocketOption, [ENOBUFS, ENOMEM], Ratio(0.3), MustBeAnswered;
    get_socket_name: GetSocketName, [ENOBUFS], First(3), MustBeAnswered;
    shutdown: Shutdown, [ENOTCONN, ENOBUFS], First(3), MustBeAnswered;
    tcp_read: TcpRead, [EINTR, SystemCall::SHORT, ENOMEM, ENOBUFS], Ratio(0.3), MustBeAnswered;
    tcp_write: TcpWrite, [EINTR, SystemCall::SHORT, ENOMEM, ENOBUFS], Ratio(0.3), MustBeAnswered;
    broken_tcp_read: TcpRead, [ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH], Ratio(0.1), MayBeDisconnected;
    broken_tcp_write: TcpWrite, [EPIPE, ECONNRESET, ETIMEDOUT, EHOSTUNREACH], Ratio(0.1), MayBeDisconnected;
    unix_read: UnixRead, [EINTR, ENOMEM], Ratio(0.5), MustBeAnswered;
    unix_write: UnixWrite, [EINTR, EAGAIN], Ratio(0.5), MustBeAnswered;
    socket_pair: SocketPair, [EMFILE, ENFILE, ENOMEM], First(2), MustBeAnswered;
    epoll_create: EpollCreate, [EMFILE, ENFILE, ENOMEM], First(2), MustBeAnswered;
    epoll_control: EpollControl, [ENOMEM, ENOSPC], Ratio(0.2), MayBeDisconnected;
    epoll_wait: EpollWait, [EINTR], Ratio(0.3), MustBeAnswered;
    event_fd: EventFd, [EMFILE, ENFILE, ENOMEM], First(2), MustBeAnswered;
    state_open: StateOpen, [EIO, ENOSPC, EDQUOT, EMFILE, ENFILE, EINTR, ENOMEM], First(3), MustBeAnswered;
    state_read: StateRead, [EIO, EINTR, SystemCall::SHORT], First(2), MustBeAnswered;
    state_write: StateWrite, [EIO, ENOSPC, EDQUOT, EINTR, SystemCall::SHORT, SystemCall::TORN], Ratio(0.2), MustBeAnswered;
    state_truncate: StateTruncate, [EIO, EINTR], First(2), MustBeAnswered;
    state_rename: StateRename, [EIO, ENOSPC, EDQUOT, EBUSY, ENOMEM], First(2), MustBeAnswered;
    state_unlink: StateUnlink, [EIO, EBUSY, ENOMEM], First(2), MustBeAnswered;
    state_lock: StateLock, [EINTR, ENOLCK], First(2), MustBeAnswered;
    config_open: ConfigOpen, [EIO, EMFILE, ENFILE, EINTR, ENOMEM], First(2), MustBeAnswered;
    config_read: ConfigRead, [EIO, EINTR, SystemCall::SHORT], First(1), MustBeAnswered;
}
