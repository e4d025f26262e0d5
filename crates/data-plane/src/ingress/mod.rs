//! The ingress of a node: receives requests of clients, routes them and forwards them to servers.
//!
//! The ingress owns the connections of clients and performs graceful shutdown. The process that runs the node
//! creates the ingress and passes the listeners to it.

mod endpoint;
mod http_server;
mod lifecycle;
mod readiness;
mod request_reader;
mod settings;

pub use lifecycle::Ingress;
pub use settings::{ConditionCheck, IngressSettings, JobEndpoint};
