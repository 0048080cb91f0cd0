//! delivery-gateway: a courier that takes messages from clients and delivers them to partners' endpoints.

mod admin;
mod clock;
mod completed_messages;
mod event_loop;
mod events;
mod handover;
mod http_client;
mod journal;
mod log;
mod notifications;
mod rate_limited_log;
mod resp2;
mod send_guard;
mod signals;

use delivery_gateway::discovery::{DiscoveryUpdate, EndpointWatch};
use delivery_gateway::socket::{persistently, persistently_blocking, AsIoError};
use delivery_gateway::{settings_from_json, ParsedSettings, SettingError, Settings};
use serde::Deserialize;
use std::cell::Cell;
use std::ffi::OsString;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};
use tracing::{error, info, warn};

use crate::admin::AdminEndpoint;
use crate::event_loop::{EventLoop, IDLE_CONNECTIONS_PER_SLOT};
use crate::events::{Channels, GatewayEvent, ServicePhase};
use crate::handover::{HandedOver, HandedOverState, HandoverError, HandoverListener, HandoverResult};
use crate::journal::{Journal, JournalError};
use crate::resp2::{ClientLimits, ClientServer};
use crate::signals::{Handlers, Signals};

/// Descriptors kept for files, the runtime, the listener, discovery and notices.
const OTHER_SOCKETS: usize = 32;
/// Clients hold a third of the descriptors at most: half of that may be idle.
const IDLE_OF_SOCKETS: usize = 6;
/// Requests of more than a few KiB, of 68 KiB at most, that are read at a time: an eighth of the memory.
const LONG_REQUESTS_PER_MB: f64 = 2.0;

/// How long clients' connections and notices may take to come to a point at which they can be handed over. Clients
/// wait 400 ms for an answer; who takes longer does not read.
const SETTLE: Duration = Duration::from_millis(100);

/// How often it is looked whether the last call has ended, or an address is free.
const LOOK: Duration = Duration::from_millis(20);
/// How long the operators' address is left alone after it could not be had.
const TAKEN: Duration = Duration::from_secs(5);

#[derive(Deserialize)]
struct Config {
    name: String,
    listen: String,
    discovery: String,
    /// The operators' door; `$BALANCER_ADMIN_ADDR` goes before it, as it is told to one process.
    admin_addr: Option<String>,
    seed: String,
    limits: Limits,
    known: DiscoveryUpdate,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
    disk_mb: f64,
}

