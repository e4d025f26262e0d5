//! Limits on the requests of clients.

use std::time::Duration;

/// Limits on the size of the requests of clients, and on the time that clients may take to send them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationLimits {
    /// `labelBytes`: maximum size of the head of a request in bytes; 16 KiB by default.
    pub head_bytes: u64,
    /// `parcelBytes`: maximum size of the body of a request in bytes; 32 MiB by default.
    pub body_bytes: u64,
    /// `labelMs`: maximum time that a client may take to send the head of a request; 3 s by default.
    pub head_timeout: Duration,
    /// `idleMs`: maximum time that a connection may be idle; 15 s by default.
    pub idle_timeout: Duration,
}

impl Default for ConfigurationLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 32 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
