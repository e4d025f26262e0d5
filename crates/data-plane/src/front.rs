//! The clients' side of a node.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use configuration::{Configuration, ConfigurationLimits, Route, RouteKind};
use futures_util::future::BoxFuture;
use http::header::{HeaderMap, HeaderValue, CONNECTION, HOST};
use http::{Method, StatusCode};
use poem::error::ReadBodyError;
use poem::listener::TcpAcceptor;
use poem::{Endpoint, Request, Response, Server};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout_at, Instant};

use crate::answer::ClientResponse;
use crate::call::{end_to_end, Call, ATTEMPT_ID, TIME_LEFT};
use crate::connections;
use crate::sender::Sender;

/// Calls on batch jobs and their items.
const JOB_PREFIXES: [&str; 2] = ["/api/lots/", "/api/items/"];
/// Where the platform asks whether the node is ready.
const READY_PATH: &str = "/api/ready";
/// What is held is finished so long before the end of the time that the node is given.
const END_MARGIN: Duration = Duration::from_millis(300);
/// When a client is asked to come back while there is no configuration.
const COME_BACK: Duration = Duration::from_millis(200);
/// A connection may rest for this long at least, as the operator's limit may rise while it is open.
const IDLE_LEAST: Duration = Duration::from_secs(30);
/// A connection may rest for so many times the operator's limit.
const IDLE_MARGIN: f64 = 1.25;
/// Bytes of a line of the head beside name and value.
const HEADER_OVERHEAD: usize = 4;

/// Serves calls on batch jobs.
pub trait JobEndpoint: Send + Sync {
    /// Answers a call.
    fn handle(&self, request: Request) -> BoxFuture<'_, Response>;
}

/// A condition that is looked up whenever it matters.
pub type ReadinessCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// What the front needs beside a sender.
pub struct FrontSettings {
    /// Serves calls on batch jobs.
    pub jobs: Arc<dyn JobEndpoint>,
    /// Whether the node wants clients.
    pub is_ready: ReadinessCheck,
    /// Whether the configuration is known to be the newest; only then is a path without route answered 404.
    pub is_confirmed: ReadinessCheck,
    /// After the call of [`Front::drain`], new connections are taken for this long, as they still come until the
    /// platform has seen two misses; 2.5 s where it asks once a second.
    pub still_coming: Duration,
    /// The time from the call of [`Front::drain`] until every answer must be out.
    pub grace: Duration,
}

/// Takes requests from clients. Clones serve the same node.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

struct Shared {
    sender: Sender,
    settings: FrontSettings,
    draining: watch::Sender<bool>,
}

impl Front {
    /// A front that sends by `sender`.
    #[must_use]
    pub fn new(sender: Sender, settings: FrontSettings) -> Self {
        Self { shared: Arc::new(Shared { sender, settings, draining: watch::Sender::new(false) }) }
    }

    /// Begins the end: the node is not ready any more, takes what still comes for a moment, and finishes what it
    /// holds. [`Self::serve`] returns then.
    pub fn drain(&self) {
        self.shared.draining.send_replace(true);
    }

