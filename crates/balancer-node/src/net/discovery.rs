//! Keeps the server list up to date with consecutive long polls on discovery.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout, Instant};

use super::list::{ListDecoder, ListError, ListedMember, ServerList};

/// Time for which discovery may hold a long poll before it responds that nothing has changed. If a poll gets
/// no response, the changes that it missed count as announced 6 s after it began, or 2 s after this time has
/// passed. The sooner the missing response is detected, the fewer requests are sent to removed servers.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the drain grace within which the response to a call must begin, after the time of its long
/// poll. Otherwise the call has failed. Two such times and the pause between them are shorter than the grace,
/// so an update that counts as announced at once is received within the grace.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.25;
/// Lower bound of the response timeout, for a very short drain grace.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound of the response timeout, for a very long drain grace. Two such times and the longest pause
/// between them are shorter than the 6 s after which a change counts as announced, and so are one such time
/// and a long poll.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A list that has begun to arrive must be complete within this multiple of the response timeout. A slower
/// one is abandoned; this time, the pause and the timeout of the next call together are within the drain
/// grace.
const LIST_TIMEOUT_FACTOR: u32 = 2;
/// Pause between calls at the start of the node while discovery is not reachable.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time over which nodes spread their calls for the complete list of a new discovery, whose address
/// reaches all of them at once. The list of a new discovery counts as announced 4 s after its address was
/// announced.
const MAX_MOVE_SPREAD: Duration = Duration::from_secs(1);
/// Number of bytes of a list that are decoded without yielding. All other tasks wait for a fraction of a
/// millisecond while a chunk is decoded.
const CHUNK_BYTES: usize = 32 << 10;
/// Maximum memory of a list, in bytes, if the subscriber sets no limit.
const DEFAULT_MAX_LIST_BYTES: usize = 48 << 20;

/// A subscriber of the server list: a [`Node`](super::node::Node), or a substitute for one in a test or
/// emulator.
pub trait Subscriber: 'static {
    /// Returns the notification that makes [`follow`] start polling, at first and again after each failed
    /// call.
    fn update_requested(&self) -> &Notify;
    /// Returns the notification that the address of discovery has changed.
    fn discovery_moved(&self) -> &Notify;
    /// Returns the present address of discovery.
    fn discovery_address(&self) -> SocketAddr;
    /// Returns the version of the list in use. It is `None` if the list did not come from the present
    /// discovery or a change could not be applied; the next call then fetches the complete list.
    fn revision(&self) -> Option<u64>;
    /// Returns how long requests may still be sent to a server after its draining was announced.
    fn drain_grace(&self) -> Duration;
    /// Applies the list in the response to a call.
    fn apply(self: &Rc<Self>, list: ServerList);
    /// Applies a list in chunks, with other tasks running in between, and calls [`apply`](Self::apply) last.
    /// No other call is made until this completes. The default applies the list at once.
    fn apply_in_chunks(self: &Rc<Self>, list: ServerList) -> impl Future<Output = ()> {
        async { self.apply(list) }
    }
    /// Called after a call has failed or got no response. The list in use stays in force.
    fn unavailable(self: &Rc<Self>);
    /// Returns the maximum memory of a list, in bytes. A larger list is not read to its end, and its call
    /// fails.
    fn max_list_bytes(&self) -> usize {
        DEFAULT_MAX_LIST_BYTES
    }
    /// Called when a list begins to arrive. It may never be complete.
    fn list_started(&self) {}
    /// Returns whether an entry of the arriving list is the same as in the list in use and may be dropped.
    fn is_unchanged(&self, _member: &ListedMember) -> bool {
        false
    }
    /// Returns the delay of the first call after discovery has moved, as a fraction (0 to 1) of the time over
    /// which nodes spread these calls.
    fn spread_position(&self) -> f64 {
        0.0
    }
    /// Called with the cause of a failure just before [`unavailable`](Self::unavailable).
    fn call_failed(&self, _error: &CallError) {}
}

/// Reason why a call to discovery has failed.
#[derive(Debug)]
pub enum CallError {
    /// The connection was not established, or it broke.
    Connection,
    /// The response did not begin in time, or was not complete in time.
    TimedOut,
    /// The response has a status other than 200.
    Status(StatusCode),
    /// The body of the response is not a valid list, or the list is too large.
    List(ListError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection => f.write_str("the connection was not established, or it broke"),
            Self::TimedOut => f.write_str("the response did not arrive completely in time"),
            Self::Status(status) => write!(f, "the response has status {status}"),
            Self::List(error) => write!(f, "the server list in the response cannot be used: {error}"),
        }
    }
}

impl std::error::Error for CallError {}

/// An idle HTTP connection to discovery that the next call may reuse.
pub type DiscoveryConnection = SendRequest<Empty<Bytes>>;

/// Fetches the complete list before the node accepts its first client: the list of discovery counts as
/// announced from the start of the node. If discovery does not respond within the response timeout, it is
/// considered down, and the node starts with the list of its configuration. Returns the connection for
/// further calls.
pub async fn fetch_initial<S: Subscriber>(node: &Rc<S>) -> Option<DiscoveryConnection> {
    let until = Instant::now() + response_timeout(&**node);
    let mut connection = None;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match call(&**node, &mut connection, Duration::ZERO, left).await {
            Ok(list) => {
                node.apply_in_chunks(list).await;
                return connection;
            }
            // Discovery is up, and would send the same invalid list again.
            Err(CallError::List(_)) => return None,
            Err(_) if until <= Instant::now() + INITIAL_RETRY_INTERVAL => return None,
            Err(_) => sleep(INITIAL_RETRY_INTERVAL).await,
        }
    }
}

