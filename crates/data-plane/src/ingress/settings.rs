//! Settings of an ingress, and the callbacks with which it calls the process that runs it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use poem::{Request, Response};

/// Handler of requests that concern batch jobs: submitting, reading and ending a job, and reading an item.
pub trait JobEndpoint: Send + Sync {
    /// Responds to a request. Failures are responses with an error status.
    fn handle(&self, request: Request) -> BoxFuture<'_, Response>;
}

/// A condition of the process. It is evaluated for each readiness probe or for each request without a route,
/// so it must be cheap.
pub type ConditionCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Settings of an ingress, and the parts of the process that it calls.
pub struct IngressSettings {
    /// The handler of requests that concern batch jobs.
    pub jobs: Arc<dyn JobEndpoint>,
    /// Whether the process is ready for requests of clients. A draining ingress is not ready in any case.
    pub is_ready: ConditionCheck,
    /// Whether the configuration was recently confirmed to be the newest. Only then does a request without a
    /// route receive 404; otherwise it receives 503, as a newer configuration may have a route for it.
    pub is_configuration_confirmed: ConditionCheck,
    /// The time for which new connections are accepted after [`Ingress::drain`](super::Ingress::drain).
    /// Clients still open connections until two readiness probes of the platform have failed: 2.5 s if it
    /// probes once per second.
    pub accept_while_draining: Duration,
    /// The time from [`Ingress::drain`](super::Ingress::drain) until every response must be sent.
    pub drain_timeout: Duration,
}
