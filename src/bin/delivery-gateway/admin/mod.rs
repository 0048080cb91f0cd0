//! The operators' door: HTTP/1.1 with one call a connection. It decides nothing; what is asked goes to the driver.

use delivery_gateway::socket::{send_at_once, SteadyStream};

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc::UnboundedSender, oneshot, watch, Notify, Semaphore};
use tokio::time::{sleep, timeout};
use tracing::warn;

use crate::events::{AdminOperation, AdminResult, GatewayEvent, ServicePhase};
use crate::rate_limited_log::RateLimitedLog;

/// Callers at a time; one more takes the place of the one that has been slow for longest ...
const CALLERS: usize = 8;
/// ... while there are so many connections at most, those that are ending counted.
const CONNECTIONS: usize = 16;
/// Head of a call at most, and the headers in it.
const LONGEST_HEAD: usize = 8 << 10;
const MOST_HEADERS: usize = 64;
/// How long a caller may take to bring its call.
const CALL: Duration = Duration::from_secs(5);
/// An answer is owed within 1 s: what the driver has not done by then has not been promised.
const ANSWER: Duration = Duration::from_millis(800);
/// What the caller still sends is read for so long: closing before would destroy the answer on its way.
const DRAIN: Duration = Duration::from_millis(500);

/// Where calls go once the courier is ready.
#[derive(Default)]
pub struct AdminEndpoint {
    behind: RefCell<Option<(UnboundedSender<GatewayEvent>, watch::Receiver<ServicePhase>)>>,
}

impl AdminEndpoint {
    /// The courier is ready to serve.
    pub fn open(&self, driver: UnboundedSender<GatewayEvent>, phase: watch::Receiver<ServicePhase>) {
        self.behind.replace(Some((driver, phase)));
    }

    fn is_ready(&self) -> bool {
        self.behind.borrow().as_ref().is_some_and(|(_, phase)| *phase.borrow() == ServicePhase::Serving)
    }

    async fn operate(&self, operation: AdminOperation) -> Status {
        let (done, answer) = oneshot::channel();
        let driver = self.behind.borrow().as_ref().map(|(driver, _)| driver.clone());
        let sent = driver.is_some_and(|driver| driver.send(GatewayEvent::Admin(operation, done)).is_ok());
        if !sent {
            return NOT_READY;
        }
        match timeout(ANSWER, answer).await {
            Ok(Ok(AdminResult::Done)) => YES,
            Ok(Ok(AdminResult::UnknownEndpoint)) => UNKNOWN,
            Ok(Ok(AdminResult::NotRecorded)) => FAILED,
            Ok(Err(_)) | Err(_) => NOT_READY,
        }
    }

    async fn answer(&self, call: &str, method: &str) -> Status {
        let (path, query) = call.split_once('?').unwrap_or((call, ""));
        let wanted = match path {
            "/_ready" => "GET",
            "/_endpoints/detach" | "/_endpoints/attach" | "/_lameduck/on" | "/_lameduck/off" => "POST",
            _ => return NOT_FOUND,
        };
        if method != wanted {
            return BAD_METHOD;
        }
        match path {
            "/_ready" if self.is_ready() => YES,
            "/_ready" => NOT_READY,
            "/_lameduck/on" => self.operate(AdminOperation::LameDuck(true)).await,
            "/_lameduck/off" => self.operate(AdminOperation::LameDuck(false)).await,
            _ => {
                let fields = form_urlencoded::parse(query.as_bytes());
                let mut ids = fields.filter(|(name, _)| name == "id").map(|(_, id)| id.into_owned());
                match (ids.next(), ids.next()) {
                    (Some(id), None) if path.ends_with("detach") => {
                        self.operate(AdminOperation::DisableEndpoint(id)).await
                    }
                    (Some(id), None) => self.operate(AdminOperation::EnableEndpoint(id)).await,
                    _ => NO_ID,
                }
            }
        }
    }
}

/// An answer: its status, and a word for people.
type Status = (&'static str, &'static str);

