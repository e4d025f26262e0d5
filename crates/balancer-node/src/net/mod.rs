//! Runs the decision logic on real sockets: turns client requests, server responses and server lists into
//! events, and executes the actions that the decision logic returns.
//!
//! [`frontend`] serves clients, [`upstream`] owns the connections to servers, and [`discovery`] keeps the
//! server list up to date. [`node::Node`] connects them to the decision logic and owns the pending requests.

pub mod config;
pub mod config_error;
pub mod discovery;
pub mod frontend;
pub mod list;
pub mod load_report;
pub mod node;
mod socket;
pub mod upstream;
