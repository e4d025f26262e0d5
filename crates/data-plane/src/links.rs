//! Connections to servers.
//!
//! Each incarnation of a server has an HTTP client with connections of its own, so that all of them can be
//! dropped at once: when the server is gone, or when bytes came that belong to no request.

use std::collections::HashMap;
use std::time::Duration;

use reqwest::redirect::Policy;
use state::ServerId;

/// A new connection has this long to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// After this time without an acknowledgement by the server's machine, a connection is given up.
const UNACKNOWLEDGED_MOST: Duration = Duration::from_millis(1500);
/// An idle connection is kept for this long, unless the server tells a shorter time.
const IDLE_KEPT: Duration = Duration::from_secs(20);
/// The part of the server's own idle time after which a connection is not used any more.
const IDLE_PART: f64 = 0.7;
/// Idle connections that are kept for each server.
const IDLE_MOST: usize = 12;

/// The HTTP clients of all servers.
pub(crate) struct Links {
    clients: HashMap<ServerId, reqwest::Client>,
    idle: Duration,
}

impl Links {
    pub(crate) fn new() -> Self {
        Self { clients: HashMap::new(), idle: IDLE_KEPT }
    }

    /// For how long an idle connection is usable.
    pub(crate) fn idle_usable(&self) -> Duration {
        self.idle
    }

    /// The HTTP client of a server.
    pub(crate) fn of(&mut self, id: &ServerId) -> reqwest::Result<reqwest::Client> {
        if let Some(client) = self.clients.get(id) {
            return Ok(client.clone());
        }
        let client = build(self.idle)?;
        self.clients.insert(id.clone(), client.clone());
        Ok(client)
    }

    /// Drops the connections to a server once the requests on them are over.
    pub(crate) fn forget(&mut self, id: &str) {
        self.clients.remove(id);
    }

    /// Keeps only the connections to servers that are listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.clients.retain(|id, _| is_listed(id));
    }

    /// A server told how long it keeps an idle connection.
    pub(crate) fn idle_told(&mut self, told: Duration) {
        let usable = told.mul_f64(IDLE_PART);
        if usable < self.idle {
            self.idle = usable;
            self.clients.clear();
        }
    }
}

fn build(idle: Duration) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED_MOST)
        .pool_idle_timeout(idle)
        .pool_max_idle_per_host(IDLE_MOST)
        .http1_only()
        .no_proxy()
        .referer(false)
        .retry(reqwest::retry::never())
        .redirect(Policy::none())
        .build()
}
