//! The admin endpoint for operators: HTTP/1.1 with one request a connection.
//!
//! [`server`] accepts connections and bounds them, [`http`] reads a request and writes its response, [`routes`] maps a
//! request to an operation, and [`response`] lists the responses. Nothing is decided here: operations go to the event
//! loop.

mod http;
mod response;
mod routes;
mod server;

pub use routes::AdminEndpoint;
pub use server::serve;
