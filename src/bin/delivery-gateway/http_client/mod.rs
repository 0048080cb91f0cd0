//! The HTTP/1.1 client: makes calls to endpoints over a bounded number of connections and reports the outcome of each.
//!
//! - [`pool`] is the connection pool. It owns the idle connections.
//! - [`call`] makes one call and reports its result.
//! - [`request`] builds the HTTP request of a call, and [`batch`] its body where it carries several messages.
//! - [`response`] maps status, headers and message states to outcomes.
//! - [`connection`] opens and aborts a connection.
//! - [`wire`] observes the bytes on a connection below the HTTP library, and [`status_line`] parses the status line
//!   from them.
//! - [`surplus`] decides for how long a connection rests between two calls.
//! - [`descriptors`] limits the file descriptors in use.
//!
//! The scheduler decides whether and when a message is sent or retried. The one exception is a call of which no byte
//! was written because its reused connection was stale: it is sent on another connection at once. A failed call is
//! reported as the outcome of its messages; nothing here returns an error to the event loop.

mod batch;
mod call;
mod connection;
mod descriptors;
mod pool;
mod request;
mod response;
mod status_line;
mod surplus;
#[cfg(test)]
mod tests;
mod wire;

pub use batch::OutgoingMessage;
pub use descriptors::Descriptor;
pub use pool::Pool;
pub use request::Call;
