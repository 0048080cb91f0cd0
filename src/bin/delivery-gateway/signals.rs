//! Signals of the platform, as messages. A handler raises a flag and writes to a pipe that wakes the runtime. A failed
//! read or write of that pipe neither ends the process nor loses a signal.

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

/// How often the flags are read even if no write to the pipe arrives.
const FLAG_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Installed handlers: from here on neither signal ends the process by itself.
pub struct Handlers {
    hang_up: Arc<AtomicBool>,
    terminate: Arc<AtomicBool>,
    /// Readable once a signal has arrived.
    wakeups: Pipe,
}

/// Where the signals arrive. Signals of one kind that arrive together count once.
pub struct Signals {
    /// SIGHUP: the configuration is to be read again.
    pub hang_up: UnboundedReceiver<()>,
    /// SIGTERM: the process is to end.
    pub terminate: UnboundedReceiver<()>,
}

impl Handlers {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The pipe cannot be made, or a handler not installed.
    pub fn install() -> io::Result<Self> {
        let (wakeups, wakeup) = Pipe::pair()?;
        wakeups.set_nonblocking(true)?;
        let install = |signal, wakeup| -> io::Result<Arc<AtomicBool>> {
            let raised = Arc::new(AtomicBool::new(false));
            // The flag first: the woken task reads it.
            flag::register(signal, raised.clone())?;
            low_level::pipe::register(signal, wakeup)?;
            Ok(raised)
        };
        let hang_up = install(SIGHUP, wakeup.try_clone()?)?;
        let terminate = install(SIGTERM, wakeup)?;
        Ok(Handlers { hang_up, terminate, wakeups })
    }

    /// Spawns a task on the current `LocalSet` that passes the signals on.
    ///
    /// # Errors
    /// The pipe cannot be registered with the runtime.
    pub async fn listen(self) -> io::Result<Signals> {
        let Handlers { hang_up, terminate, wakeups } = self;
        let wakeups = retry_transient("waiting for signals", || async {
            let wakeups = wakeups.try_clone()?;
            UnixStream::from_std(wakeups)
        })
        .await?;
        let (hang_up_in, hang_up_out) = unbounded_channel();
        let (terminate_in, terminate_out) = unbounded_channel();
        tokio::task::spawn_local(async move {
            loop {
                let _ = timeout(FLAG_POLL_INTERVAL, wakeups.readable()).await;
                drain(&wakeups).await;
                pass_on(&hang_up, &hang_up_in);
                pass_on(&terminate, &terminate_in);
            }
        });
        Ok(Signals { hang_up: hang_up_out, terminate: terminate_out })
    }
}

/// Empties the pipe: the flags say which signals have arrived.
async fn drain(wakeups: &UnixStream) {
    let mut bytes = [0; 64];
    loop {
        match try_transfer(|| wakeups.try_read(&mut bytes)) {
            Ok(Transfer::Bytes(1..)) => {}
            Ok(Transfer::WouldBlock) => return,
            // What stays unread would wake the task again at once.
            Ok(Transfer::Bytes(0) | Transfer::OutOfMemory) | Err(_) => return memory_backoff().await,
        }
    }
}

fn pass_on(raised: &AtomicBool, signals: &UnboundedSender<()>) {
    if raised.swap(false, Ordering::SeqCst) {
        let _ = signals.send(());
    }
}
