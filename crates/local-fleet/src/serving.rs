//! HTTP listeners of the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use poem::IntoEndpoint;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::connections::{Connections, CuttableAcceptor};

/// A stand-in's listener; it and its connections end when this is dropped.
#[derive(Debug)]
pub struct Serving {
    address: SocketAddr,
    connections: Connections,
    _ends: oneshot::Sender<()>,
}

impl Serving {
    /// Serves `app` at `address` (port 0 takes a free one); its connections can be found in `connections`.
    pub async fn start(
        address: SocketAddr,
        connections: Connections,
        app: impl IntoEndpoint + Send + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let acceptor = CuttableAcceptor::new(listener, connections.clone())?;
        let (ends, ended) = oneshot::channel::<()>();
        tokio::spawn(async move {
            let until = async move {
                // The sender is never used: its end is the signal.
                let _ = ended.await;
            };
            let server = poem::Server::new_with_acceptor(acceptor);
            if let Err(error) = server.run_with_graceful_shutdown(app, until, Some(Duration::ZERO)).await {
                log::warn!("the listener at {address} ended: {error}");
            }
        });
        Ok(Self { address, connections, _ends: ends })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.connections.cut_all();
    }
}
