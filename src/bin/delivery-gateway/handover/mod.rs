//! The hand-over of the courier from one process to the next: who owns it, and what goes from one to the other over
//! a local socket, descriptors included. What is decided is decided by the one process that owns the courier.

use bytes::Bytes;
use delivery_gateway::socket::is_momentary;
use delivery_gateway::{AttemptOutcome, EndpointId, MessageId, ParsedSettings};
use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, shutdown, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, Shutdown,
};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::cell::{OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tracing::{info, warn};

use crate::event_loop::{CarriedOverConstraints, EventLoop, HandoverSnapshot};
use crate::events::{
    AdminOperation, AdminResult, AttemptResult, CallResult, EnqueueReply, GatewayEvent, StopReason,
};
use crate::resp2::{ClientServer, TransferredConnection};

/// To be raised with every change to what goes over the socket.
const FORMAT: u32 = 1;
/// What the module's memory looks like is said by these; it is passed on only to a process built from the same.
const MEMORY: [&str; 15] = [
    include_str!("../clock.rs"),
    include_str!("../../../scheduler/admission.rs"),
    include_str!("../../../scheduler/backoff.rs"),
    include_str!("../../../scheduler/connection_reuse.rs"),
    include_str!("../../../scheduler/derived_settings.rs"),
    include_str!("../../../scheduler/maintenance.rs"),
    include_str!("../../../scheduler/mod.rs"),
    include_str!("../../../scheduler/operators.rs"),
    include_str!("../../../scheduler/quota.rs"),
    include_str!("../../../scheduler/reports.rs"),
    include_str!("../../../scheduler/state/mod.rs"),
    include_str!("../../../scheduler/state/queue.rs"),
    include_str!("../../../scheduler/state/ready_index.rs"),
    include_str!("../../../scheduler/watch_backoff.rs"),
    include_str!("../../../model/mod.rs"),
];
/// The other process is on this machine: what it does not say in this time it will not say.
const ANSWER: Duration = Duration::from_secs(1);
/// Calls may take so long to end before a hand-over to a process that cannot go on with them; its yes is due
/// within 6 s.
pub const FINISH: Duration = Duration::from_millis(2500);
/// Between tries to become the owner.
const AGAIN: Duration = Duration::from_millis(20);
/// Between tries to make the socket at which other processes ask.
const OFFER_AGAIN: Duration = Duration::from_secs(1);
/// From the end of a process until its calls are taken for broken: all its connections are closed by then.
const GONE: Duration = Duration::from_millis(50);
/// What still goes over the socket when the old process ends.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// Longest frame; the module's memory takes a few hundred bytes a message.
const LONGEST: usize = 16 << 20;
/// Length and number of descriptors before each frame.
const FRAME: usize = 5;
const READ: usize = 64 << 10;

/// What the new process says.
#[derive(Serialize, Deserialize)]
enum ToPredecessor {
    /// It wants the courier, speaks this format, and has this kind of memory.
    Hello(u32, u32),
    /// A call is to be ended, named by one of its messages.
    CancelCall(MessageId, StopReason),
    /// What became of a call of the operators.
    AdminResult(u64, AdminResult),
}

/// What the old process says.
#[derive(Serialize, Deserialize)]
enum ToSuccessor {
    No,
    /// The courier is yours: its memory if you share it, the rules if not, and as descriptors the listener and
    /// the lock.
    Begin(Result<Vec<u8>, CarriedOverConstraints>),
    /// A client's connection, as a descriptor.
    Client {
        buffer: Bytes,
        served: bool,
        left: Duration,
    },
    CallEnded(EndpointId, Vec<MessageId>, CallResult),
    /// A client never heard that its message was taken on.
    Unheard(MessageId),
    /// A call of the operators that came to the old door.
    Operate(u64, AdminOperation),
}

/// The kind of memory that a process has: both must mean the same by each number of a class, a tenant, a kind and
/// a zone.
pub fn memory(parsed: &ParsedSettings) -> u32 {
    let names = (&parsed.class_names, &parsed.tenant_names, &parsed.kind_names, &parsed.zone_names);
    crc32fast::hash(format!("{MEMORY:?} {names:?}").as_bytes())
}

/// The file whose lock the owner of a folder holds.
pub fn lock_file(folder: &Path) -> io::Result<File> {
    OpenOptions::new().write(true).create(true).truncate(false).open(folder.join("lock"))
}

/// Where the owner of a folder can be asked for the courier: in the folder for short-lived files, under a name for
/// this folder.
pub fn socket_path(folder: &Path) -> PathBuf {
    let folder = folder.canonicalize().unwrap_or_else(|_| folder.to_owned());
    let name = crc32fast::hash(folder.as_os_str().as_encoded_bytes());
    std::env::temp_dir().join(format!("gullcart-{name:08x}.sock"))
}

/// One side of the socket between two processes.
struct Reader {
    stream: Rc<UnixStream>,
    buffer: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
    /// Some did not arrive, as this process may hold no more: nobody waits for them.
    cut: bool,
}

type Frames = UnboundedSender<(Vec<u8>, Vec<OwnedFd>)>;

/// Writes frames in their order, apart from who reads: two that wait for each other to read would wait for ever.
struct Writer {
    frames: Frames,
    task: JoinHandle<()>,
}

impl Writer {
    fn new(stream: Rc<UnixStream>) -> Self {
        let (frames, mut queue) = unbounded_channel::<(Vec<u8>, Vec<OwnedFd>)>();
        let task = tokio::task::spawn_local(async move {
            while let Some((bytes, descriptors)) = queue.recv().await {
                if let Err(error) = write(&stream, &bytes, descriptors).await {
                    warn!(%error, "the other process cannot be told any more");
                    // Who reads, on either side, sees the end.
                    let _ = shutdown(&stream, Shutdown::Both);
                    return;
                }
            }
        });
        Writer { frames, task }
    }

    /// Waits until all is written.
    async fn finish(self) {
        drop(self.frames);
        let _ = timeout(LAST_WORDS, self.task).await;
    }
}

fn say(frames: &Frames, word: &impl Serialize, descriptors: Vec<OwnedFd>) {
    match postcard::to_stdvec(word) {
        Ok(payload) => {
            let mut bytes = Vec::with_capacity(FRAME + payload.len());
            bytes.extend((payload.len() as u32).to_le_bytes());
            bytes.push(descriptors.len() as u8);
            bytes.extend(payload);
            let _ = frames.send((bytes, descriptors));
        }
        Err(error) => warn!(%error, "a word to the other process cannot be written"),
    }
}

/// Descriptors travel with the first byte of their frame.
async fn write(stream: &UnixStream, mut bytes: &[u8], mut descriptors: Vec<OwnedFd>) -> io::Result<()> {
    while !bytes.is_empty() {
        let count = stream
            .async_io(Interest::WRITABLE, || {
                let borrowed: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !borrowed.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&borrowed)) {
                    return Err(io::Error::other("too many descriptors"));
                }
                let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
                Ok(retry_on_intr(|| sendmsg(stream, &[IoSlice::new(bytes)], &mut control, flags))?)
            })
            .await;
        let count = match count {
            // Short of memory: nothing of it went.
            Err(error) if is_momentary(&error) => {
                sleep(AGAIN).await;
                continue;
            }
            count => count?,
        };
        descriptors.clear();
        bytes = &bytes[count..];
    }
    Ok(())
}

