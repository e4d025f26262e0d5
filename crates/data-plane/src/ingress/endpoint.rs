//! Routing of clients' requests. A request is handled by the endpoint for batch jobs, forwarded to a server,
//! or answered by the node itself.

use std::sync::Arc;
use std::time::Duration;

use configuration::{Configuration, ConfigurationLimits, Route, RouteKind};
use http::header::{HeaderMap, HeaderValue, CONNECTION, HOST};
use http::{Method, StatusCode};
use poem::{Endpoint, Request, Response};
use tokio::time::Instant;

use crate::headers::{header_text, TIME_LEFT};
use crate::ingress::lifecycle::Ingress;
use crate::ingress::request_reader::read_request;
use crate::response::ClientResponse;

/// Prefixes of the paths under which batch jobs and their items are read and ended. They need no route.
const JOB_PREFIXES: [&str; 2] = ["/api/lots/", "/api/items/"];
/// The `Retry-After` that a client receives while the configuration is missing or may be outdated.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(200);

/// The endpoint for all requests of clients.
pub(super) struct ClientEndpoint(pub(super) Ingress);

impl Endpoint for ClientEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let mut response = self.respond(request).await;
        if self.0.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

impl ClientEndpoint {
    /// Routes a request. Responds with 503 if there is no configuration yet, or if no route matches and the
    /// configuration may be outdated.
    async fn respond(&self, request: Request) -> Response {
        let Some(configuration) = self.0.forwarder().configuration() else {
            return ClientResponse::not_executed(NO_CONFIGURATION_RETRY_AFTER).into();
        };
        if JOB_PREFIXES.iter().any(|prefix| request.uri().path().starts_with(prefix)) {
            return self.0.settings().jobs.handle(request).await;
        }
        let Some(route) = find_route(&configuration, &request) else {
            return self.no_route_response().into();
        };
        match route.kind {
            RouteKind::Rollout | RouteKind::Batch if request.method() == Method::POST => {
                self.0.settings().jobs.handle(request).await
            }
            RouteKind::Rollout | RouteKind::Batch => {
                ClientResponse::from_node(StatusCode::METHOD_NOT_ALLOWED).into()
            }
            _ => self.forward(route, configuration.limits(), request).await.into(),
        }
    }

    /// Returns 404 if the configuration is confirmed to be the newest, else 503, as a newer configuration may
    /// have a route for the request.
    fn no_route_response(&self) -> ClientResponse {
        if (self.0.settings().is_configuration_confirmed)() {
            ClientResponse::from_node(StatusCode::NOT_FOUND)
        } else {
            ClientResponse::not_executed(NO_CONFIGURATION_RETRY_AFTER)
        }
    }

    /// Reads a request and forwards it to a server of its route. Responds with an error status if the request
    /// exceeds a limit or can't be forwarded.
    async fn forward(
        &self,
        route: &Arc<Route>,
        limits: &ConfigurationLimits,
        request: Request,
    ) -> ClientResponse {
        let deadline = Instant::now() + time_left(route, request.headers());
        let request = match read_request(request, limits, deadline).await {
            Ok(request) => Arc::new(request),
            Err(error) => return ClientResponse::from_node(error.status()),
        };
        if route.kind == RouteKind::Stream {
            return self.0.forwarder().forward_stream(route, request, deadline).await;
        }
        let is_idempotent = route.kind == RouteKind::Safe;
        self.0.forwarder().forward_buffered(route, request, is_idempotent, deadline).await.response
    }
}

/// Returns the route for a request; `None` if no route matches or the request has no `Host` header.
fn find_route<'a>(configuration: &'a Configuration, request: &Request) -> Option<&'a Arc<Route>> {
    let host = header_text(request.headers(), &HOST)?;
    configuration.route(host, request.uri().path())
}

/// Returns the time until the response must be sent: the client's `Time-Left-Ms`, limited to the timeout of
/// the route.
fn time_left(route: &Route, headers: &HeaderMap) -> Duration {
    let millis = header_text(headers, &TIME_LEFT).and_then(|left| left.trim().parse().ok());
    millis.map_or(route.timeout, |millis| Duration::from_millis(millis).min(route.timeout))
}
