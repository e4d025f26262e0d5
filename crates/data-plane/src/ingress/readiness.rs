//! The endpoint of the platform's readiness probes.

use http::StatusCode;
use poem::{Endpoint, Request, Response};

use crate::ingress::lifecycle::Ingress;

/// The path of the platform's readiness probes. All other paths of the endpoint respond with 404.
const READINESS_PATH: &str = "/api/ready";

/// Endpoint that responds to readiness probes: 200 if the node is ready, 503 if it isn't.
pub(super) struct ReadinessEndpoint(pub(super) Ingress);

impl Endpoint for ReadinessEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let status = match request.uri().path() {
            READINESS_PATH if self.0.is_ready() => StatusCode::OK,
            READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Ok(status.into())
    }
}
