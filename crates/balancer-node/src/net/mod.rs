//! The node on sockets: turns requests, answers and lists into events, and executes the actions of the decisions.
//!
//! [`frontend`] serves clients, [`upstream`] owns the connections to servers, and [`discovery`] follows the list of
//! servers. [`node::Node`] stands between them and the decisions, and owns the pending requests.

pub mod config;
pub mod config_error;
pub mod discovery;
pub mod frontend;
pub mod list;
pub mod load_report;
pub mod node;
mod socket;
pub mod upstream;