impl Reader {
    fn new(stream: Rc<UnixStream>) -> Self {
        Reader { stream, buffer: Vec::new(), descriptors: VecDeque::new(), cut: false }
    }

    /// The next word and its descriptors; none once the other process has gone.
    async fn next<W: DeserializeOwned>(&mut self) -> Option<(W, Vec<OwnedFd>)> {
        loop {
            if let Some(head) = self.buffer.first_chunk::<FRAME>() {
                let [a, b, c, d, count] = *head;
                let (length, count) = (u32::from_le_bytes([a, b, c, d]) as usize, usize::from(count));
                if length > LONGEST {
                    return None;
                }
                let count = if self.cut { count.min(self.descriptors.len()) } else { count };
                if self.buffer.len() >= FRAME + length && self.descriptors.len() >= count {
                    let word = postcard::from_bytes(&self.buffer[FRAME..FRAME + length]).ok()?;
                    self.buffer.drain(..FRAME + length);
                    return Some((word, self.descriptors.drain(..count).collect()));
                }
            }
            let Reader { stream, buffer, descriptors, cut } = self;
            let stream = &*stream;
            let read = stream.async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut bytes = vec![0; READ];
                let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
                let got = retry_on_intr(|| {
                    recvmsg(stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, flags)
                })?;
                *cut |= got.flags.contains(ReturnFlags::CTRUNC);
                for message in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(more) = message {
                        descriptors.extend(more);
                    }
                }
                buffer.extend_from_slice(&bytes[..got.bytes]);
                Ok(got.bytes)
            });
            match read.await {
                Ok(1..) => {}
                Err(error) if is_momentary(&error) => sleep(AGAIN).await,
                Ok(0) | Err(_) => return None,
            }
        }
    }
}