/// Polls discovery whenever the subscriber requests it, until a call fails, and reports the failure to the
/// subscriber. If the address of discovery changes, polling continues at the new address without a request.
pub async fn follow<S: Subscriber>(node: Rc<S>, connection: Option<DiscoveryConnection>) {
    let mut poller = Poller::new(connection);
    loop {
        tokio::select! {
            biased;
            () = node.discovery_moved().notified() => poller.move_to_new_discovery(&*node).await,
            () = node.update_requested().notified() => {}
        }
        let error = poller.poll_until_failure(&node).await;
        node.call_failed(&error);
        node.unavailable();
    }
}

/// State of polling discovery, kept from one call to the next.
struct Poller {
    connection: Option<DiscoveryConnection>,
    /// Time for which discovery may hold the next call; zero until it has responded once.
    poll_timeout: Duration,
}

impl Poller {
    fn new(connection: Option<DiscoveryConnection>) -> Self {
        let poll_timeout = if connection.is_some() { LONG_POLL_TIMEOUT } else { Duration::ZERO };
        Self { connection, poll_timeout }
    }

    /// Drops the connection to the former discovery, so that the next call is sent to the new one. All nodes
    /// receive the new address at the same time, so each node first waits for its part of the time over
    /// which the calls are spread.
    async fn move_to_new_discovery(&mut self, node: &impl Subscriber) {
        sleep(response_timeout(node).min(MAX_MOVE_SPREAD).mul_f64(node.spread_position())).await;
        *self = Self::new(None);
    }

    /// Makes one call after another without a pause, since discovery does not announce changes between two
    /// polls.
    async fn poll_until_failure<S: Subscriber>(&mut self, node: &Rc<S>) -> CallError {
        loop {
            let begins_within = self.poll_timeout + response_timeout(&**node);
            let list = tokio::select! {
                biased;
                () = node.discovery_moved().notified() => {
                    self.move_to_new_discovery(&**node).await;
                    continue;
                }
                list = call(&**node, &mut self.connection, self.poll_timeout, begins_within) => list,
            };
            match list {
                Ok(list) => {
                    node.apply_in_chunks(list).await;
                    self.poll_timeout = LONG_POLL_TIMEOUT;
                }
                Err(error) => {
                    *self = Self::new(None);
                    return error;
                }
            }
        }
    }
}

/// Returns the timeout for the beginning of a response, excluding the time for which discovery holds a long
/// poll.
fn response_timeout(node: &impl Subscriber) -> Duration {
    let timeout = node.drain_grace().mul_f64(RESPONSE_TIMEOUT_FRACTION);
    timeout.clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
}

/// Makes one call: fetches the changes since the version of the list in use, or the complete list at once if
/// there is no version. The response must begin within `begins_within`. After a failed call, `connection` is
/// `None`.
async fn call(
    node: &impl Subscriber,
    connection: &mut Option<DiscoveryConnection>,
    poll_timeout: Duration,
    begins_within: Duration,
) -> Result<ServerList, CallError> {
    let mut kept = connection.take();
    let response = timeout(begins_within, send_call(node, &mut kept, poll_timeout)).await;
    let response = response.map_err(|_| CallError::TimedOut)??;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    let list = read_list(node, response.into_body());
    let list = timeout(response_timeout(node) * LIST_TIMEOUT_FACTOR, list).await;
    let list = list.map_err(|_| CallError::TimedOut)??;
    *connection = kept;
    Ok(list)
}

fn call_request(node: &impl Subscriber, poll_timeout: Duration) -> Request<Empty<Bytes>> {
    let path = node.revision().map_or_else(
        || "/catalog/members".to_owned(),
        // The timeout is at least 1 ms: discovery might treat zero as a missing value.
        |revision| {
            format!("/catalog/members?since={revision}&timeout_ms={}", poll_timeout.as_millis().max(1))
        },
    );
    let request = Request::get(path).header("Host", node.discovery_address().to_string());
    request.body(Empty::new()).expect("a valid request")
}

/// Sends a call on the kept connection or on a new one, and returns the response once its head has arrived.
/// Its connection is left in `connection`.
async fn send_call(
    node: &impl Subscriber,
    connection: &mut Option<DiscoveryConnection>,
    poll_timeout: Duration,
) -> Result<Response<Incoming>, CallError> {
    let mut request = call_request(node, poll_timeout);
    loop {
        let (mut sender, reused) = match connection.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => (sender, true),
            None => (connect(node).await.ok_or(CallError::Connection)?, false),
        };
        let unsent_request = match sender.ready().await {
            Err(_) => request,
            Ok(()) => match sender.try_send_request(request).await {
                Ok(response) => {
                    *connection = Some(sender);
                    return Ok(response);
                }
                Err(mut error) => error.take_message().ok_or(CallError::Connection)?,
            },
        };
        if !reused {
            return Err(CallError::Connection);
        }
        // The kept connection was closed before the call was written: the call is sent again on a new one.
        request = unsent_request;
    }
}

/// Reads the list in a response body. It yields after each chunk, so that other tasks can run.
async fn read_list(node: &impl Subscriber, mut body: Incoming) -> Result<ServerList, CallError> {
    let mut decoder = ListDecoder::new(node.max_list_bytes());
    node.list_started();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallError::Connection)?;
        for chunk in frame.data_ref().map_or(&[][..], |bytes| bytes).chunks(CHUNK_BYTES) {
            decoder.feed(chunk).map_err(CallError::List)?;
            decoder.drop_unchanged(|member| node.is_unchanged(member));
            yield_now().await;
        }
    }
    decoder.finish().map_err(CallError::List)
}

async fn connect(node: &impl Subscriber) -> Option<DiscoveryConnection> {
    let stream = TcpStream::connect(node.discovery_address()).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
