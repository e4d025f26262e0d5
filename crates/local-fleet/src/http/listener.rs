//! The HTTP listener of an emulator.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use poem::IntoEndpoint;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::connections::{AbortableAcceptor, Connections};

/// Serves HTTP until it is dropped; dropping it also aborts its connections.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    connections: Connections,
    /// Dropping the sender shuts the listener down.
    _shutdown: oneshot::Sender<()>,
}

impl HttpListener {
    /// Serves `app` at `address` (port 0 selects a free port) and registers the connections in `connections`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        connections: Connections,
        app: impl IntoEndpoint + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let acceptor = AbortableAcceptor::new(listener, connections.clone())?;
        let (shutdown, on_shutdown) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let shutdown_requested = async move {
                // Nothing is ever sent: the channel closes when the sender is dropped.
                let _ = on_shutdown.await;
            };
            let server = poem::Server::new_with_acceptor(acceptor);
            if let Err(error) =
                server.run_with_graceful_shutdown(app, shutdown_requested, Some(Duration::ZERO)).await
            {
                log::warn!("HTTP listener at {address} failed: {error}");
            }
        });
        Ok(Self { address, connections, _shutdown: shutdown })
    }

    /// Returns the address that the listener is bound to, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.connections.abort_all();
    }
}
