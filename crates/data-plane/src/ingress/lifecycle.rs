//! The ingress from start to end: serving, readiness, graceful shutdown.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use poem::listener::TcpAcceptor;
use poem::Server;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::forwarding::Forwarder;
use crate::ingress::endpoint::ClientEndpoint;
use crate::ingress::http_server::HttpServer;
use crate::ingress::readiness::ReadinessEndpoint;
use crate::ingress::settings::IngressSettings;

/// Requests in flight are finished this long before the drain timeout.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// The shortest idle timeout of a client's connection. The timeout of an open connection doesn't change, and the
/// operator may raise the limit meanwhile.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The idle timeout of a client's connection, as a multiple of the operator's limit: clients may reuse a connection
/// up to that limit, and must not find it closed then.
const IDLE_TIMEOUT_FACTOR: f64 = 1.25;

/// Serves requests of clients. Clones serve the same node.
#[derive(Clone)]
pub struct Ingress {
    shared: Arc<IngressShared>,
}

struct IngressShared {
    forwarder: Forwarder,
    settings: IngressSettings,
    draining: watch::Sender<bool>,
}

impl Ingress {
    /// Creates an ingress that forwards requests by `forwarder`.
    #[must_use]
    pub fn new(forwarder: Forwarder, settings: IngressSettings) -> Self {
        let draining = watch::Sender::new(false);
        Self { shared: Arc::new(IngressShared { forwarder, settings, draining }) }
    }

    /// Starts graceful shutdown: the node isn't ready any more, accepts connections for a while yet, and finishes the
    /// requests in flight. Then [`Self::serve`] returns.
    pub fn drain(&self) {
        self.shared.draining.send_replace(true);
    }

    /// Serves clients until the node has drained.
    ///
    /// # Errors
    ///
    /// If the listener has no local address.
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let IngressSettings { accept_while_draining, drain_timeout, .. } = self.shared.settings;
        let mut draining = self.shared.draining.subscribe();
        let stop_accepting = async move {
            // This fails only if the ingress is dropped, which is borrowed here.
            let _ = draining.wait_for(|draining| *draining).await;
            sleep(accept_while_draining).await;
        };
        let server = HttpServer {
            endpoint: Arc::new(ClientEndpoint(self.clone())),
            idle_timeout: || self.idle_timeout(),
            finish_timeout: drain_timeout.saturating_sub(accept_while_draining + SHUTDOWN_MARGIN),
        };
        server.serve(listener, stop_accepting).await
    }

    /// Serves the platform's readiness probes until the process ends.
    ///
    /// # Errors
    ///
    /// If the listener fails for good.
    pub async fn serve_ready(&self, listener: TcpListener) -> io::Result<()> {
        let acceptor = TcpAcceptor::from_tokio(listener)?;
        Server::new_with_acceptor(acceptor).run(ReadinessEndpoint(self.clone())).await
    }

    /// Whether the node is ready for requests of clients.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && (self.shared.settings.is_ready)()
    }

    pub(super) fn is_draining(&self) -> bool {
        *self.shared.draining.borrow()
    }

    pub(super) fn forwarder(&self) -> &Forwarder {
        &self.shared.forwarder
    }

    pub(super) fn settings(&self) -> &IngressSettings {
        &self.shared.settings
    }

    /// The idle timeout of a new connection.
    fn idle_timeout(&self) -> Duration {
        let configuration = self.shared.forwarder.configuration();
        let limit = configuration.map_or(Duration::ZERO, |configuration| configuration.limits().idle_timeout);
        limit.mul_f64(IDLE_TIMEOUT_FACTOR).max(MIN_IDLE_TIMEOUT)
    }
}
