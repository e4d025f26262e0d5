//! Attempts and probes: one exchange with a server each.

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

/// Part of a request's remaining time that it waits until a kept connection may be reused, rather than dial. The wait
/// counts as latency: with a 16th, nodes of few rejected most requests of the lowest value.
const MAX_REUSE_WAIT_FRACTION: f64 = 1.0 / 64.0;
/// Part of a request's remaining time that a connection may take to come up: another may be had after it.
const MAX_DIAL_FRACTION: f64 = 0.25;
/// Dials of one attempt: a late one gets others beside it. Connections that come up later are kept.
const MAX_DIALS: usize = 3;

/// A client's request as it is forwarded to servers.
pub struct ForwardedRequest {
    /// Unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// The fields that are forwarded unchanged.
    pub headers: HeaderMap,
    /// Unchanged.
    pub body: Bytes,
    /// When the node stops waiting for an answer.
    pub expires_at: Instant,
}

impl ForwardedRequest {
    /// The id that the client gave the request.
    pub fn client_id(&self) -> &HeaderValue {
        &self.headers["x-request-id"]
    }

    fn time_left(&self) -> Duration {
        self.expires_at.saturating_duration_since(Instant::now())
    }

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

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// No byte of it was sent.
    NotSent,
    /// Some of it may have been sent.
    MaybeSent,
    /// Nothing was sent, and nothing may be any more: the client has disconnected.
    Abandoned,
}

/// How an attempt or a probe ended.
pub struct ServerReply {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The load report in the answer.
    pub report: Option<LoadReport>,
    /// The complete body, where the request was served.
    pub body: Option<Bytes>,
}

impl ServerReply {
    /// The end of an attempt without an answer.
    pub fn without_answer(outcome: AttemptOutcome) -> Self {
        Self { outcome, report: None, body: None }
    }
}

/// One attempt of a request, from choosing a connection to the complete answer. `state` reports how far it has come.
/// Where it has not been sent by `send_by`, it is not sent at all. When this returns, nothing of it is in progress.
pub async fn attempt(
    upstream: &Upstream,
    server: ServerId,
    request: &ForwardedRequest,
    send_by: Option<Instant>,
    state: &Cell<SendState>,
    cancelled: oneshot::Receiver<()>,
) -> ServerReply {
    let unless_sent = |outcome| {
        ServerReply::without_answer(match state.get() {
            SendState::MaybeSent => outcome,
            SendState::NotSent | SendState::Abandoned => AttemptOutcome::NotSent,
        })
    };
    let message = Message::Request { request, send_by };
    // The exchange owns the connection; it is dropped, and that closed, before this returns.
    tokio::select! {
        biased;
        reply = exchange(upstream, server, &message, state) => reply,
        Ok(()) = cancelled => unless_sent(AttemptOutcome::Cancelled),
        () = sleep_until(request.expires_at) => unless_sent(AttemptOutcome::TimedOut),
    }
}

/// Asks a server for its load report.
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

/// What is sent to a server.
enum Message<'a> {
    Request { request: &'a ForwardedRequest, send_by: Option<Instant> },
    Probe,
}

impl Message<'_> {
    /// How long to wait until a kept connection may be reused, rather than dial.
    fn max_reuse_wait(&self) -> Duration {
        match self {
            Self::Request { request, .. } => request.time_left().mul_f64(MAX_REUSE_WAIT_FRACTION),
            Self::Probe => MIN_REUSE_DELAY,
        }
    }

    fn max_dials(&self) -> usize {
        match self {
            Self::Request { .. } => MAX_DIALS,
            Self::Probe => 1,
        }
    }

    fn dial_timeout(&self, upstream: &Upstream) -> Duration {
        let Self::Request { request, send_by } = self else { return upstream.dial_timeout() };
        let share = request.time_left().mul_f64(MAX_DIAL_FRACTION).min(upstream.dial_timeout());
        send_by.map_or(share, |send_by| share.min(send_by.saturating_duration_since(Instant::now())))
    }

    /// Whether it may still be sent: time has passed since the decision, and a server that drains by now gets nothing
    /// new.
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
                request.body(Full::default()).expect("a sound request")
            }
        }
    }
}

/// Sends a message and reads the answer. On a kept connection that the server has closed it is sent again on another.
async fn exchange(
    upstream: &Upstream,
    server: ServerId,
    message: &Message<'_>,
    state: &Cell<SendState>,
) -> ServerReply {
    // It may have been removed since the decision.
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

/// A kept connection, or a new one; and whether it is a kept one.
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

/// The outcome of sending a message on one connection.
enum SendOutcome {
    Reply(ServerReply),
    /// Nothing was written: the connection had been closed.
    Unusable,
}

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
        // A request that hyper gives back was never written; any other may have been.
        Err(mut error) => match error.take_message() {
            Some(_) => {
                state.set(SendState::NotSent);
                SendOutcome::Unusable
            }
            None => SendOutcome::Reply(ServerReply::without_answer(AttemptOutcome::Reset)),
        },
    }
}

/// Reads an answer; returns whether it was complete: only then is its outcome known and may the connection be kept.
/// Where the server wants it closed, hyper closes it.
async fn read_response(response: Response<Incoming>) -> (ServerReply, bool) {
    let (head, body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let report = text("x-load").and_then(parse_load_report);
    let not_run = text("x-not-run") == Some("1");
    let body = match has_end(&head, &body) {
        true => Limited::new(body, MAX_BODY_BYTES).collect().await.ok().map(|body| body.to_bytes()),
        false => None,
    };
    let complete = body.is_some();
    let outcome = match head.status {
        // An incomplete answer proves nothing, whatever its head says.
        _ if !complete => AttemptOutcome::Reset,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => AttemptOutcome::Rejected,
        StatusCode::OK => AttemptOutcome::Served,
        _ => AttemptOutcome::Error,
    };
    let body = body.filter(|_| outcome == AttemptOutcome::Served);
    (ServerReply { outcome, report, body }, complete)
}

/// Whether the end of a body is distinguishable from a broken connection, and its length within the limit.
fn has_end(head: &response::Parts, body: &Incoming) -> bool {
    let chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    match (body.size_hint().exact(), head.headers.get(TRANSFER_ENCODING)) {
        _ if head.status == StatusCode::SWITCHING_PROTOCOLS => false,
        (Some(length), None) => length <= MAX_BODY_BYTES as u64,
        (None, Some(value)) => chunked(value) && !head.headers.contains_key(CONTENT_LENGTH),
        _ => false,
    }
}
