//! The node's front towards clients: accepts their connections, serves them, and drains them at shutdown.

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

/// After SIGTERM connections go on coming for up to 0.4 s.
const ACCEPT_GRACE: Duration = Duration::from_millis(450);
/// They are accepted for up to this much longer, until none has come for a [`DRAIN_POLL_INTERVAL`].
const ACCEPT_GRACE_EXTENSION: Duration = Duration::from_millis(200);
/// Past the longest deadline, the node has this long to end.
const EXIT_GRACE: Duration = Duration::from_millis(600);
/// A longer deadline does not put off the SIGKILL that follows SIGTERM.
const MAX_DRAIN: Duration = Duration::from_secs(3);
/// So long before its exit a node fails all pending requests, so that the answers can still be sent.
const FINAL_ANSWER_LEAD: Duration = Duration::from_millis(100);
/// How often a draining node checks whether it can end.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A draining node waits so long for the rest of a head that has begun to come.
const PARTIAL_HEAD_GRACE: Duration = Duration::from_millis(500);
/// Time in which hyper reads input that has arrived on a socket.
const INPUT_HANDOVER: Duration = Duration::from_millis(5);
/// The longest request head; many may be partly received at once.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Serves clients until `stop` completes and every admitted request is answered.
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

/// Graceful shutdown: takes late connections for a moment, closes idle ones, and waits for the answers still to give.
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

fn longest_deadline(node: &Node) -> Duration {
    let longest_ms = node.config.settings.longest_deadline_ms();
    Duration::try_from_secs_f64(longest_ms / 1000.0).map_or(MAX_DRAIN, |longest| longest.min(MAX_DRAIN))
}

/// Accepts connections that clients opened before they learned that the node shuts down.
async fn accept_late(
    node: &Rc<Node>,
    connections: &Rc<ClientConnections>,
    listener: &TcpListener,
    stopped_at: Instant,
) {
    let mut last = stopped_at;
    while stopped_at.elapsed() < ACCEPT_GRACE
        || last.elapsed() < DRAIN_POLL_INTERVAL
            && stopped_at.elapsed() < ACCEPT_GRACE + ACCEPT_GRACE_EXTENSION
    {
        tokio::select! {
            biased;
            () = accept(node, connections, listener) => last = Instant::now(),
            () = sleep(DRAIN_POLL_INTERVAL) => {}
        }
    }
}

/// Accepts the next connection. Where as many are open as may be, an idle one is closed for it first.
async fn accept(node: &Rc<Node>, connections: &Rc<ClientConnections>, listener: &TcpListener) {
    if connections.is_full() && connections.close_one() {
        yield_now().await;
    }
    match listener.accept().await {
        Ok((stream, _)) if connections.has_room() => {
            let slot = ConnectionSlot::new(Rc::clone(connections));
            tokio::task::spawn_local(serve(Rc::clone(node), slot, stream));
        }
        // All slots are busy: a client that is disconnected at once can try another node.
        Ok(_) => {}
        // Out of descriptors, or the client has disconnected already: neither ends the node.
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
            // An error is the client's: it has disconnected, or does not speak HTTP.
            _ = served.as_mut() => return,
            () = slot.close.notified() => timer.close(&slot, &socket),
            () = sleep_until(timer.wake_at) => {}
        }
        match timer.next(&slot, &socket) {
            Next::Wait => {}
            Next::CloseAfterAnswer => served.as_mut().graceful_shutdown(),
            Next::Close => return,
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
        Framing::Invalid => api::text(StatusCode::BAD_REQUEST, "the length is unclear\n"),
        Framing::Length(_) | Framing::Chunked => api::answer(node, slot, socket, request, body_by).await,
    };
    // Where the next head begins is known only where the length is.
    if slot.connections.draining.get() || !matches!(framing, Framing::Length(_)) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    slot.set_answered();
    Ok(response)
}

/// When a connection is checked next, and by when it must be closed, if it must.
struct ConnectionTimer {
    wake_at: Instant,
    close_by: Option<Instant>,
}

/// What a [`ConnectionTimer`] decides about its connection.
enum Next {
    Wait,
    /// A request is in progress; its answer will say that it is the last one.
    CloseAfterAnswer,
    Close,
}

impl ConnectionTimer {
    /// The connection is to be closed, after the head that has begun to come on a draining node.
    fn close(&mut self, slot: &ConnectionSlot, socket: &ClientSocket) {
        let partial_head = slot.connections.draining.get() && socket.head_started_at().is_some();
        let grace = if partial_head { PARTIAL_HEAD_GRACE } else { Duration::ZERO };
        self.close_by = Some(Instant::now() + grace);
    }

    fn next(&mut self, slot: &ConnectionSlot, socket: &ClientSocket) -> Next {
        let now = Instant::now();
        if !slot.is_idle() {
            self.wake_at = now + SLOW_CLIENT_TIMEOUT;
            return if self.close_by.is_some() { Next::CloseAfterAnswer } else { Next::Wait };
        }
        let close_by = self.close_by.unwrap_or(now + KEEP_ALIVE_TIMEOUT);
        let due = slot.expires_at(socket).min(close_by);
        self.wake_at = match has_input(socket.stream()) {
            _ if now < due => due,
            // A request that has just arrived must not be lost: hyper reads it next.
            true if now < due + PARTIAL_HEAD_GRACE => now + INPUT_HANDOVER,
            _ => return Next::Close,
        };
        Next::Wait
    }
}