// ---- The new process ----

/// What the old process gave.
pub struct HandedOver {
    /// Its memory, or the rules alone where this process has another kind.
    pub memory: Result<HandoverSnapshot, CarriedOverConstraints>,
    pub listener: TcpListener,
    pub lock: File,
    pub old: Predecessor,
}

/// The process that had the courier before, as long as it has calls out for it.
pub struct Predecessor {
    reader: Reader,
    writer: Writer,
    /// Its calls, by their messages, and where they went.
    away: Rc<RefCell<HashMap<MessageId, EndpointId>>>,
}

/// Becomes the owner of the folder: at once if nobody is, else as soon as the owner hands it over or ends.
pub async fn own(lock: &File, socket: &Path, memory: u32) -> io::Result<Option<HandedOver>> {
    let mut waiting = false;
    loop {
        match lock.try_lock() {
            Ok(()) => return Ok(None),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(error)) if is_momentary(&error) => {
                sleep(AGAIN).await;
                continue;
            }
            Err(TryLockError::Error(error)) => return Err(error),
        }
        match ask(socket, memory).await {
            Ok((Some((memory, descriptors)), reader, writer)) => {
                // What fails from here on fails again: the owner sees this process end, and goes on.
                return begin(memory, descriptors, reader, writer).map(Some);
            }
            Ok(_) => {}
            Err(error) if !waiting => {
                info!(%error, "another process has the courier, and does not hand it over yet");
                waiting = true;
            }
            Err(_) => {}
        }
        sleep(AGAIN).await;
    }
}

type Asked = Option<(Result<Vec<u8>, CarriedOverConstraints>, Vec<OwnedFd>)>;

