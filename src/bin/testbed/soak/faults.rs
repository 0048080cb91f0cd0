//! The faults of a soak. Faults are injected into each gateway one after another, and the behavior of endpoints is
//! changed; both are drawn from the soak's seed. In addition, a fixed set of system calls fails during the whole soak,
//! at a fixed rate.

use rustix::io::Errno;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::endpoints::{Behavior, Endpoint};
use super::gateway::{Gateway, Restart};
use super::Plan;
use crate::fault_page::{Call, Fault, FaultPage};

const ECONNABORTED: i32 = Errno::CONNABORTED.raw_os_error();
const ENFILE: i32 = Errno::NFILE.raw_os_error();
const ENOBUFS: i32 = Errno::NOBUFS.raw_os_error();
const EINTR: i32 = Errno::INTR.raw_os_error();
const EADDRNOTAVAIL: i32 = Errno::ADDRNOTAVAIL.raw_os_error();
const ENETUNREACH: i32 = Errno::NETUNREACH.raw_os_error();
const ENOSPC: i32 = Errno::NOSPC.raw_os_error();
const EIO: i32 = Errno::IO.raw_os_error();

/// The system calls that fail at random during the whole soak, and how they fail: with an error, or with a short
/// transfer ([`Call::SHORT`]).
const BACKGROUND_FAULTS: [(Call, &[i32]); 8] = [
    (Call::Accept, &[ECONNABORTED, ENFILE, ENOBUFS, EINTR]),
    (Call::Connect, &[EADDRNOTAVAIL, ENETUNREACH, EINTR]),
    (Call::Socket, &[ENFILE, ENOBUFS]),
    (Call::TcpRead, &[EINTR, Call::SHORT]),
    (Call::TcpWrite, &[EINTR, Call::SHORT]),
    (Call::UnixRead, &[EINTR]),
    (Call::UnixWrite, &[EINTR]),
    (Call::EpollWait, &[EINTR]),
];
/// The ratio of the calls in [`BACKGROUND_FAULTS`] that fails, from 0 to 1.
const BACKGROUND_RATIO: f64 = 0.05;
/// The offsets from the machine's wall clock to which a gateway's wall clock is stepped, in milliseconds.
const CLOCK_STEPS_MS: [i64; 5] = [0, 3_600_000, -3_600_000, 5_000, -5_000];

/// Sets the faults that last for the whole soak.
///
/// # Errors
/// Returns an error if the fault page cannot be written.
pub fn set_background_faults(faults: &FaultPage) -> io::Result<()> {
    BACKGROUND_FAULTS
        .iter()
        .try_for_each(|(call, errors)| faults.set(*call, Fault::always(errors).with_ratio(BACKGROUND_RATIO)))
}

/// Injects one fault after another into a gateway until `is_over` is set, and returns the gateway. A heartbeat is sent
/// on the gateway's watches before each fault. If the process has exited by itself, the exit is recorded as a
/// violation, and the gateway is restarted instead of getting a fault. An error of this restart is not recorded.
pub fn inject_faults(
    mut gateway: Gateway,
    plan: &Plan,
    endpoints: &[Endpoint],
    is_over: &AtomicBool,
    mut random: fastrand::Rng,
) -> Gateway {
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(random.u64(200..2500)));
        gateway.send_heartbeat();
        if gateway.has_exited() {
            gateway.record_violation("exited by itself");
            let _ = gateway.restart(plan, endpoints, Restart::Killed);
        } else if let Err(error) = inject_fault(&mut gateway, plan, endpoints, &mut random) {
            gateway.record_violation(&format!("had an error during the injection of a fault: {error}"));
        }
    }
    gateway
}

fn inject_fault(
    gateway: &mut Gateway,
    plan: &Plan,
    endpoints: &[Endpoint],
    random: &mut fastrand::Rng,
) -> io::Result<()> {
    match random.u8(..9) {
        0 => gateway.restart(plan, endpoints, Restart::Planned),
        1 => gateway.restart(plan, endpoints, Restart::Killed),
        2 => gateway.move_discovery(endpoints),
        3 => {
            gateway.silence_discovery(Duration::from_millis(random.u64(500..4000)));
            Ok(())
        }
        4 => {
            gateway.toggle_draining(endpoints, random.usize(..endpoints.len()));
            Ok(())
        }
        5 | 6 => fail_disk(gateway, plan, endpoints, random),
        8 => gateway.hand_over(plan),
        _ => gateway.faults.step_wall_clock(CLOCK_STEPS_MS[random.usize(..CLOCK_STEPS_MS.len())]),
    }
}

/// Fails disk writes for a random time; in half of the cases truncations and renames, too. In three of four cases the
/// gateway is restarted, or its successor is started, before the disk works again.
fn fail_disk(
    gateway: &mut Gateway,
    plan: &Plan,
    endpoints: &[Endpoint],
    random: &mut fastrand::Rng,
) -> io::Result<()> {
    let errors = [[ENOSPC, EIO], [EIO, EIO], [Call::TORN, ENOSPC]];
    let errors = &errors[random.usize(..errors.len())];
    let ratio = 0.3 + 0.7 * random.f64();
    gateway.faults.set(Call::StateWrite, Fault::always(errors).with_ratio(ratio))?;
    if random.bool() {
        gateway.faults.set(Call::StateTruncate, Fault::always(&[EIO]))?;
        gateway.faults.set(Call::StateRename, Fault::always(&[EIO]))?;
    }
    thread::sleep(Duration::from_millis(random.u64(300..2500)));
    match random.u8(..4) {
        0 => gateway.restart(plan, endpoints, Restart::Planned)?,
        1 => gateway.restart(plan, endpoints, Restart::Killed)?,
        2 => gateway.hand_over_while_disk_fails(plan)?,
        _ => {}
    }
    gateway.clear_disk_faults()
}

/// Changes the behavior of random endpoints until `is_over` is set. Afterwards all endpoints serve.
pub fn change_behaviors(endpoints: &[Endpoint], is_over: &AtomicBool, mut random: fastrand::Rng) {
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(random.u64(200..1200)));
        let endpoint = &endpoints[random.usize(..endpoints.len())];
        let behavior = if random.bool() {
            Behavior::Serving
        } else {
            Behavior::ALL[random.usize(..Behavior::ALL.len())]
        };
        endpoint.set_behavior(behavior);
    }
    endpoints.iter().for_each(|endpoint| endpoint.set_behavior(Behavior::Serving));
}

/// Returns, for each group of system calls with faults, the numbers of faults and calls over all gateways, as text.
///
/// # Errors
/// Returns an error if a fault page cannot be read.
pub fn fault_counts(gateways: &[Gateway]) -> io::Result<String> {
    let mut counts = Vec::new();
    for call in Call::ALL {
        let (mut calls, mut failures) = (0, 0);
        for gateway in gateways {
            let counted = gateway.faults.call_counts(call)?;
            calls += counted.calls;
            failures += counted.failures;
        }
        if failures > 0 {
            counts.push(format!("{call:?} {failures} of {calls}"));
        }
    }
    Ok(counts.join(", "))
}
