//! The gateway's service: its parts are put together, its state is restored, and it serves until the process is to
//! end or another process has taken over.

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
use crate::config::Config;
use crate::event_loop::EventLoop;
use crate::events::{Channels, GatewayEvent, ServicePhase};
use crate::handover::{
    HandedOver, HandedOverState, HandoverListener, HandoverResult, SuccessorConnection, CALL_DRAIN_TIMEOUT,
};
use crate::journal::Journal;
use crate::listener;
use crate::ownership::Ownership;
use crate::resp2::{ClientServer, TransferredConnection};
use crate::start_error::StartError;

/// How long clients' connections and notifications may take to come to a point at which they can be handed over.
/// Clients wait 400 ms for a reply; one that takes longer does not read.
const PAUSE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often it is looked whether the last call has ended.
const CALLS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What an event loop is made of that the journal and the endpoint list do not tell.
struct EventLoopPlan {
    parsed: ParsedSettings,
    seed: u64,
    endpoint_sockets: usize,
    disk_bytes: u64,
    state_folder: PathBuf,
    channels: Channels,
}

impl EventLoopPlan {
    async fn make(&self) -> Result<EventLoop, StartError> {
        let open = || async { Ok::<_, StartError>(Journal::open(&self.state_folder, self.disk_bytes)?) };
        let journal = retry_transient("opening the journal", open).await?;
        let channels = self.channels.clone();
        Ok(EventLoop::new(self.parsed.clone(), self.seed, journal, self.endpoint_sockets, channels))
    }
}

/// The parts that a handover concerns, and what they are made of.
pub struct Gateway {
    event_loop: EventLoop,
    events: UnboundedReceiver<GatewayEvent>,
    plan: EventLoopPlan,
    clients: ClientServer,
    /// Clients' connections that another process is to serve.
    transferred: UnboundedReceiver<TransferredConnection>,
    /// Notifications are sent while its one permit is free.
    notification_gate: Arc<Semaphore>,
    agent: AgentAddress,
    /// Asks for the endpoint list to be watched again.
    watch_requests: watch::Receiver<()>,
    configured_endpoints: DiscoveryUpdate,
    initial_watch_delay: Duration,
    ownership: Ownership,
}

/// The tasks that bring in work while this process is in service.
struct Intake {
    accepting: JoinHandle<TcpListener>,
    watching: JoinHandle<()>,
}

/// The service while it is handed over: no connections are accepted and no notifications sent.
struct Paused {
    listener: TcpListener,
    /// The phase before.
    phase: ServicePhase,
    _gate: ClosedGate,
}

