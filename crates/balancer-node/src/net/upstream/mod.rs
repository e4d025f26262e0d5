//! The listed servers and the connections to them, on which attempts and probes are made.

mod attempt;
mod connection;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at, Instant};

use self::connection::{Connection, Server, SocketPermit};
use super::config::Config;
use crate::{AttemptOutcome, ServerId};

pub use self::attempt::{attempt, probe, ForwardedRequest, SendState, ServerReply};

/// Maximum length of the body of a request or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Fraction of the servers' idle timeout for which a connection is kept. A request that is sent while the
/// server closes the connection would be reset.
const IDLE_FRACTION: f64 = 0.9;
/// A dial is late after this multiple of the median dial time. Another dial is then made in parallel.
const LATE_DIAL_FACTOR: f64 = 4.0;
/// Initial estimate of the median dial time, in seconds.
const INITIAL_MEDIAN_DIAL: f64 = 0.005;
/// Lower bound of the estimated median dial time, in seconds.
const MIN_MEDIAN_DIAL: f64 = 0.000_5;
/// Upper bound of the estimated median dial time, in seconds.
const MAX_MEDIAN_DIAL: f64 = 0.25;
/// Factor by which a slower dial raises the estimated median, and by which a faster one lowers it.
const MEDIAN_DIAL_STEP: f64 = 1.1;

/// The listed servers and the sockets to them.
pub struct Upstream {
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    /// Number of open sockets to servers, including those of dials in progress.
    open_sockets: Rc<Cell<usize>>,
    /// Maximum number of open sockets to servers.
    max_sockets: usize,
    /// Time for which an idle connection is kept.
    keep_idle: Duration,
    /// Timeout of a dial. It also applies if no request waits for the connection any more.
    dial_timeout: Duration,
    /// Estimated median dial time, in seconds.
    median_dial: Rc<Cell<f64>>,
}

impl Upstream {
    /// Creates an instance without servers. Servers use at most 2/5 of the sockets that the configuration
    /// allows.
    pub fn new(config: &Config) -> Self {
        Self {
            servers: RefCell::default(),
            open_sockets: Rc::default(),
            max_sockets: (config.max_sockets * 2 / 5).max(1),
            keep_idle: config.idle_timeout.mul_f64(IDLE_FRACTION),
            dial_timeout: config.dial_timeout,
            median_dial: Rc::new(Cell::new(INITIAL_MEDIAN_DIAL)),
        }
    }

    /// Adds or updates a listed server. If `ready` is false, it must get no new requests, and its idle
    /// connections are closed. If its address or start time has changed, the idle connections to the former
    /// process are closed, and connections that are still being established to it are not used.
    pub fn update(&self, server: ServerId, address: SocketAddr, started_at: Option<f64>, ready: bool) {
        let same = |listed: &Rc<Server>| listed.address == address && listed.started_at == started_at;
        if !self.servers.borrow().get(&server).is_some_and(same) {
            self.remove(server);
        }
        let mut servers = self.servers.borrow_mut();
        let added = || Rc::new(Server::new(address, started_at, ready));
        servers.entry(server).or_insert_with(added).set_ready(ready);
    }

    /// Removes a server. Attempts in progress may complete, but no new ones begin.
    pub fn remove(&self, server: ServerId) {
        if let Some(removed) = self.servers.borrow_mut().remove(&server) {
            removed.set_ready(false);
        }
    }

    /// Closes the connections that have been idle for so long that their server may close them soon.
    pub fn close_idle(&self) {
        self.servers.borrow().values().for_each(|server| server.close_idle(self.keep_idle));
    }

    fn dial_timeout(&self) -> Duration {
        self.dial_timeout
    }

    fn server(&self, server: ServerId) -> Option<Rc<Server>> {
        self.servers.borrow().get(&server).cloned()
    }

    fn idle_connection(&self, server: &Server, max_wait: Duration) -> Option<Connection> {
        server.take_idle(self.keep_idle, max_wait)
    }

    /// Returns a permit for one more socket. At the limit, the connection that has been idle longest is
    /// closed first; returns `None` if no connection is idle.
    fn socket_permit(&self) -> Option<SocketPermit> {
        if self.open_sockets.get() >= self.max_sockets {
            let servers = self.servers.borrow();
            let idle = servers.values().filter(|server| server.idle_since().is_some());
            idle.min_by_key(|server| server.idle_since())?.close_oldest();
        }
        Some(SocketPermit::acquire(&self.open_sockets))
    }

    /// Establishes a new connection to a server within a time limit. Some dials take many times the median,
    /// because a packet was lost or a backlog was full. While the dials so far are late, further ones are
    /// made in parallel, up to `max_dials` in all.
    async fn connect(
        &self,
        server: &Rc<Server>,
        within: Duration,
        max_dials: usize,
    ) -> Result<Connection, AttemptOutcome> {
        let until = Instant::now() + within;
        let (established, mut connections) = mpsc::unbounded_channel();
        // Dropped with this future if the client disconnects, which cancels all dials.
        let mut dials = JoinSet::new();
        let mut result = Err(AttemptOutcome::Unreachable);
        for dial in 1..=max_dials {
            // Further dials are made only while less than half of the sockets are open.
            let allowed = dial == 1 || self.open_sockets.get() < self.max_sockets / 2;
            match allowed.then(|| self.socket_permit()).flatten() {
                Some(permit) => {
                    dials.spawn_local(self.dial(Rc::clone(server), permit, established.clone()));
                }
                // Without a free socket the attempt is not sent. This does not count as a failure of the
                // server.
                None if dial == 1 => return Err(AttemptOutcome::NotSent),
                None => {}
            }
            let late = Instant::now() + Duration::from_secs_f64(self.median_dial.get() * LATE_DIAL_FACTOR);
            let wait_until = if dial == max_dials { until } else { late.min(until) };
            if let Ok(Some(first)) = timeout_at(wait_until, connections.recv()).await {
                result = first;
                break;
            }
        }
        // Connections that are established later are kept for other requests.
        dials.detach_all();
        result
    }

    /// Dials a server and sends the connection through `established`. If the receiver has been dropped, the
    /// connection is kept for other requests.
    fn dial(
        &self,
        server: Rc<Server>,
        permit: SocketPermit,
        established: mpsc::UnboundedSender<Result<Connection, AttemptOutcome>>,
    ) -> impl Future<Output = ()> {
        let (within, median) = (self.dial_timeout, Rc::clone(&self.median_dial));
        async move {
            let started = Instant::now();
            let dialed = timeout(within, Connection::dial(server.address, permit)).await;
            let slower = started.elapsed().as_secs_f64() > median.get();
            let step = if slower { MEDIAN_DIAL_STEP } else { 1.0 / MEDIAN_DIAL_STEP };
            median.set((median.get() * step).clamp(MIN_MEDIAN_DIAL, MAX_MEDIAN_DIAL));
            let connection = dialed.unwrap_or(Err(AttemptOutcome::Unreachable));
            if let Err(mpsc::error::SendError(Ok(connection))) = established.send(connection) {
                server.keep(connection);
            }
        }
    }
}
