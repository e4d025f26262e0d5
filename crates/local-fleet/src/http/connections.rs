//! Connections that can be aborted in the middle of a response.
//!
//! When the stream of a chunked body ends with an error, poem's server still writes the final chunk, and the
//! client considers the response complete. A server that truncates a response therefore aborts the connection
//! first.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use poem::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Open connections, by the socket address of the peer.
type ConnectionsByPeer = Arc<Mutex<HashMap<SocketAddr, Connection>>>;

/// A handle to a connection; clones refer to the same connection.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    is_aborted: Arc<AtomicBool>,
}

impl Connection {
    /// Makes every further read and write of the connection fail.
    pub fn abort(&self) {
        self.is_aborted.store(true, Ordering::Relaxed);
    }

    /// Fails if the connection was aborted.
    fn check(&self) -> io::Result<()> {
        if self.is_aborted.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// The open connections of a listener; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    by_peer: ConnectionsByPeer,
}

impl Connections {
    fn by_peer(&self) -> MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.by_peer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection on which a request arrived; an unconnected handle if it is closed already.
    pub fn of_request(&self, request: &Request) -> Connection {
        let peer = request.remote_addr().as_socket_addr();
        peer.and_then(|peer| self.by_peer().get(peer).cloned()).unwrap_or_default()
    }

    /// Aborts all connections.
    pub fn abort_all(&self) {
        self.by_peer().values().for_each(Connection::abort);
    }
}

/// Accepts connections that can be aborted.
pub struct AbortableAcceptor {
    inner: TcpAcceptor,
    connections: Connections,
}

impl AbortableAcceptor {
    /// Returns an acceptor that registers its connections in `connections`.
    pub fn new(listener: TcpListener, connections: Connections) -> io::Result<Self> {
        Ok(Self { inner: TcpAcceptor::from_tokio(listener)?, connections })
    }
}

impl Acceptor for AbortableAcceptor {
    type Io = AbortableStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        let (socket, local, remote, scheme) = self.inner.accept().await?;
        socket.set_nodelay(true)?;
        let peer = socket.peer_addr()?;
        let connection = Connection::default();
        self.connections.by_peer().insert(peer, connection.clone());
        let stream = AbortableStream { socket, peer, connection, connections: self.connections.clone() };
        Ok((stream, local, remote, scheme))
    }
}

/// The byte stream of a connection that can be aborted; it unregisters the connection when it is dropped.
pub struct AbortableStream {
    socket: TcpStream,
    peer: SocketAddr,
    connection: Connection,
    connections: Connections,
}

impl Drop for AbortableStream {
    fn drop(&mut self) {
        self.connections.by_peer().remove(&self.peer);
    }
}

impl AsyncRead for AbortableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.check()?;
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for AbortableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.check()?;
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.check()?;
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
