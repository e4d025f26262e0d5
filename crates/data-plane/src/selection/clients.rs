//! HTTP clients, which own the connections to servers.
//!
//! Each incarnation of a server has a separate client, so that all connections to it can be dropped together:
//! when the server is removed from the server list, or after a response without the id of its request.

use std::collections::HashMap;
use std::time::Duration;

use reqwest::redirect::Policy;
use state::ServerId;

/// The maximum time to set up a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time after which a connection fails if the server's machine doesn't acknowledge sent data
/// (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time for which an idle connection is kept, unless a server announces a shorter keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The idle timeout of connections, as a fraction of the keep-alive timeout that a server announces. It is
/// less than 1 so that no request is sent on a connection that the server is closing.
const SERVER_IDLE_TIMEOUT_FACTOR: f64 = 0.7;
/// The maximum number of idle connections that are kept open to each server.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 12;

/// The HTTP clients of all servers that requests were sent to.
pub(crate) struct ServerClients {
    clients: HashMap<ServerId, reqwest::Client>,
    /// The idle timeout of all clients: derived from the shortest keep-alive timeout that any server has
    /// announced, at most [`DEFAULT_IDLE_TIMEOUT`]. It never increases.
    idle_timeout: Duration,
}

impl ServerClients {
    pub(crate) fn new() -> Self {
        Self { clients: HashMap::new(), idle_timeout: DEFAULT_IDLE_TIMEOUT }
    }

    /// Returns the time for which an idle connection may be reused.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns the HTTP client of a server, which is created on first use.
    ///
    /// # Errors
    ///
    /// Fails if the client can't be built.
    pub(crate) fn get(&mut self, id: &ServerId) -> reqwest::Result<reqwest::Client> {
        if let Some(client) = self.clients.get(id) {
            return Ok(client.clone());
        }
        let client = build_client(self.idle_timeout)?;
        self.clients.insert(id.clone(), client.clone());
        Ok(client)
    }

    /// Discards the client of a server. Its connections are closed once the requests on them are finished.
    pub(crate) fn discard(&mut self, id: &str) {
        self.clients.remove(id);
    }

    /// Discards the clients of all servers for which `is_listed` returns `false`.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.clients.retain(|id, _| is_listed(id));
    }

    /// Records the keep-alive timeout that a server has announced. If it shortens the idle timeout, all
    /// clients are discarded, since the timeout of an existing client can't be changed.
    pub(crate) fn record_keep_alive(&mut self, announced: Duration) {
        let timeout = announced.mul_f64(SERVER_IDLE_TIMEOUT_FACTOR);
        if timeout < self.idle_timeout {
            self.idle_timeout = timeout;
            self.clients.clear();
        }
    }
}

/// Builds a client that sends each request once and to the given address: without redirects, proxies and
/// automatic retries.
fn build_client(idle_timeout: Duration) -> reqwest::Result<reqwest::Client> {
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
