//! The HTTP/1.1 client: calls to endpoints over a bounded number of connections, and how each call ended.
//!
//! [`pool`] owns the connections between calls, [`call`] makes one call and reports its result, [`request`] and
//! [`batch`] write a call for one message or several, [`response`] maps status, headers and states to outcomes,
//! [`connection`] opens and closes a connection, [`wire`] watches its bytes, [`status_line`] reads the status among
//! them, and [`descriptors`] bounds the sockets. Whether a message is sent, and sent again, is decided elsewhere.

mod batch;
mod call;
mod connection;
mod descriptors;
mod pool;
mod request;
mod response;
mod status_line;
#[cfg(test)]
mod tests;
mod wire;

pub use batch::OutgoingMessage;
pub use descriptors::Descriptor;
pub use pool::Pool;
pub use request::Call;
