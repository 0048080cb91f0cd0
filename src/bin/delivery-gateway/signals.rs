//! Signals of the platform, as messages. No read or write of the pipe that wakes the event loop can end the process,
//! and none that is lost loses a signal.

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::{flag, low_level};
use std::io;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::timeout;

use delivery_gateway::socket::{memory_backoff, retry_transient, try_transfer, Transfer};

/// The signals' flags are looked at this often even if nothing wakes the loop.
const LOST_WAKE: Duration = Duration::from_secs(1);

/// Handlers that are in force: from here on neither signal ends the process.
pub struct Handlers {
    hang_up: Arc<AtomicBool>,
    terminate: Arc<AtomicBool>,
    wakes: Pipe,
}

/// Where each signal arrives.
pub struct Signals {
    pub hang_up: UnboundedReceiver<()>,
    pub terminate: UnboundedReceiver<()>,
}

impl Handlers {
    /// Puts the handlers in force.
    pub fn install() -> io::Result<Self> {
        let (wakes, wake) = Pipe::pair()?;
        wakes.set_nonblocking(true)?;
        let install = |signal, wake| -> io::Result<Arc<AtomicBool>> {
            let raised = Arc::new(AtomicBool::new(false));
            // The flag first: whoever is woken looks at it.
            flag::register(signal, raised.clone())?;
            low_level::pipe::register(signal, wake)?;
            Ok(raised)
        };
        let hang_up = install(SIGHUP, wake.try_clone()?)?;
        let terminate = install(SIGTERM, wake)?;
        Ok(Handlers { hang_up, terminate, wakes })
    }

    /// Passes the signals on, by a task of this event loop.
    pub async fn listen(self) -> io::Result<Signals> {
        let Handlers { hang_up, terminate, wakes } = self;
        let wakes = retry_transient("waiting for signals", || async {
            let wakes = wakes.try_clone()?;
            UnixStream::from_std(wakes)
        })
        .await?;
        let (hang_ups, hang_up_heard) = unbounded_channel();
        let (ends, end_heard) = unbounded_channel();
        tokio::task::spawn_local(async move {
            loop {
                let _ = timeout(LOST_WAKE, wakes.readable()).await;
                drain(&wakes).await;
                pass_on(&hang_up, &hang_ups);
                pass_on(&terminate, &ends);
            }
        });
        Ok(Signals { hang_up: hang_up_heard, terminate: end_heard })
    }
}

/// Reads the wakes away: the flags say what there is.
async fn drain(wakes: &UnixStream) {
    let mut bytes = [0; 64];
    loop {
        match try_transfer(|| wakes.try_read(&mut bytes)) {
            Ok(Transfer::Bytes(1..)) => {}
            Ok(Transfer::WouldBlock) => return,
            // What stays unread would wake the loop at once.
            Ok(Transfer::Bytes(0) | Transfer::OutOfMemory) | Err(_) => return memory_backoff().await,
        }
    }
}

fn pass_on(raised: &AtomicBool, heard: &UnboundedSender<()>) {
    if raised.swap(false, Ordering::SeqCst) {
        let _ = heard.send(());
    }
}
