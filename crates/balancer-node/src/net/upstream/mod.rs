//! The servers and the connections to them, on which attempts and probes are made.

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

/// The longest body of a request or an answer.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Part of the servers' idle time-out for which a connection is kept: a request on one that the server closes is reset.
const IDLE_FRACTION: f64 = 0.9;
/// A dial that takes so many times the median is late, and another is made beside it.
const LATE_DIAL_FACTOR: f64 = 4.0;
/// The estimated median of dial times, in seconds: at the start, its bounds, and the factor by which one dial
/// moves it.
const INITIAL_MEDIAN_DIAL: f64 = 0.005;
const MIN_MEDIAN_DIAL: f64 = 0.000_5;
const MAX_MEDIAN_DIAL: f64 = 0.25;
const MEDIAN_DIAL_STEP: f64 = 1.1;

/// The listed servers and the sockets to them.
pub struct Upstream {
    servers: RefCell<HashMap<ServerId, Rc<Server>>>,
    open_sockets: Rc<Cell<usize>>,
    max_sockets: usize,
    /// How long an idle connection is kept.
    keep_idle: Duration,
    /// Time-out of a dial, also where no request waits for it any more.
    dial_timeout: Duration,
    /// Estimated median of dial times, in seconds.
    median_dial: Rc<Cell<f64>>,
}

impl Upstream {
    /// Creates it without servers.
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

    /// Adds or updates a server of the list. Idle connections to one that may get no new requests are closed, and so
    /// are all to a former process or address of the server: dials in progress there are of no use.
    pub fn update(&self, server: ServerId, address: SocketAddr, started_at: Option<f64>, ready: bool) {
        let same = |known: &Rc<Server>| known.address == address && known.started_at == started_at;
        if !self.servers.borrow().get(&server).is_some_and(same) {
            self.remove(server);
        }
        let mut servers = self.servers.borrow_mut();
        let added = || Rc::new(Server::new(address, started_at, ready));
        servers.entry(server).or_insert_with(added).set_ready(ready);
    }

    /// Removes a server: attempts in progress may end, and no new ones begin.
    pub fn remove(&self, server: ServerId) {
        if let Some(removed) = self.servers.borrow_mut().remove(&server) {
            removed.set_ready(false);
        }
    }

    /// Closes connections that have been idle for so long that the server may soon close them.
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

    /// A permit for one more socket, for which the longest idle one is closed if need be.
    fn socket_permit(&self) -> Option<SocketPermit> {
        if self.open_sockets.get() >= self.max_sockets {
            let servers = self.servers.borrow();
            let idle = servers.values().filter(|server| server.idle_since().is_some());
            idle.min_by_key(|server| server.idle_since())?.close_oldest();
        }
        Some(SocketPermit::acquire(&self.open_sockets))
    }

    /// A new connection to a server, where one comes up within this time. Some dials take many times the median, for
    /// a packet that was lost or a backlog that was full: a late one gets another beside it, up to `max_dials`.
    async fn connect(
        &self,
        server: &Rc<Server>,
        within: Duration,
        max_dials: usize,
    ) -> Result<Connection, AttemptOutcome> {
        let until = Instant::now() + within;
        let (established, mut connections) = mpsc::unbounded_channel();
        // Dropped with this future where the client has disconnected: then all dials are cancelled.
        let mut dials = JoinSet::new();
        let mut result = Err(AttemptOutcome::Unreachable);
        for dial in 1..=max_dials {
            // Further dials are made only while less than half of the sockets are open.
            let allowed = dial == 1 || self.open_sockets.get() < self.max_sockets / 2;
            match allowed.then(|| self.socket_permit()).flatten() {
                Some(permit) => {
                    dials.spawn_local(self.dial(Rc::clone(server), permit, established.clone()));
                }
                // Without a socket the attempt is not sent, which is no failure of the server.
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
        // Connections that come up later are kept.
        dials.detach_all();
        result
    }

    /// Dials a server, and keeps the connection for other requests where this one waits for it no longer.
    fn dial(
        &self,
        server: Rc<Server>,
        permit: SocketPermit,
        established: mpsc::UnboundedSender<Result<Connection, AttemptOutcome>>,
    ) -> impl Future<Output = ()> {
        let (within, median) = (self.dial_timeout, Rc::clone(&self.median_dial));
        async move {
            let started = Instant::now();
            let dialled = timeout(within, Connection::dial(server.address, permit)).await;
            let slower = started.elapsed().as_secs_f64() > median.get();
            let step = if slower { MEDIAN_DIAL_STEP } else { 1.0 / MEDIAN_DIAL_STEP };
            median.set((median.get() * step).clamp(MIN_MEDIAN_DIAL, MAX_MEDIAN_DIAL));
            let connection = dialled.unwrap_or(Err(AttemptOutcome::Unreachable));
            if let Err(mpsc::error::SendError(Ok(connection))) = established.send(connection) {
                server.keep(connection);
            }
        }
    }
}
