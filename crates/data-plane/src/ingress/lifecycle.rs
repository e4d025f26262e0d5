//! The lifecycle of the ingress: serving clients, readiness, graceful shutdown.

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

/// The time before the end of the drain timeout at which requests that are still in flight are aborted.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// The minimum idle timeout of a client's connection. The operator may raise the configured limit while a
/// connection is open, but the timeout of an open connection can't be changed.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The idle timeout of a client's connection, as a multiple of the operator's limit. Clients may reuse an
/// idle connection up to that limit, so the node must keep it open for longer.
const IDLE_TIMEOUT_FACTOR: f64 = 1.25;

/// Ingress of a node, which serves requests of clients. Clones share the forwarder, the settings and the
/// draining state.
#[derive(Clone)]
pub struct Ingress {
    shared: Arc<IngressShared>,
}

/// The state that all clones of an ingress share.
struct IngressShared {
    forwarder: Forwarder,
    settings: IngressSettings,
    /// Whether graceful shutdown has started. Never becomes `false` again.
    draining: watch::Sender<bool>,
}

impl Ingress {
    /// Creates an ingress that forwards requests through `forwarder`.
    #[must_use]
    pub fn new(forwarder: Forwarder, settings: IngressSettings) -> Self {
        let draining = watch::Sender::new(false);
        Self { shared: Arc::new(IngressShared { forwarder, settings, draining }) }
    }

    /// Starts graceful shutdown. The node is no longer ready, accepts connections for
    /// [`IngressSettings::accept_while_draining`], and then completes the requests in flight. Then
    /// [`Self::serve`] returns.
    pub fn drain(&self) {
        self.shared.draining.send_replace(true);
    }

    /// Serves clients until [`Self::drain`] is called and the graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// Fails if the local address of the listener can't be determined.
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let IngressSettings { accept_while_draining, drain_timeout, .. } = self.shared.settings;
        let mut draining = self.shared.draining.subscribe();
        let stop_accepting = async move {
            // Fails only if the sender is dropped, which is impossible while `serve` borrows the ingress.
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
    /// Fails if the listener fails permanently.
    pub async fn serve_ready(&self, listener: TcpListener) -> io::Result<()> {
        let acceptor = TcpAcceptor::from_tokio(listener)?;
        Server::new_with_acceptor(acceptor).run(ReadinessEndpoint(self.clone())).await
    }

    /// Whether the node is ready for requests of clients: it is not draining, and
    /// [`IngressSettings::is_ready`] is true.
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

    /// Returns the idle timeout for a new connection, according to the configuration in force.
    fn idle_timeout(&self) -> Duration {
        let configuration = self.shared.forwarder.configuration();
        let limit = configuration.map_or(Duration::ZERO, |configuration| configuration.limits().idle_timeout);
        limit.mul_f64(IDLE_TIMEOUT_FACTOR).max(MIN_IDLE_TIMEOUT)
    }
}
