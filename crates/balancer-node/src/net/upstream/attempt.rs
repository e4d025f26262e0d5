//! Attempts and probes. Each is one HTTP exchange with a server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Method, Request, Response, StatusCode, Uri};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

use super::connection::{Connection, Server, MIN_REUSE_DELAY};
use super::{Upstream, MAX_BODY_BYTES};
use crate::net::load_report::parse_load_report;
use crate::{AttemptOutcome, LoadReport, ServerId};

/// Fraction of a request's remaining time for which it waits until a kept connection may be reused, instead
/// of dialing a new one. The wait counts as latency: with 1/16, the nodes of small deployments rejected most
/// requests of the lowest value.
const MAX_REUSE_WAIT_FRACTION: f64 = 1.0 / 64.0;
/// Fraction of a request's remaining time within which a connection must be established. The rest leaves time
/// for another attempt.
const MAX_DIAL_FRACTION: f64 = 0.25;
/// Maximum number of dials of one attempt. Further dials run in parallel with a late one; connections that
/// are established later are kept for other requests.
const MAX_DIALS: usize = 3;

/// A client's request in the form that is forwarded to servers. Only its deadline is rewritten for each
/// attempt.
pub struct ForwardedRequest {
    /// Method of the client's request.
    pub method: Method,
    /// Path and query of the client's request, without scheme and authority.
    pub uri: Uri,
    /// Header fields of the client's request that are forwarded.
    pub headers: HeaderMap,
    /// Body of the client's request.
    pub body: Bytes,
    /// Time at which the node stops waiting for a server's response.
    pub expires_at: Instant,
}

impl ForwardedRequest {
    /// Returns the `X-Request-Id` that the client has set.
    pub fn client_id(&self) -> &HeaderValue {
        &self.headers["x-request-id"]
    }

    /// Returns the time until the node stops waiting for a response; zero if it has passed.
    fn time_left(&self) -> Duration {
        self.expires_at.saturating_duration_since(Instant::now())
    }

    /// Builds the HTTP request of an attempt, whose `X-Deadline` is the time left.
    fn to_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let deadline = format!("{:.3}", self.time_left().as_secs_f64()).parse().expect("digits");
        request.headers_mut().insert("x-deadline", deadline);
        request
    }
}

/// Whether a server may have received an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// No byte of the request has been sent.
    NotSent,
    /// Some bytes of the request may have been sent.
    MaybeSent,
    /// No byte has been sent and none may be sent any more, since the client has disconnected.
    Abandoned,
}

/// Result of an attempt or a probe.
pub struct ServerReply {
    /// Outcome for the decision logic.
    pub outcome: AttemptOutcome,
    /// Load report in the response; `None` if it has none or a malformed one.
    pub report: Option<LoadReport>,
    /// Complete body of the response if the outcome is [`AttemptOutcome::Served`], else `None`.
    pub body: Option<Bytes>,
}

impl ServerReply {
    /// Creates the result of an attempt without a response.
    pub fn without_answer(outcome: AttemptOutcome) -> Self {
        Self { outcome, report: None, body: None }
    }
}

/// Makes one attempt of a request, from selecting a connection to the complete response. `state` shows
/// whether the request may have been sent. A request that cannot be sent by `send_by` is not sent at all.
/// When this returns, the attempt is no longer in progress: its connection is idle or closed.
pub async fn attempt(
    upstream: &Upstream,
    server: ServerId,
    request: &ForwardedRequest,
    send_by: Option<Instant>,
    state: &Cell<SendState>,
    cancelled: oneshot::Receiver<()>,
) -> ServerReply {
    let interrupted = |outcome| {
        ServerReply::without_answer(match state.get() {
            SendState::MaybeSent => outcome,
            SendState::NotSent | SendState::Abandoned => AttemptOutcome::NotSent,
        })
    };
    let message = Message::Request { request, send_by };
    // The exchange owns the connection: dropping the exchange before this returns closes the connection.
    tokio::select! {
        biased;
        reply = exchange(upstream, server, &message, state) => reply,
        Ok(()) = cancelled => interrupted(AttemptOutcome::Cancelled),
        () = sleep_until(request.expires_at) => interrupted(AttemptOutcome::TimedOut),
    }
}

/// Probes a server: requests its load report.
pub async fn probe(upstream: &Upstream, server: ServerId) -> ServerReply {
    let state = Cell::new(SendState::NotSent);
    let exchange = exchange(upstream, server, &Message::Probe, &state);
    let reply = timeout(upstream.dial_timeout(), exchange).await;
    let mut reply = reply.unwrap_or_else(|_| ServerReply::without_answer(AttemptOutcome::TimedOut));
    if let Some(body) = reply.body.take() {
        reply.report = std::str::from_utf8(&body).ok().and_then(parse_load_report).or(reply.report);
    }
    reply
}

/// A message to a server.
enum Message<'a> {
    /// A client's request, which must not be sent after `send_by`.
    Request { request: &'a ForwardedRequest, send_by: Option<Instant> },
    /// A request for the load report.
    Probe,
}

