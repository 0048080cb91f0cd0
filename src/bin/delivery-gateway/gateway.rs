//! The gateway's service: creates its parts, restores its state, and serves until the process may exit after a
//! shutdown request.

use delivery_gateway::discovery::{AgentAddress, DiscoveryUpdate, EndpointWatch};
use delivery_gateway::socket::retry_transient;
use delivery_gateway::ParsedSettings;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::{watch, AcquireError, OwnedSemaphorePermit, Semaphore};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

use crate::background::BackgroundTasks;
use crate::budget::ResourceBudget;
use crate::config::{Config, Environment};
use crate::event_loop::EventLoop;
use crate::events::{Channels, GatewayEvent, ReloadReason, ReloadRequests, ServicePhase};
use crate::handover::{
    HandedOver, HandedOverState, HandoverListener, HandoverResult, SuccessorConnection, CALL_DRAIN_TIMEOUT,
};
use crate::journal::Journal;
use crate::listener;
use crate::ownership::Ownership;
use crate::reload::ConfigurationReloader;
use crate::resp2::{ClientServer, TransferredConnection};
use crate::start_error::StartError;

/// The maximum time to wait for the batch of notifications in flight, and then for clients' connections, before a
/// handover. Both waits together are shorter than the 400 ms for which clients wait for a reply. A connection that is
/// not transferred in time usually has a client that doesn't read. It may also be a new connection to a lame duck,
/// which has up to 400 ms for its first request.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(100);
/// The interval between checks whether the last call has ended.
const CALLS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The parameters from which each event loop of this process is created. The journal is opened anew for each, and
/// [`EventLoop::recover`] gets the configured endpoint list.
struct EventLoopParameters {
    parsed: ParsedSettings,
    seed: u64,
    endpoint_sockets: usize,
    disk_bytes: u64,
    state_folder: PathBuf,
    channels: Channels,
}

impl EventLoopParameters {
    async fn create_event_loop(&self) -> Result<EventLoop, StartError> {
        let open_journal =
            || async { Ok::<_, StartError>(Journal::open(&self.state_folder, self.disk_bytes)?) };
        let journal = retry_transient("opening the journal", open_journal).await?;
        let channels = self.channels.clone();
        Ok(EventLoop::new(self.parsed.clone(), self.seed, journal, self.endpoint_sockets, channels))
    }
}

/// The gateway's service: the parts that a handover concerns, and the parameters to create the event loop again.
pub struct Gateway {
    event_loop: EventLoop,
    events: UnboundedReceiver<GatewayEvent>,
    parameters: EventLoopParameters,
    clients: ClientServer,
    /// Clients' connections to be transferred to the successor.
    transferred: UnboundedReceiver<TransferredConnection>,
    /// Its single permit is held while a batch of notifications is sent. A handover takes it.
    notification_gate: Arc<Semaphore>,
    agent: AgentAddress,
    reload: ReloadRequests,
    /// Requests to watch the endpoint list again.
    watch_requests: watch::Receiver<()>,
    configured_endpoints: DiscoveryUpdate,
    initial_watch_delay: Duration,
    ownership: Ownership,
}

/// The tasks that accept clients' connections and watch the endpoint list while this process is in service.
struct Intake {
    accepting: JoinHandle<TcpListener>,
    watching: JoinHandle<()>,
}

/// The service during a handover: it accepts no connections and starts no batch of notifications.
struct Paused {
    listener: TcpListener,
    /// The phase before the handover.
    phase: ServicePhase,
    _gate: ClosedGate,
}

