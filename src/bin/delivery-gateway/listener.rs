//! Binds the addresses at which the gateway listens for clients and for operators.

use delivery_gateway::socket::retry_transient;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{lookup_host, TcpListener, TcpSocket};
use tokio::time::sleep;
use tracing::{error, info, warn};

use crate::admin::{self, AdminEndpoint};
use crate::start_error::StartError;

/// The maximum number of connections that wait to be accepted; the system may have a lower limit. A connection beyond it
/// is tried again by its client only after 1 s, which is longer than clients wait.
const MAX_QUEUED_CONNECTIONS: u32 = 4096;
/// The delay before the bind of the admin endpoint's address is retried.
const ADMIN_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Listens at an address, and returns the listener and the bound address. Transient errors are retried: a process that
/// has just ended may hold the address for a moment longer than the lock of the state folder.
///
/// # Errors
/// The address cannot be bound.
pub async fn bind(address: &str) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen { address: address.to_owned(), source };
    let has_warned = Cell::new(false);
    let listen = || async {
        listen_at(address).await.map_err(|error| {
            if error.kind() == ErrorKind::AddrInUse && !has_warned.replace(true) {
                warn!(address, "address still in use: retrying");
            }
            listen_error(error)
        })
    };
    let listener = retry_transient("binding an address", listen).await?;
    let bound = local_address(&listener).await.map_err(listen_error)?;
    Ok((listener, bound))
}

/// Listens at the first address of a name that can be bound.
async fn listen_at(address: &str) -> io::Result<TcpListener> {
    let mut last_error = io::Error::new(ErrorKind::InvalidInput, "the name resolves to no address");
    for address in lookup_host(address).await? {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // Connections of an ended process may still be closing at the address.
        socket.set_reuseaddr(true)?;
        match socket.bind(address).and_then(|()| socket.listen(MAX_QUEUED_CONNECTIONS)) {
            Ok(listener) => return Ok(listener),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Returns the address that a listener is bound to.
pub async fn local_address(listener: &TcpListener) -> io::Result<SocketAddr> {
    retry_transient("getting the address of the listener", || async { listener.local_addr() }).await
}

/// Serves the admin endpoint until the task is dropped. Retries until the address can be bound. A failure doesn't end
/// the process, because the gateway delivers messages without an admin endpoint.
pub async fn serve_admin(configured_address: String, endpoint: Rc<AdminEndpoint>) {
    loop {
        match bind(&configured_address).await {
            Ok((listener, address)) => {
                info!(%address, "admin endpoint open");
                admin::serve(listener, endpoint.clone()).await;
            }
            Err(error) => error!(%error, "admin endpoint not open: retrying"),
        }
        sleep(ADMIN_RETRY_DELAY).await;
    }
}