impl Message<'_> {
    /// Returns how long to wait until a kept connection may be reused, before a new connection is dialed
    /// instead.
    fn max_reuse_wait(&self) -> Duration {
        match self {
            Self::Request { request, .. } => request.time_left().mul_f64(MAX_REUSE_WAIT_FRACTION),
            Self::Probe => MIN_REUSE_DELAY,
        }
    }

    /// Returns how many dials may be made for the message.
    fn max_dials(&self) -> usize {
        match self {
            Self::Request { .. } => MAX_DIALS,
            Self::Probe => 1,
        }
    }

    /// Returns the time within which a new connection must be established.
    fn dial_timeout(&self, upstream: &Upstream) -> Duration {
        let Self::Request { request, send_by } = self else { return upstream.dial_timeout() };
        let limit = request.time_left().mul_f64(MAX_DIAL_FRACTION).min(upstream.dial_timeout());
        send_by.map_or(limit, |send_by| limit.min(send_by.saturating_duration_since(Instant::now())))
    }

    /// Returns whether the message may still be sent. Since the decision, the time limit may have passed, and
    /// the server may have begun to drain: it must not get new requests then.
    fn may_be_sent(&self, server: &Server, state: SendState) -> bool {
        state != SendState::Abandoned
            && match self {
                Self::Request { send_by, .. } => {
                    server.is_ready() && send_by.is_none_or(|send_by| Instant::now() < send_by)
                }
                Self::Probe => true,
            }
    }

    fn to_request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        match self {
            Self::Request { request, .. } => request.to_request(),
            Self::Probe => {
                let request = Request::get("/_load").header("host", address.to_string());
                request.body(Full::default()).expect("a valid request")
            }
        }
    }
}

/// Sends a message and reads the response. If a kept connection turns out to be closed by the server before
/// anything was written, the message is sent on another connection.
async fn exchange(
    upstream: &Upstream,
    server: ServerId,
    message: &Message<'_>,
    state: &Cell<SendState>,
) -> ServerReply {
    // The server may have been removed since the decision.
    let Some(server) = upstream.server(server) else {
        return ServerReply::without_answer(AttemptOutcome::NotSent);
    };
    loop {
        let (connection, reused) = match obtain_connection(upstream, &server, message).await {
            Ok(obtained) => obtained,
            Err(outcome) => return ServerReply::without_answer(outcome),
        };
        match send(&server, connection, reused, message, state).await {
            SendOutcome::Reply(reply) => return reply,
            SendOutcome::Unusable if reused => {}
            SendOutcome::Unusable => return ServerReply::without_answer(AttemptOutcome::Unreachable),
        }
    }
}

/// Returns a kept connection or a new one, and whether it is a kept one.
async fn obtain_connection(
    upstream: &Upstream,
    server: &Rc<Server>,
    message: &Message<'_>,
) -> Result<(Connection, bool), AttemptOutcome> {
    match upstream.idle_connection(server, message.max_reuse_wait()) {
        Some(connection) => {
            sleep_until(connection.reusable_at()).await;
            Ok((connection, true))
        }
        None => {
            let timeout = message.dial_timeout(upstream);
            Ok((upstream.connect(server, timeout, message.max_dials()).await?, false))
        }
    }
}

/// Result of sending a message on one connection.
enum SendOutcome {
    /// The message may have been sent, or must not be sent any more.
    Reply(ServerReply),
    /// The connection is closed or has unexpected input, and nothing was written.
    Unusable,
}

/// Sends a message on a connection and reads the response. After a complete response the connection is kept.
async fn send(
    server: &Server,
    mut connection: Connection,
    reused: bool,
    message: &Message<'_>,
    state: &Cell<SendState>,
) -> SendOutcome {
    if connection.sender.ready().await.is_err() || reused && !connection.is_usable() {
        return SendOutcome::Unusable;
    }
    if !message.may_be_sent(server, state.get()) {
        return SendOutcome::Reply(ServerReply::without_answer(AttemptOutcome::NotSent));
    }
    state.set(SendState::MaybeSent);
    match connection.sender.try_send_request(message.to_request(connection.address)).await {
        Ok(response) => {
            let (reply, complete) = read_response(response).await;
            if complete {
                server.keep(connection);
            }
            SendOutcome::Reply(reply)
        }
        // A request that hyper returns was never written; any other request may have been.
        Err(mut error) => match error.take_message() {
            Some(_) => {
                state.set(SendState::NotSent);
                SendOutcome::Unusable
            }
            None => SendOutcome::Reply(ServerReply::without_answer(AttemptOutcome::Reset)),
        },
    }
}

/// Reads a response and returns whether it is complete. Only a complete response proves an outcome and allows
/// keeping the connection. If the server requests it, hyper closes the connection.
async fn read_response(response: Response<Incoming>) -> (ServerReply, bool) {
    let (head, body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let report = text("x-load").and_then(parse_load_report);
    let not_run = text("x-not-run") == Some("1");
    let body = match is_delimited(&head, &body) {
        true => Limited::new(body, MAX_BODY_BYTES).collect().await.ok().map(|body| body.to_bytes()),
        false => None,
    };
    let complete = body.is_some();
    let outcome = match head.status {
        // An incomplete response proves nothing, whatever its head says.
        _ if !complete => AttemptOutcome::Reset,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => AttemptOutcome::Rejected,
        StatusCode::OK => AttemptOutcome::Served,
        _ => AttemptOutcome::Error,
    };
    let body = body.filter(|_| outcome == AttemptOutcome::Served);
    (ServerReply { outcome, report, body }, complete)
}

/// Returns whether the length of the response body is known to be within the limit, or the body is chunked:
/// only then can its end be distinguished from a broken connection.
fn is_delimited(head: &response::Parts, body: &Incoming) -> bool {
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (body.size_hint().exact(), head.headers.get(TRANSFER_ENCODING)) {
        _ if head.status == StatusCode::SWITCHING_PROTOCOLS => false,
        (Some(length), None) => length <= MAX_BODY_BYTES as u64,
        (None, Some(value)) => chunked(value) && !head.headers.contains_key(CONTENT_LENGTH),
        _ => false,
    }
}
