//! The HTTP server for clients. It accepts connections and passes their requests to a poem endpoint.
//!
//! hyper serves the connections instead of poem's own server, which continues to use a failed connection:
//! with it, a truncated body ends like a complete one, and work for a disconnected client is not cancelled.

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

/// The delay before the next attempt to accept a connection after a failure, such as a lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// HTTP server that accepts connections of clients and serves their requests.
pub(super) struct HttpServer<E, I> {
    /// The endpoint that responds to all requests.
    pub(super) endpoint: Arc<E>,
    /// The function that returns the idle timeout of a new connection. The connection is closed if the
    /// complete head of the next request is not received within this time.
    pub(super) idle_timeout: I,
    /// The time that requests in flight may take after the server has stopped accepting connections.
    pub(super) finish_timeout: Duration,
}

impl<E, I> HttpServer<E, I>
where
    E: Endpoint<Output = Response> + 'static,
    I: Fn() -> Duration,
{
    /// Accepts connections until `stop_accepting` completes, then waits for the requests in flight.
    ///
    /// # Errors
    ///
    /// Fails if the local address of the listener can't be determined.
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
                // Releases the task of a closed connection.
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

    /// Waits until all connections are closed. Connections that are still open after `finish_timeout` are
    /// aborted, because dropping the `JoinSet` aborts their tasks.
    async fn finish(self, mut connections: JoinSet<()>) {
        let all_closed = async { while connections.join_next().await.is_some() {} };
        if timeout(self.finish_timeout, all_closed).await.is_err() {
            log::warn!("client connections were still open at the end of the drain timeout");
        }
    }
}

/// An accepted connection of a client, with both of its addresses and its idle timeout.
struct ClientConnection {
    stream: TcpStream,
    local: SocketAddr,
    remote: SocketAddr,
    idle_timeout: Duration,
}

impl ClientConnection {
    /// Serves the connection until it is closed. Once `stopping` is true, the connection is closed after the
    /// request in flight. If the client disconnects, the work for its request is cancelled.
    async fn serve<E>(self, endpoint: Arc<E>, mut stopping: watch::Receiver<bool>)
    where
        E: Endpoint<Output = Response> + 'static,
    {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("failed to set TCP_NODELAY on the connection of client {}: {error}", self.remote);
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
        let result = tokio::select! {
            result = connection.as_mut() => Some(result),
            _ = stopping.wait_for(|stopping| *stopping) => None,
        };
        let result = match result {
            Some(result) => result,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            log::debug!("the connection of client {remote} failed: {error}");
        }
    }
}