#[derive(Debug, Error)]
enum StartError {
    #[error("{0} is not set")]
    Variable(&'static str),
    #[error("the configuration: {0}")]
    Read(#[from] std::io::Error),
    #[error("the configuration: {0}")]
    Parse(#[from] serde_json::Error),
    #[error(transparent)]
    Setting(#[from] SettingError),
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error(transparent)]
    Handover(#[from] HandoverError),
    #[error("the system: {0}")]
    System(std::io::Error),
    #[error("cannot listen at {0}: {1}")]
    Listen(String, std::io::Error),
}

/// How the descriptors are dealt out: each part keeps to its own, and idle connections give way inside it.
struct Sockets {
    clients: usize,
    endpoints: usize,
}

impl Sockets {
    /// At most half goes to endpoints: calls out, calls that are ending, and idle connections.
    fn deal(limit: usize, slots: usize) -> Self {
        let rest = limit.saturating_sub(OTHER_SOCKETS);
        let endpoints = ((2 + IDLE_CONNECTIONS_PER_SLOT) * slots).min(rest / 2).max(1);
        Sockets { clients: rest.saturating_sub(endpoints).max(2), endpoints }
    }
}

fn variable(name: &'static str) -> Result<OsString, StartError> {
    std::env::var_os(name).ok_or(StartError::Variable(name))
}

impl AsIoError for StartError {
    fn as_io_error(&self) -> Option<&std::io::Error> {
        match self {
            StartError::Read(error) | StartError::Listen(_, error) => Some(error),
            StartError::Journal(error) => error.io_error(),
            _ => None,
        }
    }
}

async fn read_config(path: &Path) -> Result<Config, StartError> {
    persistently("reading the configuration", || async { Ok(serde_json::from_slice(&std::fs::read(path)?)?) })
        .await
}

/// Reads the configuration again on each SIGHUP. Only where discovery is may change in service; a file that
/// cannot be read changes nothing.
async fn follow(mut hang_up: UnboundedReceiver<()>, path: PathBuf, agent: watch::Sender<String>) {
    while hang_up.recv().await.is_some() {
        match read_config(&path).await {
            Ok(config) => {
                info!(discovery = config.discovery, "the configuration was read again");
                agent.send_if_modified(|address| {
                    let other = *address != config.discovery;
                    *address = config.discovery;
                    other
                });
            }
            Err(error) => error!(%error, "the configuration stays as it was"),
        }
    }
}

/// Listens at an address, and tells where that is. A process that has just ended may hold it for a moment longer than
/// the lock.
async fn bind(address: &str) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Listen(address.to_owned(), error);
    let taken = Cell::new(false);
    let listen = || async {
        TcpListener::bind(address).await.map_err(|error| {
            if error.kind() == ErrorKind::AddrInUse && !taken.replace(true) {
                warn!(address, "the address is still in use");
            }
            failed(error)
        })
    };
    let listener = persistently("binding an address", listen).await?;
    let bound = local_address(&listener).await.map_err(failed)?;
    Ok((listener, bound))
}

async fn local_address(listener: &TcpListener) -> std::io::Result<SocketAddr> {
    persistently("asking for the own address", || async { listener.local_addr() }).await
}

/// Opens the operators' door as soon as its address can be had: a courier without one serves all the same.
async fn open_door(address: String, door: Rc<AdminEndpoint>) {
    loop {
        match bind(&address).await {
            Ok((listener, address)) => {
                info!(%address, "operators may call");
                admin::serve(listener, door.clone()).await;
            }
            Err(error) => error!(%error, "operators cannot call"),
        }
        sleep(TAKEN).await;
    }
}

/// What a driver is made of that the journal and the list do not tell.
struct Plan {
    parsed: ParsedSettings,
    seed: u64,
    endpoint_sockets: usize,
    disk: u64,
    state: PathBuf,
    ends: Channels,
}

impl Plan {
    async fn driver(&self) -> Result<EventLoop, StartError> {
        let open = || async { Ok::<_, StartError>(Journal::open(&self.state, self.disk)?) };
        let journal = persistently("opening the journal", open).await?;
        Ok(EventLoop::new(self.parsed.clone(), self.seed, journal, self.endpoint_sockets, self.ends.clone()))
    }
}

async fn run(handlers: Handlers) -> Result<(), StartError> {
    let Signals { hang_up, mut terminate } = handlers.listen().await.map_err(StartError::System)?;
    let state = PathBuf::from(variable("BALANCER_STATE")?);
    let path = PathBuf::from(variable("BALANCER_CONFIG")?);
    let config = read_config(&path).await?;
    // First of all the door, which says that the courier is not ready yet.
    let admin = std::env::var("BALANCER_ADMIN_ADDR").ok().or(config.admin_addr).filter(|at| !at.is_empty());
    let door = Rc::new(AdminEndpoint::default());
    if let Some(admin) = admin {
        tokio::task::spawn_local(open_door(admin, door.clone()));
    }
    let parsed = settings_from_json(&config.settings)?;
    let slots = parsed.settings.max_in_flight_calls;
    let Settings {
        fleet_size,
        max_pending_messages,
        connect_timeout,
        connection_idle_timeout,
        destination_kinds,
        ..
    } = &parsed.settings;
    info!(
        fleet_size,
        slots,
        max_pending_messages,
        ?connect_timeout,
        ?connection_idle_timeout,
        ?destination_kinds,
        "the settings"
    );
    // Any text serves as a seed, but two couriers must not act alike.
    let seed = u64::from_str_radix(&config.seed, 16)
        .unwrap_or_else(|_| u64::from(crc32fast::hash(config.seed.as_bytes())));

    // No record is touched before the folder is this process's own.
    let lock = persistently("opening the lock", || async { handover::open_lock_file(&state) }).await;
    let mut lock = lock.map_err(StartError::System)?;
    let socket = handover::socket_path(&state);
    let fingerprint = handover::state_fingerprint(&parsed);
    let begun = tokio::select! {
        begun = handover::become_owner(&lock, &socket, fingerprint) => begun?,
        _ = terminate.recv() => return Ok(()),
    };

    let (inputs, mut events) = mpsc::unbounded_channel();
    let (notifications, owed) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(ServicePhase::Serving);
    let (watch, again) = watch::channel(());
    let sockets = Sockets::deal(config.limits.sockets, slots);
    let plan = Plan {
        parsed,
        seed,
        endpoint_sockets: sockets.endpoints,
        disk: (config.limits.disk_mb * 1e6) as u64,
        state,
        ends: Channels { events: inputs.clone(), notifications, watch, phase: phase.clone() },
    };
    let mut driver = plan.driver().await?;
    let limits = ClientLimits {
        connections: sockets.clients,
        idle: (config.limits.sockets / IDLE_OF_SOCKETS).max(1),
        long_requests: (config.limits.memory_mb * LONG_REQUESTS_PER_MB) as usize,
    };
    let (moving, mut moved) = mpsc::unbounded_channel();
    let clients = ClientServer::new(limits, inputs.clone(), phases.clone(), moving);
    let known = config.known;
    // Clients may come once all that was taken on before has been taken up again.
    let mut first = Duration::ZERO;
    let mut listener = match begun {
        None => {
            first = driver.initial_watch_delay();
            driver.recover(&known);
            bind(&config.listen).await?.0
        }
        Some(HandedOver { state, listener, lock: held, predecessor }) => {
            lock = held;
            match state {
                HandedOverState::Snapshot(snapshot) => {
                    driver.resume_from(*snapshot, predecessor.call_canceller())
                }
                HandedOverState::Constraints(carried_over_constraints) => {
                    driver.recover(&known);
                    driver.apply_constraints(carried_over_constraints);
                }
            }
            tokio::task::spawn_local(predecessor.follow(inputs.clone(), clients.clone()));
            listener
        }
    };
    let address = local_address(&listener).await.map_err(StartError::System)?;
    info!(name = config.name, %address, "listening");
    let (found, agent) = watch::channel(config.discovery);
    let gate = Arc::new(Semaphore::new(1));
    tokio::task::spawn_local(notifications::send_all(agent.clone(), owed, inputs.clone(), gate.clone()));
    tokio::task::spawn_local(follow(hang_up, path, found));
    let terminated = inputs.clone();
    tokio::task::spawn_local(async move {
        while terminate.recv().await.is_some() {
            let _ = terminated.send(GatewayEvent::Terminate);
        }
    });
    door.open(inputs.clone(), phases);
    loop {
        let accepting = tokio::task::spawn_local(clients.clone().serve(listener));
        let watch = EndpointWatch {
            agent: agent.clone(),
            revision: driver.endpoints_revision(),
            reconnect: again.clone(),
        };
        let first = std::mem::take(&mut first);
        let listed = inputs.clone();
        let tell = move |news| drop(listed.send(GatewayEvent::Discovery(news)));
        let watching = tokio::task::spawn_local(watch.run(first, tell));
        let offer = HandoverListener::new(&socket);
        let next = loop {
            let next = tokio::select! {
                () = driver.run(&mut events) => return Ok(()),
                next = offer.next_successor(fingerprint) => next,
            };
            if *phase.borrow() != ServicePhase::ShuttingDown && driver.journal_is_flushed() {
                break next;
            }
            next.refuse().await;
        };
        if !next.shares_state {
            info!("calls end before the hand-over: the other process cannot go on with them");
            driver.stop_starting_calls();
            let end = Instant::now() + handover::CALL_DRAIN_TIMEOUT;
            while driver.has_calls_in_flight() && Instant::now() < end {
                tokio::select! {
                    () = driver.run(&mut events) => return Ok(()),
                    () = sleep(LOOK) => {}
                }
            }
        }
        // Whoever can moves on; what is being answered is answered first.
        let before = phase.send_replace(ServicePhase::HandingOver);
        watching.abort();
        let mut shut = tokio::task::spawn_local(gate.clone().acquire_owned());
        let settle = async {
            let listener = accepting.await;
            let gate = timeout(SETTLE, &mut shut).await;
            let _ = timeout(SETTLE, clients.all_transferred()).await;
            (listener, gate)
        };
        let (returned, gate) = tokio::select! {
            () = driver.run(&mut events) => return Ok(()),
            settled = settle => settled,
        };
        listener = returned.map_err(std::io::Error::other).map_err(StartError::System)?;
        driver.process_queued(&mut events);
        if !next.shares_state {
            driver.abort_calls(&mut events).await;
        }
        // What the journal does not hold yet would be lost to the other process.
        let given = if driver.journal_is_flushed() {
            next.hand_over(&mut driver, &mut events, &mut moved, &listener, &lock).await
        } else {
            next.refuse().await;
            HandoverResult::Refused
        };
        match given {
            HandoverResult::Completed => return Ok(()),
            HandoverResult::Refused => driver.resume_phase(before),
            HandoverResult::Reverted(kept) => {
                let untouched = driver.journal_is_untouched();
                warn!(untouched, "the other process has gone before it was in service: this one goes on");
                if untouched {
                    driver.resume_idle_connections();
                    kept.into_iter().for_each(|input| driver.handle(input));
                } else {
                    // What the other one did is in the journal alone, and so is what may have run there.
                    driver.abandon_calls(&mut events).await;
                    driver = plan.driver().await?;
                    driver.recover(&known);
                }
                driver.resume_phase(before);
            }
        }
        while let Ok(client) = moved.try_recv() {
            clients.adopt(client);
        }
        shut.abort();
        drop(gate);
    }
}

fn main() -> ExitCode {
    log::begin();
    // Before all else: without a handler a signal would end the process.
    let result = persistently_blocking("handling signals", Handlers::install).and_then(|handlers| {
        let build = || Builder::new_current_thread().enable_all().build();
        Ok((handlers, persistently_blocking("making the event loop", build)?))
    });
    let result = result
        .map_err(StartError::System)
        .and_then(|(handlers, runtime)| LocalSet::new().block_on(&runtime, run(handlers)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(%error, "cannot start");
            ExitCode::FAILURE
        }
    }
}
