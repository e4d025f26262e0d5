//! Bookkeeping of the clients' connections: how many are open, and which idle one is closed for a new one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::client_socket::ClientSocket;

/// Time that a client has for its first request's head, for any head that it has begun, and for a body: one that
/// sends nothing or sends slowly must be disconnected within 3 s.
pub(super) const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time-out of a connection that had an answer; the rules allow to close it after 2 s.
pub(super) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// The first request follows its connection within this time, or the connection is among the first to be closed.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// Orders idle connections for closing: whether one had an answer, then the order in which they became idle.
type IdleKey = (bool, u64);

/// A connection without a request.
struct IdleConnection {
    since: Instant,
    close: Rc<Notify>,
}

/// All connections of clients.
pub(super) struct ClientConnections {
    open: Cell<usize>,
    /// Connections that may be open.
    max_open: usize,
    /// Further connections that may be open where none can be closed.
    overflow: usize,
    idle: RefCell<BTreeMap<IdleKey, IdleConnection>>,
    last_idle: Cell<u64>,
    /// Set while the node shuts down: each answer is the last one on its connection.
    pub(super) draining: Cell<bool>,
    /// Set shortly before the node exits: new requests are rejected at once.
    pub(super) rejecting: Cell<bool>,
}

impl ClientConnections {
    /// Connections of a node that may have `max_sockets` sockets in all.
    pub(super) fn new(max_sockets: usize) -> Self {
        Self {
            open: Cell::new(0),
            max_open: (max_sockets * 7 / 16).max(1),
            overflow: max_sockets / 16,
            idle: RefCell::default(),
            last_idle: Cell::new(0),
            draining: Cell::new(false),
            rejecting: Cell::new(false),
        }
    }

    /// Connections that are open.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether one should be closed before another is accepted.
    pub(super) fn is_full(&self) -> bool {
        self.open.get() >= self.max_open
    }

    /// Whether another one may be opened although none could be closed.
    pub(super) fn has_room(&self) -> bool {
        self.open.get() < self.max_open + self.overflow
    }

    /// Closes an idle connection: one without a first request, else the one whose answer is longest ago, else a new
    /// one. Returns whether there was one.
    pub(super) fn close_one(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // A new client keeps its connection until its request can have come.
        let idle_without_request =
            idle.first_key_value().filter(|(_, first)| first.since.elapsed() >= FIRST_REQUEST_GRACE);
        let answered = || idle.range((true, 0)..).next();
        let first =
            idle_without_request.or_else(answered).or_else(|| idle.first_key_value()).map(|(key, _)| *key);
        let closed = first.and_then(|key| idle.remove(&key));
        closed.inspect(|connection| connection.close.notify_one()).is_some()
    }

    /// Closes the idle connections of a draining node, except new ones whose first request may be in transit: a client
    /// that is disconnected before its first answer has lost a request.
    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().retain(|(answered, _), connection| {
            let stays = !*answered && connection.since.elapsed() < FIRST_REQUEST_GRACE;
            if !stays {
                connection.close.notify_one();
            }
            stays
        });
    }
}

/// One connection's entry among all; dropped with the connection.
pub(super) struct ConnectionSlot {
    pub(super) connections: Rc<ClientConnections>,
    /// Notified when the connection is to be closed.
    pub(super) close: Rc<Notify>,
    /// Its key among the idle ones, while it is idle.
    idle: Cell<Option<IdleKey>>,
    /// When it was made, or its last answer was given.
    since: Cell<Instant>,
    answered: Cell<bool>,
}

impl ConnectionSlot {
    /// The entry of a connection that has just been accepted.
    pub(super) fn new(connections: Rc<ClientConnections>) -> Self {
        connections.open.set(connections.open.get() + 1);
        let slot = Self {
            connections,
            close: Rc::default(),
            idle: Cell::new(None),
            since: Cell::new(Instant::now()),
            answered: Cell::new(false),
        };
        slot.set_idle();
        slot
    }

    /// A request was answered.
    pub(super) fn set_answered(&self) {
        self.answered.set(true);
        self.set_idle();
    }

    fn set_idle(&self) {
        let key = (self.answered.get(), self.connections.last_idle.get() + 1);
        self.connections.last_idle.set(key.1);
        let idle = IdleConnection { since: Instant::now(), close: Rc::clone(&self.close) };
        self.connections.idle.borrow_mut().insert(key, idle);
        self.idle.set(Some(key));
        self.since.set(Instant::now());
    }

    /// A request has come.
    pub(super) fn set_busy(&self) {
        if let Some(key) = self.idle.take() {
            self.connections.idle.borrow_mut().remove(&key);
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.idle.get().is_some()
    }

    /// When it is to be closed, unless a request has come by then.
    pub(super) fn expires_at(&self, socket: &ClientSocket) -> Instant {
        let since = self.since.get();
        match socket.head_started_at() {
            Some(started) if self.answered.get() => started.max(since) + SLOW_CLIENT_TIMEOUT,
            None if self.answered.get() => since + KEEP_ALIVE_TIMEOUT,
            _ => since + SLOW_CLIENT_TIMEOUT,
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.set_busy();
        self.connections.open.set(self.connections.open.get() - 1);
    }
}
