//! The ingress of a node: it takes requests of clients, routes them and forwards them to servers.
//!
//! It owns the connections of clients and the start of graceful shutdown. A node's role in the daemon starts it and
//! serves it the listeners.

mod endpoint;
mod http_server;
mod lifecycle;
mod readiness;
mod request_reader;
mod settings;

pub use lifecycle::Ingress;
pub use settings::{IngressSettings, JobEndpoint, ReadinessCheck};
