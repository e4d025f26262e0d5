//! Answers one request of a client: a health check or a request to forward.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{timeout, timeout_at, Instant};

use super::client_socket::ClientSocket;
use super::connections::ConnectionSlot;
use super::request::{forwarded, read_body, read_head, RequestHead};
use crate::net::node::{AdmissionError, FinalAnswer, Node};
use crate::net::socket::{disconnected, has_disconnected, Socket};
use crate::net::upstream::ForwardedRequest;
use crate::RequestId;

/// Part of a client's deadline that is reserved for the transit of its request and of the response.
const TRANSIT_MARGIN: Duration = Duration::from_millis(10);
/// Interval at which the node checks whether a waiting client has disconnected. The check is needed beside
/// the event loop's readiness, since not every event loop reports the end of a stream that unread input
/// precedes. An attempt may begin up to 0.1 s after the client has disconnected; the interval is half of
/// that.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Response to a client, with its complete body.
pub(super) type ClientResponse = Response<Full<Bytes>>;

/// Answers a request. Its body must have arrived by `body_by`.
pub(super) async fn answer(
    node: &Rc<Node>,
    slot: &ConnectionSlot,
    socket: &ClientSocket,
    request: Request<Incoming>,
    body_by: Instant,
) -> ClientResponse {
    let draining = slot.connections.draining.get();
    match request.uri().path() {
        "/api" => {
            let rejecting = || slot.connections.rejecting.get();
            forward(node, socket, request, body_by, rejecting).await.unwrap_or_else(|response| response)
        }
        "/_health" if draining => text_response(StatusCode::SERVICE_UNAVAILABLE, "ending\n"),
        "/_health" => text_response(StatusCode::OK, "ready\n"),
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Creates a response with one line of text.
pub(super) fn text_response(status: StatusCode, line: &'static str) -> ClientResponse {
    let mut response = Response::new(Full::from(line));
    *response.status_mut() = status;
    response
}

/// Creates the response to a rejected request, with the recommended pause before a retry.
fn rejection(retry_after_ms: Option<f64>) -> ClientResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{:.3}", ms / 1000.0).parse().expect("digits");
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Guard that reports on drop that the client needs no answer any more, which has no effect after the final
/// answer. hyper drops the future that owns the guard if the client disconnects.
struct PendingAnswer {
    node: Rc<Node>,
    id: RequestId,
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        self.node.client_disconnected(self.id);
    }
}

/// Completes once the client has disconnected. hyper detects that only while there is no unread input.
async fn client_disconnected(stream: &TcpStream) {
    while timeout(DISCONNECT_POLL_INTERVAL, disconnected(stream)).await.is_err()
        && !has_disconnected(stream).await
    {}
}

/// Forwards a request and waits for its final answer. `Err` is the response to a request that is not
/// forwarded, or whose client has disconnected.
async fn forward(
    node: &Rc<Node>,
    socket: &ClientSocket,
    request: Request<Incoming>,
    body_by: Instant,
    rejecting: impl Fn() -> bool,
) -> Result<ClientResponse, ClientResponse> {
    // The deadline counts from the arrival of the request, even if it had to wait for the response to an
    // earlier request on the same connection.
    let arrived_at = socket.last_read_at();
    let (head, body) = request.into_parts();
    let (RequestHead { deadline, mut request }, body) =
        read_request(node, arrived_at, &head, body, body_by).await?;
    let target = forwarded(head.uri, &head.headers);
    let (uri, headers) = target.ok_or_else(|| text_response(StatusCode::BAD_REQUEST, "a bad target\n"))?;
    let expires_at = arrived_at + deadline.saturating_sub(TRANSIT_MARGIN).max(deadline / 2);
    let budget = expires_at.saturating_duration_since(Instant::now());
    let max_retry_after_ms = node.config.settings.max_retry_after_ms;
    // Shortly before the node exits there is no time left for an attempt.
    if budget.is_zero() || rejecting() {
        return Err(rejection(max_retry_after_ms));
    }
    request.budget_ms = budget.as_secs_f64() * 1000.0;
    // If the client disconnected before its request was read, nothing is sent to a server.
    if has_disconnected(socket.stream()).await {
        return Err(text_response(StatusCode::BAD_REQUEST, "the client has left\n"));
    }
    let forwarded_request = ForwardedRequest { method: head.method, uri, headers, body, expires_at };
    let (answer, answered) = oneshot::channel();
    let admitted = node.admit(forwarded_request, request, answer);
    let id = admitted.map_err(|error| admission_error_response(&error, max_retry_after_ms))?;
    let _pending = PendingAnswer { node: Rc::clone(node), id };
    wait_for_answer(answered, socket, expires_at + TRANSIT_MARGIN / 2).await
}

/// Waits for the final answer of an admitted request. The timeout covers requests that the decision logic
/// never answers.
async fn wait_for_answer(
    answered: oneshot::Receiver<FinalAnswer>,
    socket: &ClientSocket,
    until: Instant,
) -> Result<ClientResponse, ClientResponse> {
    tokio::select! {
        biased;
        answer = timeout_at(until, answered) => Ok(match answer {
            Ok(answer) => final_response(answer.unwrap_or(FinalAnswer::Failed)),
            Err(_) => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
        }),
        () = client_disconnected(socket.stream()) => {
            Err(text_response(StatusCode::BAD_REQUEST, "the client has left\n"))
        }
    }
}

fn admission_error_response(error: &AdmissionError, max_retry_after_ms: Option<f64>) -> ClientResponse {
    match error {
        // The limit of pending requests is reached. How long that lasts is unknown, so the longest pause is
        // recommended.
        AdmissionError::Full => rejection(max_retry_after_ms),
        AdmissionError::DuplicateId => text_response(StatusCode::CONFLICT, "X-Request-Id is in use\n"),
    }
}

fn final_response(answer: FinalAnswer) -> ClientResponse {
    match answer {
        FinalAnswer::Served(body) => Response::new(Full::new(body)),
        FinalAnswer::Rejected(retry_after_ms) => rejection(retry_after_ms),
        FinalAnswer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

/// Reads and checks a request. Its body is read to the end even if its head is invalid, so that the client
/// receives the response.
async fn read_request(
    node: &Node,
    arrived_at: Instant,
    head: &request::Parts,
    body: Incoming,
    body_by: Instant,
) -> Result<(RequestHead, Bytes), ClientResponse> {
    let checked = read_head(&node.config, &head.method, &head.headers);
    let body_by = checked.as_ref().map_or(body_by, |checked| body_by.min(arrived_at + checked.deadline));
    let body = match timeout_at(body_by, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => return Err(text_response(status, "the body is broken or too long\n")),
        Err(_) => return Err(text_response(StatusCode::REQUEST_TIMEOUT, "the body does not come\n")),
    };
    let checked = checked.map_err(|invalid| text_response(StatusCode::BAD_REQUEST, invalid.0))?;
    if head.method == Method::GET && !body.is_empty() {
        return Err(text_response(StatusCode::BAD_REQUEST, "GET has no body\n"));
    }
    Ok((checked, body))
}
