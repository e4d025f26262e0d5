//! Services: groups of interchangeable servers.

use std::sync::Arc;

/// A service: a group of servers that can answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// `name`: name of the service, unique among the services; not empty.
    pub name: Arc<str>,
    /// `healthPath`: path of the health check; `None` if the servers have no health check.
    pub health_path: Option<Arc<str>>,
    /// `berthCap`: number of connections that a server accepts from all callers together; `None` if not
    /// given.
    pub max_connections: Option<u32>,
    /// `engine`: capacity of the servers if they are language model servers; `None` for other servers.
    pub engine: Option<Engine>,
}

/// Capacity of the language model servers of a service. Numbers that the operator does not give are 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// `berths`: number of requests that a server processes at the same time.
    pub slots: u32,
    /// `cacheTokens`: size of a server's KV cache, in tokens.
    pub cache_tokens: u64,
    /// `cacheBytes`: size of one token in the KV cache, in bytes.
    pub cache_bytes_per_token: u64,
    /// `linkMbps`: bandwidth of a server's link for transfers of its KV cache, in Mbit/s.
    pub link_mbps: f64,
    /// `stride`: number of tokens between two progress reports of a stream.
    pub progress_interval_tokens: u64,
    /// `models`: names of the models that the servers run.
    pub models: Vec<Arc<str>>,
}
