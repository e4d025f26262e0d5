//! Serves clients: accepts their connections, answers their requests, and drains the connections at shutdown.

mod api;
mod client_socket;
mod connections;
mod request;

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, Instant};

use self::api::ClientResponse;
use self::client_socket::{ClientSocket, Framing};
use self::connections::{ClientConnections, ConnectionSlot, KEEP_ALIVE_TIMEOUT, SLOW_CLIENT_TIMEOUT};
use super::node::Node;
use super::socket::{has_input, Io, Socket};
use super::upstream::MAX_BODY_BYTES;

/// Time after SIGTERM for which the node still accepts connections: clients open new ones for up to 0.4 s.
const ACCEPT_GRACE: Duration = Duration::from_millis(450);
/// Longest time beyond [`ACCEPT_GRACE`] for which connections are accepted, until none has arrived for a
/// [`DRAIN_POLL_INTERVAL`].
const ACCEPT_GRACE_EXTENSION: Duration = Duration::from_millis(200);
/// Time beyond the longest deadline that a draining node has until it exits.
const EXIT_GRACE: Duration = Duration::from_millis(600);
/// Upper bound of the deadline for which a draining node waits. A longer deadline does not delay the SIGKILL
/// that follows SIGTERM.
const MAX_DRAIN: Duration = Duration::from_secs(3);
/// Time before its exit at which a node fails all pending requests, so that the responses can still be sent.
const FINAL_ANSWER_LEAD: Duration = Duration::from_millis(100);
/// Interval at which a draining node checks whether it can exit.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time for which a connection that is due to be closed waits for the rest of a request that has begun to
/// arrive.
const PARTIAL_HEAD_GRACE: Duration = Duration::from_millis(500);
/// Time that hyper gets to read input that has arrived on a socket.
const INPUT_HANDOVER: Duration = Duration::from_millis(5);
/// Maximum length of a request head, in bytes. It is small because many heads may be partly received at once.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Serves clients until `stop` completes, and then drains the node: every admitted request still gets its
/// answer.
pub async fn run(node: Rc<Node>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let connections = Rc::new(ClientConnections::new(node.config.max_sockets));
    let mut stop = pin!(stop);
    loop {
        tokio::select! {
            biased;
            () = &mut stop => break,
            () = accept(&node, &connections, &listener) => {}
        }
    }
    drain(&node, &connections, listener).await;
}

/// Shuts down gracefully: accepts late connections for a short time, closes idle ones, and waits until every
/// pending request is answered or its time has run out.
async fn drain(node: &Rc<Node>, connections: &Rc<ClientConnections>, listener: TcpListener) {
    connections.draining.set(true);
    let stopped_at = Instant::now();
    let ends_at = stopped_at + longest_deadline(node) + EXIT_GRACE;
    accept_late(node, connections, &listener, stopped_at).await;
    drop(listener);
    loop {
        connections.close_idle();
        let now = Instant::now();
        if connections.open() == 0 && node.pending() == 0 || now >= ends_at {
            return;
        }
        if now + FINAL_ANSWER_LEAD >= ends_at && !connections.rejecting.replace(true) {
            node.fail_all();
        }
        sleep_until((now + DRAIN_POLL_INTERVAL).min(ends_at)).await;
    }
}

/// Returns the longest deadline of the request classes, at most [`MAX_DRAIN`].
fn longest_deadline(node: &Node) -> Duration {
    let longest_ms = node.config.settings.longest_deadline_ms();
    Duration::try_from_secs_f64(longest_ms / 1000.0).map_or(MAX_DRAIN, |longest| longest.min(MAX_DRAIN))
}

/// Accepts the connections that clients open before they have noticed that the node shuts down.
async fn accept_late(
    node: &Rc<Node>,
    connections: &Rc<ClientConnections>,
    listener: &TcpListener,
    stopped_at: Instant,
) {
    let mut last_accepted_at = stopped_at;
    while stopped_at.elapsed() < ACCEPT_GRACE
        || last_accepted_at.elapsed() < DRAIN_POLL_INTERVAL
            && stopped_at.elapsed() < ACCEPT_GRACE + ACCEPT_GRACE_EXTENSION
    {
        tokio::select! {
            biased;
            () = accept(node, connections, listener) => last_accepted_at = Instant::now(),
            () = sleep(DRAIN_POLL_INTERVAL) => {}
        }
    }
}