/// Blocks further batches of notifications: none is sent until it is dropped. A batch in flight is still sent to its
/// end, after a 400 with one request for each notification. If it fails, its retry waits as well.
struct ClosedGate {
    closing: JoinHandle<Result<OwnedSemaphorePermit, AcquireError>>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl Drop for ClosedGate {
    fn drop(&mut self) {
        self.closing.abort();
    }
}

impl Gateway {
    /// Creates the parts. This process must own the state folder. Also returns the background tasks, which the caller
    /// has to spawn.
    ///
    /// # Errors
    /// The journal cannot be opened.
    pub async fn assemble(
        config: Config,
        parsed: ParsedSettings,
        environment: Environment,
        ownership: Ownership,
    ) -> Result<(Self, BackgroundTasks), StartError> {
        let (events_in, events) = mpsc::unbounded_channel();
        let (notifications_in, notifications) = mpsc::unbounded_channel();
        let (phase_in, phase) = watch::channel(ServicePhase::Serving);
        let (watch_in, watch_requests) = watch::channel(());
        let (transferred_in, transferred) = mpsc::unbounded_channel();
        let (open_requests_in, open_requests) = watch::channel(0);
        let (discovery_address, agent) = watch::channel(config.discovery_address.clone());
        let (reloader, reload) =
            ConfigurationReloader::new(environment.config_path, discovery_address, events_in.clone());
        let notification_gate = Arc::new(Semaphore::new(1));
        let budget = ResourceBudget::new(&config.limits, parsed.settings.max_in_flight_calls);
        let parameters = EventLoopParameters {
            parsed,
            seed: config.seed(),
            endpoint_sockets: budget.endpoint_sockets,
            disk_bytes: config.limits.disk_bytes(),
            state_folder: environment.state_folder,
            channels: Channels {
                events: events_in.clone(),
                notifications: notifications_in,
                watch: watch_in,
                phase: phase_in,
                open_requests,
            },
        };
        let clients = ClientServer::new(
            budget.clients,
            events_in.clone(),
            phase.clone(),
            transferred_in,
            open_requests_in,
        );
        let gateway = Gateway {
            event_loop: parameters.create_event_loop().await?,
            events,
            clients,
            parameters,
            transferred,
            notification_gate: notification_gate.clone(),
            agent: agent.clone(),
            reload: reload.clone(),
            watch_requests,
            configured_endpoints: config.endpoints,
            initial_watch_delay: Duration::ZERO,
            ownership,
        };
        let background = BackgroundTasks {
            events: events_in,
            notifications,
            notification_gate,
            phase,
            agent,
            reloader,
            reload,
        };
        Ok((gateway, background))
    }

    /// Restores the state from the journal or from the predecessor, and returns the listener for clients. No client
    /// connection is accepted before all accepted messages have been restored.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn restore(
        &mut self,
        handed_over: Option<HandedOver>,
        listen_address: &str,
    ) -> Result<TcpListener, StartError> {
        let Some(HandedOver { state, listener, lock, predecessor }) = handed_over else {
            self.initial_watch_delay = self.event_loop.initial_watch_delay();
            self.event_loop.recover(&self.configured_endpoints);
            return Ok(listener::bind(listen_address).await?.0);
        };
        self.ownership.lock = lock;
        match state {
            HandedOverState::Snapshot(snapshot) => {
                self.event_loop.resume_from(*snapshot, predecessor.call_canceller())
            }
            HandedOverState::Constraints(constraints) => {
                self.event_loop.recover(&self.configured_endpoints);
                self.event_loop.apply_constraints(constraints);
            }
        }
        let events = self.parameters.channels.events.clone();
        spawn_local(predecessor.follow(events, self.clients.clone(), self.reload.clone()));
        Ok(listener)
    }

    /// Serves until the process may exit after a shutdown request. After another process has taken over, relays to it
    /// until then, and serves again if that process ends first.
    ///
    /// # Errors
    /// The task that accepts connections has failed, or the journal cannot be opened again after a handover that
    /// failed.
    pub async fn serve(mut self, mut listener: TcpListener) -> Result<(), StartError> {
        loop {
            self.reload.request(ReloadReason::EnteringService);
            let intake = self.start_intake(listener);
            let handovers = self.ownership.listen_for_successor();
            let Some(successor) = self.run_until_handover_request(&handovers).await else {
                self.end_service(intake).await;
                return Ok(());
            };
            if !successor.has_same_fingerprint && self.drain_calls().await.is_none() {
                self.end_service(intake).await;
                return Ok(());
            }
            let paused = self.pause(intake).await?;
            match self.hand_over(successor, &paused.listener).await {
                HandoverResult::Completed => return Ok(()),
                HandoverResult::Refused => self.event_loop.resume_phase(paused.phase),
                HandoverResult::Reverted(retained_events) => {
                    self.resume_service(retained_events).await?;
                    self.event_loop.resume_phase(paused.phase);
                }
            }
            while let Ok(connection) = self.transferred.try_recv() {
                self.clients.adopt(connection);
            }
            listener = paused.listener;
        }
    }

    fn start_intake(&mut self, listener: TcpListener) -> Intake {
        let accepting = spawn_local(self.clients.clone().serve(listener));
        let watch = EndpointWatch {
            agent: self.agent.clone(),
            revision: self.event_loop.endpoints_revision(),
            reconnect: self.watch_requests.clone(),
        };
        let delay = std::mem::take(&mut self.initial_watch_delay);
        let events = self.parameters.channels.events.clone();
        let report = move |event| drop(events.send(GatewayEvent::Discovery(event)));
        Intake { accepting, watching: spawn_local(watch.run(delay, report)) }
    }