async fn ask(socket: &Path, memory: u32) -> io::Result<(Asked, Reader, Writer)> {
    let stream = Rc::new(UnixStream::connect(socket).await?);
    let (mut reader, writer) = (Reader::new(stream.clone()), Writer::new(stream));
    say(&writer.frames, &ToPredecessor::Hello(FORMAT, memory), Vec::new());
    match timeout(FINISH + ANSWER, reader.next()).await? {
        Some((ToSuccessor::Begin(memory), descriptors)) => Ok((Some((memory, descriptors)), reader, writer)),
        Some(_) => Err(io::Error::other("refused")),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn begin(
    memory: Result<Vec<u8>, CarriedOverConstraints>,
    descriptors: Vec<OwnedFd>,
    reader: Reader,
    writer: Writer,
) -> io::Result<HandedOver> {
    let mut descriptors = descriptors.into_iter();
    let (Some(listener), Some(lock)) = (descriptors.next(), descriptors.next()) else {
        return Err(io::Error::other("descriptors are missing"));
    };
    let memory = match memory {
        Ok(bytes) => Ok(postcard::from_bytes::<HandoverSnapshot>(&bytes).map_err(io::Error::other)?),
        Err(carried_over_constraints) => Err(carried_over_constraints),
    };
    let away = memory.iter().flat_map(HandoverSnapshot::away);
    let away = away.flat_map(|(to, messages)| messages.into_iter().map(move |m| (m, to))).collect();
    let listener = TcpListener::from_std(listener.into())?;
    let old = Predecessor { reader, writer, away: Rc::new(RefCell::new(away)) };
    Ok(HandedOver { memory, listener, lock: lock.into(), old })
}

impl Predecessor {
    /// Tells it to end a call.
    pub fn stop(&self) -> impl Fn(MessageId, StopReason) + Clone + 'static {
        let frames = self.writer.frames.clone();
        move |message, reason| say(&frames, &ToPredecessor::CancelCall(message, reason), Vec::new())
    }

    /// Takes over what the old process still has until it has gone. What was out there then may have run.
    pub async fn follow(mut self, inputs: UnboundedSender<GatewayEvent>, clients: ClientServer) {
        while let Some((word, descriptors)) = self.reader.next().await {
            match word {
                ToSuccessor::Client { buffer, served, left } => {
                    for stream in descriptors {
                        match TcpStream::from_std(stream.into()) {
                            Ok(stream) => {
                                let (buffer, waited) = (buffer.clone(), Duration::ZERO);
                                clients.adopt(TransferredConnection { stream, buffer, served, left, waited });
                            }
                            Err(error) => warn!(%error, "a client's connection did not come over"),
                        }
                    }
                }
                ToSuccessor::CallEnded(endpoint, messages, ended) => {
                    self.away.borrow_mut().retain(|message, _| !messages.contains(message));
                    let _ = inputs.send(GatewayEvent::CallEnded { endpoint, messages, result: ended });
                }
                ToSuccessor::Unheard(message) => {
                    drop(inputs.send(GatewayEvent::AcceptanceNotReceived(message)))
                }
                ToSuccessor::Operate(number, operation) => {
                    let (done, answer) = oneshot::channel();
                    let _ = inputs.send(GatewayEvent::Admin(operation, done));
                    let frames = self.writer.frames.clone();
                    tokio::task::spawn_local(async move {
                        if let Ok(done) = answer.await {
                            say(&frames, &ToPredecessor::AdminResult(number, done), Vec::new());
                        }
                    });
                }
                ToSuccessor::No | ToSuccessor::Begin(_) => {}
            }
        }
        sleep(GONE).await;
        let broken = self.away.take();
        info!(broken = broken.len(), "the process before has gone");
        for (message, endpoint) in broken {
            let (outcome, latency) = (AttemptOutcome::Reset, Duration::ZERO);
            let each = vec![AttemptResult { outcome, latency, complete: false, load_report: None }];
            let _ = inputs.send(GatewayEvent::CallEnded {
                endpoint,
                messages: vec![message],
                result: CallResult { attempts: each, retry_after: None },
            });
        }
    }
}

// ---- The old process ----

/// Where another process may ask for the courier.
pub struct HandoverListener {
    path: PathBuf,
    listener: OnceCell<UnixListener>,
}

/// Another process that wants the courier.
pub struct Successor {
    /// It can go on with the module's memory, and with calls that are out here.
    pub shares_memory: bool,
    reader: Reader,
    writer: Writer,
}

/// How a hand-over ended for the process that handed over.
pub enum HandoverResult {
    /// It was not handed over: this process goes on, and the other one asks again.
    Refused,
    /// This process is done.
    Completed,
    /// The other one has gone before this one was told to end; what happened here meanwhile.
    TakenBack(Vec<GatewayEvent>),
}

impl HandoverListener {
    /// A courier that cannot be asked serves all the same; it is tried again.
    pub fn new(path: &Path) -> Self {
        let offer = HandoverListener { path: path.to_owned(), listener: OnceCell::new() };
        if let Err(error) = offer.listen() {
            warn!(%error, ?path, "no hand-over is possible");
        }
        offer
    }

    fn listen(&self) -> io::Result<()> {
        match fs::remove_file(&self.path) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let _ = self.listener.set(UnixListener::bind(&self.path)?);
        Ok(())
    }

    async fn listener(&self) -> &UnixListener {
        loop {
            if let Some(listener) = self.listener.get() {
                return listener;
            }
            sleep(OFFER_AGAIN).await;
            let _ = self.listen();
        }
    }

    /// Waits for a process that wants the courier.
    pub async fn asked(&self, memory: u32) -> Successor {
        let listener = self.listener().await;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(AGAIN).await;
                continue;
            };
            let stream = Rc::new(stream);
            let (mut reader, writer) = (Reader::new(stream.clone()), Writer::new(stream));
            match timeout(ANSWER, reader.next()).await {
                Ok(Some((ToPredecessor::Hello(FORMAT, other), _))) => {
                    return Successor { shares_memory: other == memory, reader, writer };
                }
                Ok(Some(_)) => {
                    warn!("another process wants the courier, in words that this one does not know");
                    Successor { shares_memory: false, reader, writer }.refuse().await;
                }
                Ok(None) | Err(_) => {}
            }
        }
    }
}

impl Successor {
    pub async fn refuse(self) {
        say(&self.writer.frames, &ToSuccessor::No, Vec::new());
        self.writer.finish().await;
    }

