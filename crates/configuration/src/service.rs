//! Services: groups of servers that do the same work.

use std::sync::Arc;

/// A service: servers of which each can answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// `name`: its name, unique among the services.
    pub name: Arc<str>,
    /// `healthPath`: path of the health check; `None` where its servers have none.
    pub health_path: Option<Arc<str>>,
    /// `berthCap`: connections that a server accepts from all callers together; `None` if not given.
    pub max_connections: Option<u32>,
    /// `engine`: how its language model servers work; `None` for other servers.
    pub engine: Option<Engine>,
}

/// Capacity of the language model servers of a service. Numbers that the operator does not give are 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// `berths`: requests that a server processes at once.
    pub slots: u32,
    /// `cacheTokens`: size of a server's KV cache, in tokens.
    pub cache_tokens: u64,
    /// `cacheBytes`: size of one token in the KV cache, in bytes.
    pub cache_bytes_per_token: u64,
    /// `linkMbps`: bandwidth of a server's link for transfers of its KV cache, in Mbit/s.
    pub link_mbps: f64,
    /// `stride`: tokens between two progress reports of a stream.
    pub progress_interval_tokens: u64,
    /// `models`: names of the models that the servers have.
    pub models: Vec<Arc<str>>,
}
