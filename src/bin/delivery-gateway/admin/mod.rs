//! The admin endpoint for operators: HTTP/1.1 with one request a connection.
//!
//! [`server`] accepts connections and bounds them, [`http`] reads a request and writes its response, [`routes`] maps a
//! request to what is asked, and [`response`] lists what may be answered. Nothing is decided here: what operators ask
//! goes to the event loop.

mod http;
mod response;
mod routes;
mod server;

pub use routes::AdminEndpoint;
pub use server::serve;