/// Keeps notifications from being sent until it is dropped, once the one on its way is answered.
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
    /// Puts the parts together; the state folder must be this process's own. Gives the tasks that run beside them,
    /// which are yet to be spawned.
    ///
    /// # Errors
    /// The journal cannot be opened.
    pub async fn assemble(
        config: Config,
        parsed: ParsedSettings,
        state_folder: PathBuf,
        ownership: Ownership,
    ) -> Result<(Self, BackgroundTasks), StartError> {
        let (events_in, events) = mpsc::unbounded_channel();
        let (notifications_in, notifications) = mpsc::unbounded_channel();
        let (phase_in, phase) = watch::channel(ServicePhase::Serving);
        let (watch_in, watch_requests) = watch::channel(());
        let (transferred_in, transferred) = mpsc::unbounded_channel();
        let (discovery_address, agent) = watch::channel(config.discovery_address.clone());
        let notification_gate = Arc::new(Semaphore::new(1));
        let budget = ResourceBudget::new(&config.limits, parsed.settings.max_in_flight_calls);
        let plan = EventLoopPlan {
            parsed,
            seed: config.seed(),
            endpoint_sockets: budget.endpoint_sockets,
            disk_bytes: config.limits.disk_bytes(),
            state_folder,
            channels: Channels {
                events: events_in.clone(),
                notifications: notifications_in,
                watch: watch_in,
                phase: phase_in,
            },
        };
        let gateway = Gateway {
            event_loop: plan.make().await?,
            events,
            clients: ClientServer::new(budget.clients, events_in.clone(), phase.clone(), transferred_in),
            plan,
            transferred,
            notification_gate: notification_gate.clone(),
            agent: agent.clone(),
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
            discovery_address,
        };
        Ok((gateway, background))
    }

    /// Restores the state, from the journal or from what another process has handed over, and gives the listener for
    /// clients. They connect only once all that was accepted before has been restored.
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
        spawn_local(predecessor.follow(self.plan.channels.events.clone(), self.clients.clone()));
        Ok(listener)
    }

    /// Serves until the process is to end, or another process has taken over.
    ///
    /// # Errors
    /// The state could not be restored after a handover that failed.
    pub async fn serve(mut self, mut listener: TcpListener) -> Result<(), StartError> {
        loop {
            let intake = self.start_intake(listener);
            let offer = self.ownership.offer();
            let Some(successor) = self.run_until_asked(&offer).await else { return Ok(()) };
            if !successor.shares_state && self.finish_calls().await.is_none() {
                return Ok(());
            }
            let Some(paused) = self.pause(intake).await? else { return Ok(()) };
            match self.hand_over(successor, &paused.listener).await {
                HandoverResult::Completed => return Ok(()),
                HandoverResult::Refused => self.event_loop.resume_phase(paused.phase),
                HandoverResult::Reverted(missed) => {
                    self.take_back(missed).await?;
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
        let events = self.plan.channels.events.clone();
        let report = move |event| drop(events.send(GatewayEvent::Discovery(event)));
        Intake { accepting, watching: spawn_local(watch.run(delay, report)) }
    }

    /// Runs until a process that may have it asks for the service; none once the process is to end.
    async fn run_until_asked(&mut self, offer: &HandoverListener) -> Option<SuccessorConnection> {
        loop {
            let successor = tokio::select! {
                () = self.event_loop.run(&mut self.events) => return None,
                successor = offer.next_successor(self.ownership.fingerprint) => successor,
            };
            let is_ending = *self.plan.channels.phase.borrow() == ServicePhase::ShuttingDown;
            if !is_ending && self.event_loop.journal_is_flushed() {
                return Some(successor);
            }
            successor.refuse().await;
        }
    }

    /// Runs until no call is in flight, for [`CALL_DRAIN_TIMEOUT`] at most; none if the process is to end meanwhile.
    async fn finish_calls(&mut self) -> Option<()> {
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

    /// Stops the intake. Connections go to be transferred once the request that each may have open is answered. None if
    /// the process is to end meanwhile.
    async fn pause(&mut self, intake: Intake) -> Result<Option<Paused>, StartError> {
        let phase = self.plan.channels.phase.send_replace(ServicePhase::HandingOver);
        intake.watching.abort();
        let mut closing = spawn_local(self.notification_gate.clone().acquire_owned());
        let paused = async {
            let listener = intake.accepting.await;
            let permit = timeout(PAUSE_TIMEOUT, &mut closing).await;
            let _ = timeout(PAUSE_TIMEOUT, self.clients.all_transferred()).await;
            (listener, permit)
        };
        let (listener, permit) = tokio::select! {
            () = self.event_loop.run(&mut self.events) => return Ok(None),
            paused = paused => paused,
        };
        let listener = listener.map_err(io::Error::other).map_err(StartError::system("stop accepting"))?;
        let permit = permit.ok().and_then(Result::ok).and_then(Result::ok);
        Ok(Some(Paused { listener, phase, _gate: ClosedGate { closing, _permit: permit } }))
    }

    /// Hands the service over, unless the journal lacks what the successor would need. Calls in flight are finished
    /// here for a successor of the same fingerprint, and aborted before for any other.
    async fn hand_over(&mut self, successor: SuccessorConnection, listener: &TcpListener) -> HandoverResult {
        self.event_loop.process_queued(&mut self.events);
        if !successor.shares_state {
            self.event_loop.abort_calls(&mut self.events).await;
        }
        if !self.event_loop.journal_is_flushed() {
            successor.refuse().await;
            return HandoverResult::Refused;
        }
        let Gateway { event_loop, events, transferred, ownership, .. } = self;
        successor.hand_over(event_loop, events, transferred, listener, &ownership.lock).await
    }

    /// Takes the service back from a successor that ended before it was in service. `missed` is what happened here
    /// meanwhile.
    async fn take_back(&mut self, missed: Vec<GatewayEvent>) -> Result<(), StartError> {
        let journal_untouched = self.event_loop.journal_is_untouched();
        warn!(journal_untouched, "the successor ended before it was in service: resuming service");
        if journal_untouched {
            self.event_loop.resume_idle_connections();
            missed.into_iter().for_each(|event| self.event_loop.handle(event));
        } else {
            // What the other process did is in the journal alone, and so is what may have run there.
            self.event_loop.abandon_calls(&mut self.events).await;
            self.event_loop = self.plan.make().await?;
            self.event_loop.recover(&self.configured_endpoints);
        }
        Ok(())
    }
}
