//! One server's connections: the idle ones that are kept, and how one is established.

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

/// A connection is reused this long after an answer at the earliest. Bytes that a server sends after an answer,
/// such as a duplicate some milliseconds late, have arrived by then; the next request must not get them.
pub(super) const MIN_REUSE_DELAY: Duration = Duration::from_millis(20);
/// The longest head of an answer.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The right to one open socket; returned when it is dropped.
pub(super) struct SocketPermit(Rc<Cell<usize>>);

impl SocketPermit {
    /// Counts one more open socket. The caller has checked the limit.
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

/// A socket to a server, which its connection and hyper's task share.
struct ServerSocket {
    stream: TcpStream,
    _permit: SocketPermit,
}

impl socket::Socket for ServerSocket {
    fn stream(&self) -> &TcpStream {
        &self.stream
    }
}

/// A connection to a server.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    socket: Rc<ServerSocket>,
    pub(super) address: SocketAddr,
    pub(super) idle_since: Instant,
}

impl Connection {
    /// Establishes a connection.
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

    /// Whether the server has neither closed it nor sent unexpected bytes.
    pub(super) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && !has_input(&self.socket.stream)
    }

    /// From when on it may be reused.
    pub(super) fn reusable_at(&self) -> Instant {
        self.idle_since + MIN_REUSE_DELAY
    }
}

impl Drop for Connection {
    /// Ends it for the server now: hyper's task drops the socket only when it next runs, and an attempt that was
    /// cancelled must be over before the next begins.
    fn drop(&mut self) {
        // It fails where the connection is closed already.
        let _ = SockRef::from(&self.socket.stream).shutdown(Shutdown::Both);
    }
}

/// A server of the list. Attempts and probes in progress share it, also after it has been removed.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// When this process of it started, as Unix time in milliseconds.
    pub(super) started_at: Option<f64>,
    /// Whether the list allows new requests to it.
    ready: Cell<bool>,
    /// Idle connections; the one used last is at the back.
    idle: RefCell<VecDeque<Connection>>,
}

impl Server {
    pub(super) fn new(address: SocketAddr, started_at: Option<f64>, ready: bool) -> Self {
        Self { address, started_at, ready: Cell::new(ready), idle: RefCell::default() }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Sets whether it may get new requests; if not, its idle connections are closed.
    pub(super) fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
        if !ready {
            self.idle.borrow_mut().clear();
        }
    }

    /// Takes an idle connection that the server will not close soon: the last used of those that may be reused, else
    /// the first that may be reused within `max_wait`.
    pub(super) fn take_idle(&self, keep: Duration, max_wait: Duration) -> Option<Connection> {
        self.close_idle(keep);
        let mut idle = self.idle.borrow_mut();
        let reusable = idle.iter().rposition(|c| c.idle_since.elapsed() >= MIN_REUSE_DELAY);
        let soon = idle.front().filter(|c| c.idle_since.elapsed() + max_wait >= MIN_REUSE_DELAY).map(|_| 0);
        let index = reusable.or(soon)?;
        idle.remove(index)
    }

    /// Closes connections that have been idle for longer than `keep`.
    pub(super) fn close_idle(&self, keep: Duration) {
        let mut idle = self.idle.borrow_mut();
        let young = idle.iter().position(|c| c.idle_since.elapsed() < keep).unwrap_or(idle.len());
        idle.drain(..young);
    }

    /// Keeps a connection for the next request.
    pub(super) fn keep(&self, mut connection: Connection) {
        if self.ready.get() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push_back(connection);
        }
    }

    /// Since when its longest idle connection has been idle.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        self.idle.borrow().front().map(|connection| connection.idle_since)
    }

    /// Closes its longest idle connection.
    pub(super) fn close_oldest(&self) {
        drop(self.idle.borrow_mut().pop_front());
    }
}
