//! Tracks the client connections: how many are open, and which idle one is closed for a new one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::client_socket::ClientSocket;

/// Time within which a client must send the head of its first request, any head that it has begun, and a
/// body. A client that sends nothing or sends slowly must be disconnected within 3 s.
pub(super) const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle timeout of a connection after a response. The rules allow closing it after 2 s.
pub(super) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a new client has for its first request before its connection is the first to be closed.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(250);

/// Sort key of an idle connection: whether it has had a response, and then a number that counts up as
/// connections become idle.
type IdleKey = (bool, u64);

/// A connection without a request in progress.
struct IdleConnection {
    /// Time at which the connection became idle.
    since: Instant,
    /// Notified to close the connection.
    close: Rc<Notify>,
}

/// All client connections of a node.
pub(super) struct ClientConnections {
    open: Cell<usize>,
    /// Number of open connections from which on an idle one is closed for each new one.
    max_open: usize,
    /// Number of connections that may be open beyond `max_open` if no idle one can be closed.
    overflow: usize,
    idle: RefCell<BTreeMap<IdleKey, IdleConnection>>,
    /// The number in the last [`IdleKey`].
    last_idle: Cell<u64>,
    /// Whether the node shuts down. Each response is then the last one on its connection.
    pub(super) draining: Cell<bool>,
    /// Whether the node is about to exit. New requests are then rejected at once.
    pub(super) rejecting: Cell<bool>,
}

impl ClientConnections {
    /// Creates the table of a node that may open `max_sockets` sockets. Clients get at most half of them, so
    /// that enough are left for servers and discovery.
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

    /// Returns the number of open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns whether an idle connection should be closed before another one is accepted.
    pub(super) fn is_full(&self) -> bool {
        self.open.get() >= self.max_open
    }

    /// Returns whether another connection may be opened although no idle one could be closed.
    pub(super) fn has_room(&self) -> bool {
        self.open.get() < self.max_open + self.overflow
    }

    /// Closes an idle connection and returns whether there was one. A connection that has passed
    /// [`FIRST_REQUEST_GRACE`] without a request is closed first, then the one with the oldest last response,
    /// and then a new connection.
    pub(super) fn close_one(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        // A new client keeps its connection until its first request can have arrived.
        let idle_without_request =
            idle.first_key_value().filter(|(_, first)| first.since.elapsed() >= FIRST_REQUEST_GRACE);
        let answered = || idle.range((true, 0)..).next();
        let first =
            idle_without_request.or_else(answered).or_else(|| idle.first_key_value()).map(|(key, _)| *key);
        let closed = first.and_then(|key| idle.remove(&key));
        closed.inspect(|connection| connection.close.notify_one()).is_some()
    }

    /// Closes the idle connections of a draining node, except new ones whose first request may be in transit:
    /// closing those would lose the request.
    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().retain(|(answered, _), connection| {
            let is_kept = !*answered && connection.since.elapsed() < FIRST_REQUEST_GRACE;
            if !is_kept {
                connection.close.notify_one();
            }
            is_kept
        });
    }
}

/// The entry of one connection in [`ClientConnections`]. It must be dropped with the connection.
pub(super) struct ConnectionSlot {
    pub(super) connections: Rc<ClientConnections>,
    /// Notified when the connection must be closed.
    pub(super) close: Rc<Notify>,
    /// Key of the connection in [`ClientConnections::idle`]; `None` while a request is in progress.
    idle: Cell<Option<IdleKey>>,
    /// Time at which the connection was accepted or its last response was ready.
    since: Cell<Instant>,
    /// Whether the connection has had a response.
    answered: Cell<bool>,
}

impl ConnectionSlot {
    /// Adds the entry of a connection that has just been accepted.
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

    /// Records that the request in progress has its response.
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

    /// Records that a request has arrived.
    pub(super) fn set_busy(&self) {
        if let Some(key) = self.idle.take() {
            self.connections.idle.borrow_mut().remove(&key);
        }
    }

    /// Returns whether no request is in progress on the connection.
    pub(super) fn is_idle(&self) -> bool {
        self.idle.get().is_some()
    }

    /// Returns the time at which the connection must be closed unless a complete request head has arrived by
    /// then.
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
