//! The RESP2 server for clients: reads requests and sends one reply to each, on a bounded number of connections.
//!
//! - [`server`] accepts connections.
//! - [`connection`] serves one connection.
//! - [`connection_slots`] limits the number of connections and selects the ones to evict.
//! - [`codec`] decodes requests and encodes replies.
//! - [`enqueue`] maps the elements of an `ENQUEUE` to an [`EnqueueRequest`](crate::events::EnqueueRequest).
//! - [`drain`] discards what a refused client still sends, so that its error reply is not lost.
//!
//! A connection itself refuses a message that is malformed or too long, or whose client has closed its side. The event
//! loop decides whether any other message is accepted. A connection that breaks or sends malformed RESP2 is closed,
//! which does not affect others.

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
