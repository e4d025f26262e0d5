//! Connections that can be cut in the middle of an answer.
//!
//! When the stream of a chunked body ends with an error, poem's server still writes the last chunk, so that the
//! answer looks complete. A server that is to break off therefore cuts the connection beneath it first.

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

type Handles = Arc<Mutex<HashMap<SocketAddr, Connection>>>;

/// A handle of a connection.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    cut: Arc<AtomicBool>,
}

impl Connection {
    /// Lets nothing more through.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        if self.cut.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// The open connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    handles: Handles,
}

impl Connections {
    fn handles(&self) -> MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection that a request came on.
    pub fn of(&self, request: &Request) -> Connection {
        let peer = request.remote_addr().as_socket_addr();
        peer.and_then(|peer| self.handles().get(peer).cloned()).unwrap_or_default()
    }

    /// Lets nothing more through on any connection.
    pub fn cut_all(&self) {
        self.handles().values().for_each(Connection::cut);
    }
}

/// Accepts connections that can be cut.
pub struct CuttableAcceptor {
    inner: TcpAcceptor,
    connections: Connections,
}

impl CuttableAcceptor {
    /// An acceptor that notes its connections in `connections`.
    pub fn new(listener: TcpListener, connections: Connections) -> io::Result<Self> {
        Ok(Self { inner: TcpAcceptor::from_tokio(listener)?, connections })
    }
}

impl Acceptor for CuttableAcceptor {
    type Io = CuttableStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        let (socket, local, remote, scheme) = self.inner.accept().await?;
        socket.set_nodelay(true)?;
        let peer = socket.peer_addr()?;
        let connection = Connection::default();
        self.connections.handles().insert(peer, connection.clone());
        let stream = CuttableStream { socket, peer, connection, connections: self.connections.clone() };
        Ok((stream, local, remote, scheme))
    }
}

/// A connection that can be cut.
pub struct CuttableStream {
    socket: TcpStream,
    peer: SocketAddr,
    connection: Connection,
    connections: Connections,
}

impl Drop for CuttableStream {
    fn drop(&mut self) {
        self.connections.handles().remove(&self.peer);
    }
}

impl AsyncRead for CuttableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.connection.check()?;
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for CuttableStream {
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