    /// Hands the courier over, and serves the other process with the calls that are out here until this one ends.
    /// The driver must have been drained, and decides nothing meanwhile.
    pub async fn give(
        mut self,
        driver: &mut EventLoop,
        events: &mut UnboundedReceiver<GatewayEvent>,
        moved: &mut UnboundedReceiver<TransferredConnection>,
        listener: &TcpListener,
        lock: &File,
    ) -> HandoverResult {
        let descriptors =
            || Ok::<_, io::Error>(vec![listener.as_fd().try_clone_to_owned()?, lock.try_clone()?.into()]);
        let memory = match self.shares_memory {
            true => driver.handover_snapshot().map(Ok).map_err(io::Error::other),
            false => Ok(Err(driver.carried_over_constraints())),
        };
        let begun = memory.and_then(|memory| Ok((memory, descriptors()?)));
        let frames = self.writer.frames.clone();
        match begun {
            Ok((memory, descriptors)) => say(&frames, &ToSuccessor::Begin(memory), descriptors),
            Err(error) => {
                warn!(%error, "the courier cannot be handed over");
                return HandoverResult::TakenBack(Vec::new());
            }
        }
        driver.pause_idle_connections(true);
        info!("the courier is handed over to another process");
        let mut kept = Vec::new();
        let mut asked: HashMap<u64, oneshot::Sender<AdminResult>> = HashMap::new();
        let mut last = 0;
        let mut out = driver.in_flight_messages();
        let mut abandoned = false;
        loop {
            let end = driver.exit_deadline();
            if end.is_some_and(|end| out.is_empty() || Instant::now() > end + LAST_WORDS) {
                drop(frames);
                self.writer.finish().await;
                return HandoverResult::Completed;
            }
            let next = end.map(|end| if abandoned { end + LAST_WORDS } else { end });
            let never = Instant::now() + ANSWER;
            tokio::select! {
                biased;
                word = self.reader.next() => match word {
                    Some((ToPredecessor::CancelCall(message, reason), _)) => driver.cancel_call(message, reason),
                    Some((ToPredecessor::AdminResult(number, done), _)) => {
                        if let Some(answer) = asked.remove(&number) {
                            let _ = answer.send(done);
                        }
                    }
                    Some((ToPredecessor::Hello(..), _)) => {}
                    None if end.is_some() => return HandoverResult::Completed,
                    None => {
                        // All of its connections are closed by then.
                        sleep(GONE).await;
                        return HandoverResult::TakenBack(kept);
                    }
                },
                Some(TransferredConnection { stream, buffer, served, left, .. }) = moved.recv() => {
                    match stream.into_std() {
                        Ok(stream) => {
                            say(&frames, &ToSuccessor::Client { buffer, served, left }, vec![stream.into()]);
                        }
                        Err(error) => warn!(%error, "a client's connection cannot be handed over"),
                    }
                }
                Some(input) = events.recv() => match input {
                    // Its connection could not move in time. Nothing was taken on: it may come again at once.
                    GatewayEvent::Enqueue(_, reply) => drop(reply.send(EnqueueReply::Rejected(None))),
                    GatewayEvent::CallEnded { endpoint, messages, result: ended } => {
                        say(&frames, &ToSuccessor::CallEnded(endpoint, messages.clone(), ended.clone()), Vec::new());
                        out.retain(|message| !messages.contains(message));
                        kept.push(GatewayEvent::CallEnded { endpoint, messages, result: ended });
                    }
                    GatewayEvent::AcceptanceNotReceived(message) => {
                        say(&frames, &ToSuccessor::Unheard(message), Vec::new());
                        kept.push(GatewayEvent::AcceptanceNotReceived(message));
                    }
                    GatewayEvent::OutcomesAcknowledged(messages) => kept.push(GatewayEvent::OutcomesAcknowledged(messages)),
                    GatewayEvent::Admin(operation, done) => {
                        last += 1;
                        asked.retain(|_, answer| !answer.is_closed());
                        asked.insert(last, done);
                        say(&frames, &ToSuccessor::Operate(last, operation), Vec::new());
                    }
                    GatewayEvent::Terminate => driver.handle(GatewayEvent::Terminate),
                    GatewayEvent::Discovery(_) => {}
                },
                () = sleep_until(next.unwrap_or(never)), if next.is_some() => {
                    abandoned = true;
                    driver.drop_calls();
                }
            }
        }
    }
}
