//! A server as the list of servers shows it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of one incarnation of a server: a restarted server has another one.
pub type ServerId = Arc<str>;

/// Name of a model.
pub type ModelName = Arc<str>;

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutServer {
    /// Its incarnation.
    pub id: ServerId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The zone in which it runs.
    pub zone: Arc<str>,
    /// Whether it is about to shut down: it gets no more orders.
    pub is_closing: bool,
    /// The version of each model that it runs. Some seconds old: lower versions than known before change nothing.
    pub models: BTreeMap<ModelName, u64>,
}
