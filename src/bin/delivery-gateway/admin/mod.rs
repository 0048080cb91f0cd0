//! The admin endpoint for operators: HTTP/1.1 with one request per connection.
//!
//! - [`server`] accepts connections and limits their number.
//! - [`http`] reads a request and writes its response.
//! - [`routes`] maps a request to an operation and sends that to the event loop, which carries it out.
//! - [`response`] defines the responses.
//!
//! The admin endpoint owns no state of the gateway. A connection that fails affects its own request only.

mod http;
mod response;
mod routes;
mod server;

pub use routes::AdminEndpoint;
pub use server::serve;
