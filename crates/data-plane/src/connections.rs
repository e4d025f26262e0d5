//! Clients' connections.
//!
//! The requests are poem's, but not the loop that serves a connection: poem's server goes on with a connection
//! that has failed. Then a body that was broken off gets a proper end, and the work for a client that has left
//! is not given up.

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

/// After a failure to accept, for want of descriptors say, the next attempt waits for this long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves connections until `stop_accepting` is ready, then finishes what has begun for `finish` at most.
pub(crate) async fn serve<E>(
    listener: TcpListener,
    endpoint: E,
    idle: impl Fn() -> Duration,
    stop_accepting: impl Future<Output = ()>,
    finish: Duration,
) -> io::Result<()>
where
    E: Endpoint<Output = Response> + 'static,
{
    let local = listener.local_addr()?;
    let endpoint = Arc::new(endpoint);
    let stopping = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    let mut stop_accepting = pin!(stop_accepting);
    loop {
        tokio::select! {
            () = &mut stop_accepting => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, remote)) => {
                    let connection = Connection { stream, local, remote, idle: idle() };
                    connections.spawn(connection.serve(Arc::clone(&endpoint), stopping.subscribe()));
                }
                Err(error) => {
                    log::warn!("no connection accepted: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
    drop(listener);
    stopping.send_replace(true);
    let all_over = async { while connections.join_next().await.is_some() {} };
    if timeout(finish, all_over).await.is_err() {
        log::warn!("connections were still at work at the end of the time that is given");
    }
    Ok(())
}

struct Connection {
    stream: TcpStream,
    local: SocketAddr,
    remote: SocketAddr,
    idle: Duration,
}

impl Connection {
    /// Serves one connection to its end. When its client leaves, what is done for it is dropped.
    async fn serve<E>(self, endpoint: Arc<E>, mut stopping: watch::Receiver<bool>)
    where
        E: Endpoint<Output = Response> + 'static,
    {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("a connection without nodelay: {error}");
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
        builder.timer(TokioTimer::new()).header_read_timeout(self.idle);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(self.stream), service));
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            _ = stopping.wait_for(|stopping| *stopping) => None,
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("a client's connection ended: {error}");
        }
    }
}
