//! Settings of an ingress, and its interface to the process that runs it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use poem::{Request, Response};

/// Serves requests that concern batch jobs: submission, reading and ending of jobs, and reading of items.
pub trait JobEndpoint: Send + Sync {
    /// Responds to a request.
    fn handle(&self, request: Request) -> BoxFuture<'_, Response>;
}

/// A condition of the process. It is evaluated for each readiness probe and each request without a route, so it must
/// be cheap.
pub type ReadinessCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Settings of an ingress, and the parts of the process that it calls.
pub struct IngressSettings {
    /// Serves requests that concern batch jobs.
    pub jobs: Arc<dyn JobEndpoint>,
    /// Whether the node is ready for requests of clients.
    pub is_ready: ReadinessCheck,
    /// Whether the configuration was recently confirmed to be the newest. Only then is a path without a route
    /// answered with 404.
    pub is_configuration_confirmed: ReadinessCheck,
    /// After [`Ingress::drain`](super::Ingress::drain), new connections are accepted for this long, as they still come until
    /// the platform has seen two failed probes: 2.5 s if it probes once a second.
    pub accept_while_draining: Duration,
    /// The time from [`Ingress::drain`](super::Ingress::drain) until every response must be sent.
    pub drain_timeout: Duration,
}