/// Accepts the next connection. If the maximum number is open, an idle one is closed first.
async fn accept(node: &Rc<Node>, connections: &Rc<ClientConnections>, listener: &TcpListener) {
    if connections.is_full() && connections.close_one() {
        yield_now().await;
    }
    match listener.accept().await {
        Ok((stream, _)) if connections.has_room() => {
            let slot = ConnectionSlot::new(Rc::clone(connections));
            tokio::task::spawn_local(serve(Rc::clone(node), slot, stream));
        }
        // All connection slots are busy: a client that is disconnected at once can try another node.
        Ok(_) => {}
        // The process is out of descriptors, or the client has disconnected already. Neither must stop the
        // node.
        Err(_) => {
            connections.close_one();
            sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}

/// Serves one connection until either side closes it.
async fn serve(node: Rc<Node>, slot: ConnectionSlot, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let socket = Rc::new(ClientSocket::new(stream));
    let service = service_fn(|request| {
        let body_by = slot.expires_at(&socket).max(Instant::now() + PARTIAL_HEAD_GRACE);
        slot.set_busy();
        let framing = socket.take_head();
        respond(&node, &slot, &socket, framing, request, body_by)
    });
    let served = http1::Builder::new()
        .max_buf_size(MAX_BODY_BYTES)
        .max_header_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Io(Rc::clone(&socket))), service);
    let mut served = pin!(served);
    let mut timer = ConnectionTimer { wake_at: slot.expires_at(&socket), close_by: None };
    loop {
        tokio::select! {
            biased;
            // Errors are caused by the client: it has disconnected, or its input is not HTTP.
            _ = served.as_mut() => return,
            () = slot.close.notified() => timer.schedule_close(&slot, &socket),
            () = sleep_until(timer.wake_at) => {}
        }
        match timer.decide(&slot, &socket) {
            TimerDecision::Wait => {}
            TimerDecision::CloseAfterResponse => served.as_mut().graceful_shutdown(),
            TimerDecision::Close => return,
        }
    }
}

/// Answers one request of a connection.
async fn respond(
    node: &Rc<Node>,
    slot: &ConnectionSlot,
    socket: &ClientSocket,
    framing: Framing,
    request: Request<Incoming>,
    body_by: Instant,
) -> Result<ClientResponse, Infallible> {
    let mut response = match framing {
        Framing::Invalid => api::text_response(StatusCode::BAD_REQUEST, "the length is unclear\n"),
        Framing::Length(_) | Framing::Chunked => api::answer(node, slot, socket, request, body_by).await,
    };
    // Without a known length, the beginning of the next request head cannot be determined.
    if slot.connections.draining.get() || !matches!(framing, Framing::Length(_)) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    slot.set_answered();
    Ok(response)
}

/// The timer of one client connection.
struct ConnectionTimer {
    /// Time of the next check.
    wake_at: Instant,
    /// Time by which the connection must be closed; `None` while it may stay open.
    close_by: Option<Instant>,
}

/// The decision of a [`ConnectionTimer`] about its connection.
enum TimerDecision {
    /// Keep the connection until the next check.
    Wait,
    /// Close the connection after the response to the request in progress, which announces the closing.
    CloseAfterResponse,
    /// Close the connection now.
    Close,
}

impl ConnectionTimer {
    /// Sets the time by which the connection must be closed. On a draining node, a request head that has
    /// begun to arrive gets [`PARTIAL_HEAD_GRACE`] to arrive completely; otherwise the connection is closed
    /// at once.
    fn schedule_close(&mut self, slot: &ConnectionSlot, socket: &ClientSocket) {
        let partial_head = slot.connections.draining.get() && socket.head_started_at().is_some();
        let grace = if partial_head { PARTIAL_HEAD_GRACE } else { Duration::ZERO };
        self.close_by = Some(Instant::now() + grace);
    }

    /// Decides about the connection, and sets the time of the next check.
    fn decide(&mut self, slot: &ConnectionSlot, socket: &ClientSocket) -> TimerDecision {
        let now = Instant::now();
        if !slot.is_idle() {
            self.wake_at = now + SLOW_CLIENT_TIMEOUT;
            return if self.close_by.is_some() {
                TimerDecision::CloseAfterResponse
            } else {
                TimerDecision::Wait
            };
        }
        let close_by = self.close_by.unwrap_or(now + KEEP_ALIVE_TIMEOUT);
        let due = slot.expires_at(socket).min(close_by);
        self.wake_at = match has_input(socket.stream()) {
            _ if now < due => due,
            // A request that has just arrived must not be lost: hyper gets time to read it.
            true if now < due + PARTIAL_HEAD_GRACE => now + INPUT_HANDOVER,
            _ => return TimerDecision::Close,
        };
        TimerDecision::Wait
    }
}
