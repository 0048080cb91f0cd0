//! The server for clients: RESP2 requests in, one reply each, on a bounded number of connections.
//!
//! [`server`] accepts connections, [`connection`] serves one of them, [`connection_slots`] bounds their number and
//! decides which one is evicted for another, [`codec`] reads requests and writes replies, [`enqueue`] maps the words of
//! an `ENQUEUE` to an [`EnqueueRequest`](crate::events::EnqueueRequest), and [`drain`] closes refused connections
//! without losing their error reply. Whether a message is accepted is decided by the event loop alone.

mod codec;
mod connection;
mod connection_slots;
mod drain;
mod enqueue;
mod server;
#[cfg(test)]
mod tests;

pub use connection::TransferredConnection;
pub use connection_slots::ClientLimits;
pub use server::ClientServer;