    /// Runs until another process asks for the handover and may get it. None if this process may exit first. Refuses
    /// the handover while this process shuts down, or while the journal is not flushed.
    async fn run_until_handover_request(
        &mut self,
        handovers: &HandoverListener,
    ) -> Option<SuccessorConnection> {
        loop {
            let successor = tokio::select! {
                () = self.event_loop.run(&mut self.events) => return None,
                successor = handovers.next_successor(self.ownership.fingerprint) => successor,
            };
            let is_ending = *self.parameters.channels.phase.borrow() == ServicePhase::ShuttingDown;
            if !is_ending && self.event_loop.journal_is_flushed() {
                return Some(successor);
            }
            successor.refuse().await;
        }
    }

    /// Runs until no call is in flight, for at most [`CALL_DRAIN_TIMEOUT`]. None if the process may exit first.
    async fn drain_calls(&mut self) -> Option<()> {
        info!("finishing calls before the handover: the successor cannot continue them");
        self.event_loop.stop_starting_calls();
        let end = Instant::now() + CALL_DRAIN_TIMEOUT;
        while self.event_loop.has_calls_in_flight() && Instant::now() < end {
            tokio::select! {
                () = self.event_loop.run(&mut self.events) => return None,
                () = sleep(CALLS_POLL_INTERVAL) => {}
            }
        }
        Some(())
    }

    /// Stops the intake. Each connection is transferred once the complete requests that were read from it have been
    /// answered. A partly received request goes to the successor with its connection. The process does not exit
    /// meanwhile, even after a shutdown request: the transferred connections would be closed.
    async fn pause(&mut self, intake: Intake) -> Result<Paused, StartError> {
        let phase = self.parameters.channels.phase.send_replace(ServicePhase::HandingOver);
        intake.watching.abort();
        let mut closing = spawn_local(self.notification_gate.clone().acquire_owned());
        let paused = async {
            let listener = intake.accepting.await;
            let permit = timeout(PAUSE_TIMEOUT, &mut closing).await;
            let _ = timeout(PAUSE_TIMEOUT, self.clients.all_transferred_or_closed()).await;
            (listener, permit)
        };
        let (listener, permit) = tokio::select! {
            paused = paused => paused,
            () = self.event_loop.run_on(&mut self.events) => unreachable!("the event loop runs on"),
        };
        let listener = listener.map_err(io::Error::other).map_err(StartError::system("stop accepting"))?;
        let permit = permit.ok().and_then(Result::ok).and_then(Result::ok);
        Ok(Paused { listener, phase, _gate: ClosedGate { closing, _permit: permit } })
    }

    /// Closes clients' connections, and those in the listener's queue, before the process exits.
    async fn end_service(&mut self, intake: Intake) {
        let clients = self.clients.clone();
        let closed = async {
            // The listener is closed as soon as its queue is empty.
            drop(intake.accepting.await);
            clients.all_transferred_or_closed().await;
        };
        self.event_loop.end_service(&mut self.events, closed).await;
    }

    /// Hands the service over, unless the journal lacks records that the successor needs. For a successor with the same
    /// fingerprint, this process finishes the calls in flight. For any other successor, it aborts them first.
    async fn hand_over(&mut self, successor: SuccessorConnection, listener: &TcpListener) -> HandoverResult {
        self.event_loop.process_queued(&mut self.events);
        if !successor.has_same_fingerprint {
            self.event_loop.abort_calls(&mut self.events).await;
        }
        if !self.event_loop.journal_is_flushed() {
            successor.refuse().await;
            return HandoverResult::Refused;
        }
        let Gateway { event_loop, events, transferred, ownership, .. } = self;
        successor.hand_over(event_loop, events, transferred, listener, &ownership.lock).await
    }

    /// Resumes service after the handover failed or the successor has ended. `retained_events` are the events of the
    /// meantime that this process must handle itself if the journal is untouched.
    async fn resume_service(&mut self, retained_events: Vec<GatewayEvent>) -> Result<(), StartError> {
        let journal_untouched = self.event_loop.journal_is_untouched();
        warn!(journal_untouched, "the successor ended, or the handover failed: resuming service");
        if journal_untouched {
            self.event_loop.resume_idle_connections();
            retained_events.into_iter().for_each(|event| self.event_loop.handle(event));
        } else {
            // The successor's decisions and attempts, if any, are only in the journal.
            self.event_loop.abandon_calls(&mut self.events).await;
            self.event_loop = self.parameters.create_event_loop().await?;
            self.event_loop.recover(&self.configured_endpoints);
        }
        Ok(())
    }
}
