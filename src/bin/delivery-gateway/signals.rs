//! Receives SIGHUP and SIGTERM, and passes them on over channels. A signal handler sets a flag, and writes to a pipe
//! that wakes the runtime. If a read or write of that pipe fails, the process continues and no signal is lost.

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

/// The interval at which the flags are read if the pipe doesn't become readable.
const FLAG_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The installed signal handlers. While they are installed, neither signal ends the process by itself.
pub struct Handlers {
    hang_up: Arc<AtomicBool>,
    terminate: Arc<AtomicBool>,
    /// Becomes readable when a signal arrives.
    wakeups: Pipe,
}

/// The channels of the signals. Several signals of one kind that arrive together are received once.
pub struct Signals {
    /// Receives SIGHUP, a request to read the configuration again.
    pub hang_up: UnboundedReceiver<()>,
    /// Receives SIGTERM, a request to shut down.
    pub terminate: UnboundedReceiver<()>,
}

impl Handlers {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The pipe cannot be created, or a handler cannot be installed.
    pub fn install() -> io::Result<Self> {
        let (wakeups, wakeup) = Pipe::pair()?;
        wakeups.set_nonblocking(true)?;
        let install = |signal, wakeup| -> io::Result<Arc<AtomicBool>> {
            let raised = Arc::new(AtomicBool::new(false));
            // The flag must be set before the write to the pipe, because the woken task reads it.
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
        let wakeups = retry_transient("registering the signal pipe with the runtime", || async {
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

/// Reads and drops all bytes in the pipe. The flags show which signals have arrived.
async fn drain(wakeups: &UnixStream) {
    let mut bytes = [0; 64];
    loop {
        match try_transfer(|| wakeups.try_read(&mut bytes)) {
            Ok(Transfer::Bytes(1..)) => {}
            Ok(Transfer::WouldBlock) => return,
            // The pipe may still be readable and would wake the task again at once. The delay avoids a busy loop.
            Ok(Transfer::Bytes(0) | Transfer::OutOfMemory) | Err(_) => return memory_backoff().await,
        }
    }
}

fn pass_on(raised: &AtomicBool, signals: &UnboundedSender<()>) {
    if raised.swap(false, Ordering::SeqCst) {
        let _ = signals.send(());
    }
}
