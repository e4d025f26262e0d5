//! The HTTP server for clients: connections are accepted here, and poem's endpoints respond to their requests.
//!
//! hyper serves the connections, not poem's own server, which goes on with a connection that has failed: a body that
//! was truncated then got a proper end, and work for a client that had left was not canceled.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::uri::Scheme;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Addr, Endpoint, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections of clients.
pub(super) struct HttpServer<E, I> {
    /// Responds to the requests.
    pub(super) endpoint: Arc<E>,
    /// Gives the idle timeout of a new connection: the next head must be received within this time.
    pub(super) idle_timeout: I,
    /// How long requests in flight may take after the last connection was accepted.
    pub(super) finish_timeout: Duration,
}

impl<E, I> HttpServer<E, I>
where
    E: Endpoint<Output = Response> + 'static,
    I: Fn() -> Duration,
{
    /// Accepts connections until `stop_accepting` is ready, then finishes the requests in flight.
    ///
    /// # Errors
    ///
    /// If the listener has no local address.
    pub(super) async fn serve(
        self,
        listener: TcpListener,
        stop_accepting: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let local = listener.local_addr()?;
        let stopping = watch::Sender::new(false);
        let mut connections = JoinSet::new();
        let mut stop_accepting = pin!(stop_accepting);
        loop {
            tokio::select! {
                () = &mut stop_accepting => break,
                // Frees the tasks of closed connections.
                Some(_) = connections.join_next() => {}
                accepted = listener.accept() => match accepted {
                    Ok((stream, remote)) => {
                        let idle_timeout = (self.idle_timeout)();
                        let connection = ClientConnection { stream, local, remote, idle_timeout };
                        connections.spawn(connection.serve(Arc::clone(&self.endpoint), stopping.subscribe()));
                    }
                    Err(error) => {
                        log::warn!("failed to accept a connection: {error}");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        }
        drop(listener);
        stopping.send_replace(true);
        self.finish(connections).await;
        Ok(())
    }

    /// Waits until all connections are closed. Those that are still open after `finish_timeout` are aborted, as the
    /// set of their tasks is dropped.
    async fn finish(self, mut connections: JoinSet<()>) {
        let all_closed = async { while connections.join_next().await.is_some() {} };
        if timeout(self.finish_timeout, all_closed).await.is_err() {
            log::warn!("client connections were still open at the end of the drain timeout");
        }
    }
}

/// A connection of a client.
struct ClientConnection {
    stream: TcpStream,
    local: SocketAddr,
    remote: SocketAddr,
    idle_timeout: Duration,
}

impl ClientConnection {
    /// Serves the connection until it is closed; the request in flight is the last one once `stopping` is true. If the
    /// client leaves, the work for it is canceled.
    async fn serve<E>(self, endpoint: Arc<E>, mut stopping: watch::Receiver<bool>)
    where
        E: Endpoint<Output = Response> + 'static,
    {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("failed to set TCP_NODELAY on a client connection: {error}");
        }
        let (local, remote) = (self.local, self.remote);
        let service = service_fn(move |request: hyper::Request<Incoming>| {
            let endpoint = Arc::clone(&endpoint);
            let local = LocalAddr(Addr::SocketAddr(local));
            let remote = RemoteAddr(Addr::SocketAddr(remote));
            async move {
                let request = (request, local, remote, Scheme::HTTP).into();
                let response = endpoint.get_response(request).await;
                Ok::<http::Response<_>, Infallible>(response.into())
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(self.idle_timeout);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(self.stream), service));
        let closed = tokio::select! {
            closed = connection.as_mut() => Some(closed),
            _ = stopping.wait_for(|stopping| *stopping) => None,
        };
        let closed = match closed {
            Some(closed) => closed,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = closed {
            log::debug!("client connection failed: {error}");
        }
    }
}