const YES: Status = ("200 OK", "yes");
const BROKEN: Status = ("400 Bad Request", "not a proper call");
const NO_ID: Status = ("400 Bad Request", "one id is needed");
const NOT_FOUND: Status = ("404 Not Found", "no such path");
const UNKNOWN: Status = ("404 Not Found", "nobody has that id");
const BAD_METHOD: Status = ("405 Method Not Allowed", "not with this method");
const LATE: Status = ("408 Request Timeout", "the call did not come to its end");
const LONG: Status = ("431 Request Header Fields Too Large", "the call is too long");
const FAILED: Status = ("500 Internal Server Error", "it could not be written down");
const NOT_READY: Status = ("503 Service Unavailable", "not ready");

/// Callers whose call has not come yet, the first one first.
#[derive(Default)]
struct Callers {
    waiting: RefCell<VecDeque<Weak<Notify>>>,
    open: Cell<usize>,
}

/// Answers calls until the task is dropped.
pub async fn serve(listener: TcpListener, door: Rc<AdminEndpoint>) {
    let callers = Rc::new(Callers::default());
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    let mut failures = RateLimitedLog::default();
    while let Ok(place) = places.clone().acquire_owned().await {
        match listener.accept().await {
            Ok((stream, _)) => {
                let give_way = Rc::new(Notify::new());
                {
                    let mut waiting = callers.waiting.borrow_mut();
                    waiting.retain(|caller| caller.strong_count() > 0);
                    if callers.open.get() >= CALLERS {
                        if let Some(slowest) = waiting.pop_front().and_then(|caller| caller.upgrade()) {
                            slowest.notify_one();
                        }
                    }
                    waiting.push_back(Rc::downgrade(&give_way));
                }
                callers.open.set(callers.open.get() + 1);
                let (door, callers) = (door.clone(), callers.clone());
                tokio::task::spawn_local(async move {
                    // A caller that has gone does not hear its answer; what it asked for is done all the same.
                    let _ = talk(stream, &door, give_way).await;
                    callers.open.set(callers.open.get() - 1);
                    drop(place);
                });
            }
            Err(error) => {
                if let Some(more) = failures.due() {
                    warn!(%error, more, "an operator's connection cannot be accepted");
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn talk(stream: TcpStream, door: &AdminEndpoint, give_way: Rc<Notify>) -> io::Result<()> {
    send_at_once(&stream);
    let mut stream = SteadyStream(stream);
    let mut evicted = false;
    let call = tokio::select! {
        call = timeout(CALL, read_call(&mut stream)) => call.unwrap_or(Ok(Err(LATE)))?,
        () = give_way.notified() => {
            evicted = true;
            Err(LATE)
        }
    };
    // From here on it takes little time, and gives way to nobody.
    drop(give_way);
    let (status, text) = match call {
        Ok((method, path)) => door.answer(&path, &method).await,
        Err(no) => no,
    };
    let length = text.len() + 1;
    let head = format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n");
    let answer = format!("{head}Connection: close\r\n\r\n{text}\n");
    timeout(DRAIN, stream.write_all(answer.as_bytes())).await??;
    stream.shutdown().await?;
    if evicted {
        return Ok(());
    }
    let drain = async {
        let mut rest = [0; 1024];
        while stream.read(&mut rest).await? > 0 {}
        Ok(())
    };
    timeout(DRAIN, drain).await.unwrap_or(Ok(()))
}

/// Reads the head of a call: its method and target. A body means nothing here.
async fn read_call(stream: &mut SteadyStream) -> io::Result<Result<(String, String), Status>> {
    let mut head = Vec::with_capacity(512);
    loop {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(Err(BROKEN));
        }
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) => {
                let (method, path) = (request.method.unwrap_or_default(), request.path.unwrap_or_default());
                return Ok(Ok((method.to_owned(), path.to_owned())));
            }
            Ok(httparse::Status::Partial) if head.len() < LONGEST_HEAD => {}
            Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => return Ok(Err(LONG)),
            Err(_) => return Ok(Err(BROKEN)),
        }
    }
}
