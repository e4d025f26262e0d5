//! Servers as entries of the server list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of one incarnation of a server. A restarted server has a new identity.
pub type ServerId = Arc<str>;

/// Name of a model, by which orders and reports refer to it.
pub type ModelName = Arc<str>;

/// Entry of the server list. It may lag a few seconds behind the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutServer {
    /// Identity of the server's incarnation.
    pub id: ServerId,
    /// Address on which the server listens for orders and report requests.
    pub address: SocketAddr,
    /// Zone of the server. Loads are distributed over the zones.
    pub zone: Arc<str>,
    /// Whether the server is about to shut down. It then gets no more orders and report requests.
    pub is_closing: bool,
    /// Version of each model that the server runs, as of a few seconds ago. Versions lower than those known
    /// before are ignored.
    pub models: BTreeMap<ModelName, u64>,
}
