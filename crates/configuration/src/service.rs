//! Services, and what clients may send.

use std::sync::Arc;
use std::time::Duration;

/// How the language model servers of a service work.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a server works on at once; 0 if it is not told.
    pub slots: u32,
    /// Tokens that its memory holds; 0 if it is not told.
    pub cache_tokens: u64,
    /// Bytes of a token in the cache; 0 if it is not told.
    pub cache_bytes: u64,
    /// Speed of a server's link for its cache, in Mbit/s; 0 if it is not told.
    pub link_mbps: f64,
    /// Tokens that a stream gets between two reports of its progress; 0 if it is not told.
    pub stride: u64,
    /// The models that the servers have.
    pub models: Vec<Arc<str>>,
}

/// A service: servers that can do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The path of its health check, where it has one.
    pub health_path: Option<Arc<str>>,
    /// Connections that a server takes from all callers together, where the operator tells it.
    pub connections_most: Option<u32>,
    /// How its language model servers work; `None` for other servers.
    pub engine: Option<Engine>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationLimits {
    /// Largest head of a request.
    pub head_bytes: u64,
    /// Largest body of a request.
    pub body_bytes: u64,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time that a connection may rest.
    pub idle: Duration,
}

impl Default for ConfigurationLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 32 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}
