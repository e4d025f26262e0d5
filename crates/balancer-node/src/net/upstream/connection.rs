//! The connections to one server: establishes them and keeps the idle ones.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::MAX_BODY_BYTES;
use crate::net::socket::{self, has_input, Io};
use crate::AttemptOutcome;

/// Minimum time between a response and the next request on the same connection. Bytes that a server sends
/// after a response, such as a duplicate some milliseconds later, arrive within this time; they must not be
/// taken for the response to the next request.
pub(super) const MIN_REUSE_DELAY: Duration = Duration::from_millis(20);
/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Permit for one socket, which counts as open for as long as the permit exists.
pub(super) struct SocketPermit(Rc<Cell<usize>>);

impl SocketPermit {
    /// Adds one to the number of open sockets. The caller must have checked the limit.
    pub(super) fn acquire(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A socket to a server, shared by a [`Connection`] and hyper's connection task.
struct ServerSocket {
    stream: TcpStream,
    _permit: SocketPermit,
}

impl socket::Socket for ServerSocket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }
}

/// An HTTP connection to a server, idle or used by one exchange.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    socket: Rc<ServerSocket>,
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
}

impl Connection {
    /// Connects to a server. On failure the outcome is [`AttemptOutcome::Unreachable`].
    pub(super) async fn dial(address: SocketAddr, permit: SocketPermit) -> Result<Self, AttemptOutcome> {
        let stream = TcpStream::connect(address).await.map_err(|_| AttemptOutcome::Unreachable)?;
        stream.set_nodelay(true).map_err(|_| AttemptOutcome::Unreachable)?;
        let socket = Rc::new(ServerSocket { stream, _permit: permit });
        let handshake = http1::Builder::new()
            .max_buf_size(2 * MAX_BODY_BYTES)
            .max_header_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(Io(Rc::clone(&socket))))
            .await;
        let (sender, connection) = handshake.map_err(|_| AttemptOutcome::Unreachable)?;
        tokio::task::spawn_local(connection);
        Ok(Self { sender, socket, address, idle_since: Instant::now() })
    }

    /// Returns whether the server has neither closed the connection nor sent unexpected bytes on it.
    pub(super) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !has_input(&self.socket.stream)
    }

    /// Returns the earliest time at which the connection may be reused.
    pub(super) fn reusable_at(&self) -> Instant {
        self.idle_since + MIN_REUSE_DELAY
    }
}

impl Drop for Connection {
    /// Shuts the socket down at once. hyper's task drops the socket only when it runs next, but the server
    /// must see the end of a cancelled attempt before the next attempt begins.
    fn drop(&mut self) {
        // This fails if the connection is closed already.
        let _ = SockRef::from(&self.socket.stream).shutdown(Shutdown::Both);
    }
}

/// A listed server. Attempts and probes in progress keep a reference to it after it has been removed.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// Unix time in milliseconds at which the server process started; `None` if the list does not give it.
    pub(super) started_at: Option<f64>,
    /// Whether the server may get new requests according to the list.
    ready: Cell<bool>,
    /// Idle connections, ordered by the time of their last use; the last used one is at the back.
    idle: RefCell<VecDeque<Connection>>,
}

impl Server {
    pub(super) fn new(address: SocketAddr, started_at: Option<f64>, ready: bool) -> Self {
        Self { address, started_at, ready: Cell::new(ready), idle: RefCell::default() }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Sets whether the server may get new requests. If not, its idle connections are closed.
    pub(super) fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
        if !ready {
            self.idle.borrow_mut().clear();
        }
    }

    /// Takes an idle connection that has been idle for less than `keep`: the last used one that may be reused
    /// now, or else the first one that may be reused within `max_wait`.
    pub(super) fn take_idle(&self, keep: Duration, max_wait: Duration) -> Option<Connection> {
        self.close_idle(keep);
        let mut idle = self.idle.borrow_mut();
        let reusable = idle.iter().rposition(|c| c.idle_since.elapsed() >= MIN_REUSE_DELAY);
        let first = idle.front().filter(|c| c.idle_since.elapsed() + max_wait >= MIN_REUSE_DELAY).map(|_| 0);
        let index = reusable.or(first)?;
        idle.remove(index)
    }

    /// Closes connections that have been idle for longer than `keep`.
    pub(super) fn close_idle(&self, keep: Duration) {
        let mut idle = self.idle.borrow_mut();
        let expired = idle.iter().position(|c| c.idle_since.elapsed() < keep).unwrap_or(idle.len());
        idle.drain(..expired);
    }

    /// Keeps a connection for a later request, if the server may get new requests.
    pub(super) fn keep(&self, mut connection: Connection) {
        if self.ready.get() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
    }

    /// Returns since when the longest idle connection has been idle; `None` if no connection is idle.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        self.idle.borrow().front().map(|connection| connection.idle_since)
    }

    /// Closes the longest idle connection, if there is one.
    pub(super) fn close_oldest(&self) {
        drop(self.idle.borrow_mut().pop_front());
    }
}
