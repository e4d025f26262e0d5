//! HTTP clients with the connections to servers.
//!
//! Each incarnation of a server has a client with connections of its own, so that all of them can be dropped at once:
//! when the server leaves the list, or when a response did not carry the id of its request.

use std::collections::HashMap;
use std::time::Duration;

use reqwest::redirect::Policy;
use state::ServerId;

/// A new connection must be set up within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection is given up if the server's machine acknowledges no data for this long (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// An idle connection is kept for this long, unless a server announces a shorter time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// An idle connection is reused for this part of the time for which the server keeps it, so that no request is sent
/// on a connection that is being closed.
const SERVER_IDLE_TIMEOUT_FACTOR: f64 = 0.7;
/// Idle connections that are kept to each server.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 12;

/// The HTTP clients of all servers.
pub(crate) struct ServerClients {
    clients: HashMap<ServerId, reqwest::Client>,
    /// The idle timeout of all clients: the shortest that was announced, never longer than [`DEFAULT_IDLE_TIMEOUT`].
    idle_timeout: Duration,
}

impl ServerClients {
    pub(crate) fn new() -> Self {
        Self { clients: HashMap::new(), idle_timeout: DEFAULT_IDLE_TIMEOUT }
    }

    /// For how long an idle connection may be reused.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the HTTP client of a server.
    ///
    /// # Errors
    ///
    /// If a client can't be built.
    pub(crate) fn get(&mut self, id: &ServerId) -> reqwest::Result<reqwest::Client> {
        if let Some(client) = self.clients.get(id) {
            return Ok(client.clone());
        }
        let client = build(self.idle_timeout)?;
        self.clients.insert(id.clone(), client.clone());
        Ok(client)
    }

    /// Closes the connections to a server as soon as the requests on them are finished.
    pub(crate) fn discard(&mut self, id: &str) {
        self.clients.remove(id);
    }

    /// Keeps only the connections to servers that are listed.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.clients.retain(|id, _| is_listed(id));
    }

    /// Records that a server keeps idle connections for this long. If that shortens the idle timeout, all clients are
    /// replaced, since the timeout of a client can't be changed.
    pub(crate) fn record_keep_alive(&mut self, announced: Duration) {
        let timeout = announced.mul_f64(SERVER_IDLE_TIMEOUT_FACTOR);
        if timeout < self.idle_timeout {
            self.idle_timeout = timeout;
            self.clients.clear();
        }
    }
}

fn build(idle_timeout: Duration) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .pool_idle_timeout(idle_timeout)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_SERVER)
        .http1_only()
        .no_proxy()
        .referer(false)
        .retry(reqwest::retry::never())
        .redirect(Policy::none())
        .build()
}