    /// Serves clients until the node has drained.
    ///
    /// # Errors
    ///
    /// When the listener fails for good.
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let settings = &self.shared.settings;
        let still_coming = settings.still_coming;
        let finish = settings.grace.saturating_sub(still_coming + END_MARGIN);
        let mut draining = self.shared.draining.subscribe();
        let stop_accepting = async move {
            // The sender lives as long as this front.
            let _ = draining.wait_for(|draining| *draining).await;
            sleep(still_coming).await;
        };
        let idle = || self.idle_time();
        connections::serve(listener, FrontEndpoint(self.clone()), idle, stop_accepting, finish).await
    }

    /// How long a new connection may rest.
    fn idle_time(&self) -> Duration {
        let configuration = self.shared.sender.configuration();
        let told = configuration.map_or(Duration::ZERO, |configuration| configuration.limits().idle);
        told.mul_f64(IDLE_MARGIN).max(IDLE_LEAST)
    }

    /// Serves the platform's question whether the node is ready, until the process ends.
    ///
    /// # Errors
    ///
    /// When the listener fails for good.
    pub async fn serve_ready(&self, listener: TcpListener) -> io::Result<()> {
        Server::new_with_acceptor(TcpAcceptor::from_tokio(listener)?).run(ReadyEndpoint(self.clone())).await
    }

    /// Whether the node calls itself ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && (self.shared.settings.is_ready)()
    }

    fn is_draining(&self) -> bool {
        *self.shared.draining.borrow()
    }

    async fn answer(&self, request: Request) -> Response {
        let Some(configuration) = self.shared.sender.configuration() else {
            return ClientResponse::not_run(COME_BACK).into();
        };
        if JOB_PREFIXES.iter().any(|prefix| request.uri().path().starts_with(prefix)) {
            return self.shared.settings.jobs.handle(request).await;
        }
        let Some(route) = find_route(&configuration, &request) else {
            return self.no_route().into();
        };
        match route.kind {
            RouteKind::Rollout | RouteKind::Batch if request.method() == Method::POST => {
                self.shared.settings.jobs.handle(request).await
            }
            RouteKind::Rollout | RouteKind::Batch => {
                ClientResponse::own(StatusCode::METHOD_NOT_ALLOWED).into()
            }
            _ => self.forward(route, configuration.limits(), request).await.into(),
        }
    }

    fn no_route(&self) -> ClientResponse {
        if (self.shared.settings.is_confirmed)() {
            ClientResponse::own(StatusCode::NOT_FOUND)
        } else {
            ClientResponse::not_run(COME_BACK)
        }
    }

    async fn forward(
        &self,
        route: &Arc<Route>,
        limits: &ConfigurationLimits,
        request: Request,
    ) -> ClientResponse {
        let deadline = Instant::now() + time_left(route, request.headers());
        let call = match read(request, limits, deadline).await {
            Ok(call) => Arc::new(call),
            Err(status) => return ClientResponse::own(status),
        };
        match route.kind {
            RouteKind::Stream => self.shared.sender.stream(route, call, deadline).await,
            _ => {
                let may_repeat = route.kind == RouteKind::Safe;
                self.shared.sender.plain(route, call, may_repeat, deadline).await.answer
            }
        }
    }
}

fn find_route<'a>(configuration: &'a Configuration, request: &Request) -> Option<&'a Arc<Route>> {
    let host = request.headers().get(HOST)?.to_str().ok()?;
    configuration.route(host, request.uri().path())
}

/// The time that the client and the route give.
fn time_left(route: &Route, headers: &HeaderMap) -> Duration {
    let told = headers.get(TIME_LEFT).and_then(|left| left.to_str().ok()?.trim().parse().ok());
    told.map_or(route.timeout, |left| Duration::from_millis(left).min(route.timeout))
}

/// Reads a whole request; otherwise gives the status to refuse it with.
async fn read(
    mut request: Request,
    limits: &ConfigurationLimits,
    deadline: Instant,
) -> Result<Call, StatusCode> {
    if head_bytes(&request) > limits.head_bytes {
        return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    if !request.headers().contains_key(ATTEMPT_ID) {
        return Err(StatusCode::BAD_REQUEST);
    }
    let body = read_body(&mut request, limits, deadline).await?;
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let headers = end_to_end(request.headers());
    let call = Call { method: request.method().clone(), target, headers, body };
    if call.is_sendable() {
        Ok(call)
    } else {
        Err(StatusCode::BAD_REQUEST)
    }
}

fn head_bytes(request: &Request) -> u64 {
    let line = |(name, value): (&http::HeaderName, &HeaderValue)| {
        (name.as_str().len() + value.len() + HEADER_OVERHEAD) as u64
    };
    request.headers().iter().map(line).sum()
}

async fn read_body(
    request: &mut Request,
    limits: &ConfigurationLimits,
    deadline: Instant,
) -> Result<Bytes, StatusCode> {
    let most = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let body = request.take_body().into_bytes_limit(most);
    match timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

struct FrontEndpoint(Front);

impl Endpoint for FrontEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let mut response = self.0.answer(request).await;
        if self.0.is_draining() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

struct ReadyEndpoint(Front);

impl Endpoint for ReadyEndpoint {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let status = match request.uri().path() {
            READY_PATH if self.0.is_ready() => StatusCode::OK,
            READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Ok(status.into())
    }
}
