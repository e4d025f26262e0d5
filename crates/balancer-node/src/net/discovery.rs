//! Follows the list of servers: long polls on discovery, one after the other.

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

/// How long discovery may keep a long poll waiting before it answers that nothing has changed. Changes missed by a
/// poll that is not answered count as announced 6 s after it began, or 2 s after this time; the sooner that is found, the less
/// is sent to removed servers.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// A call has failed when its answer has not begun within this part of the drain grace, past its long poll. Two such
/// times, with the pause between, are less than the grace: an update that counts at once is received in it.
const RESPONSE_TIMEOUT_FRACTION: f64 = 0.25;
/// The bound for a very short drain grace ...
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// ... and for a very long one: two such times, with the longest pause between, are less than the 6 s after which a
/// change counts as announced, as is one past the long poll.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A list that has begun to come must be complete within so many of these times. One that comes slowly is given up
/// then, and with the next call's time and the pause between the grace is not over.
const LIST_TIMEOUT_FACTOR: u32 = 2;
/// Pause between calls at the start, where discovery is not up.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// What a new discovery has counts as announced 4 s after its address was. Nodes that learn of it together spread
/// their calls for its complete list over this time at the most.
const MAX_MOVE_SPREAD: Duration = Duration::from_secs(1);
/// So much of a list is decoded at once: everything else waits for a fraction of a millisecond meanwhile.
const CHUNK_BYTES: usize = 32 << 10;
/// Memory that a list may take where the subscriber sets no limit.
const DEFAULT_MAX_LIST_BYTES: usize = 48 << 20;

/// A subscriber of the server list: a node, or a stand-in for one.
pub trait Subscriber: 'static {
    /// Notified when the changes of the list are requested.
    fn update_requested(&self) -> &Notify;
    /// Notified when the address of discovery has changed.
    fn discovery_moved(&self) -> &Notify;
    /// The address of discovery.
    fn discovery_address(&self) -> SocketAddr;
    /// The version of the list that is known, where the present discovery gave it.
    fn revision(&self) -> Option<u64>;
    /// How long requests may still be sent to a server once its draining is announced.
    fn drain_grace(&self) -> Duration;
    /// Applies the list in the answer to a call.
    fn apply(self: &Rc<Self>, list: ServerList);
    /// The same, for subscribers that do it in chunks and end with [`apply`](Self::apply). No other call is made
    /// meanwhile.
    fn apply_in_chunks(self: &Rc<Self>, list: ServerList) -> impl Future<Output = ()> {
        async { self.apply(list) }
    }
    /// A call failed or was not answered; the known list stays in force.
    fn unavailable(self: &Rc<Self>);
    /// Bytes of memory that a list may take; a longer one is not read to its end, and its call fails.
    fn max_list_bytes(&self) -> usize {
        DEFAULT_MAX_LIST_BYTES
    }
    /// A list begins to arrive; it may be cut short.
    fn list_started(&self) {}
    /// Whether this entry of the arriving list is known already and may be left out.
    fn is_unchanged(&self, _member: &ListedMember) -> bool {
        false
    }
    /// When this node calls for a complete list after a move of discovery, as a fraction (0 to 1) of the time over
    /// which nodes spread their calls.
    fn spread_position(&self) -> f64 {
        0.0
    }
    /// The cause of the next [`unavailable`](Self::unavailable).
    fn call_failed(&self, _error: &CallError) {}
}

/// Why a call has brought no list.
#[derive(Debug)]
pub enum CallError {
    /// No connection came up, or it broke.
    Connection,
    /// The answer did not come in time, or not completely.
    TimedOut,
    /// Another answer than a list.
    Status(StatusCode),
    /// The answer is no list.
    List(ListError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection => f.write_str("no connection came up, or it broke"),
            Self::TimedOut => f.write_str("it did not come, or not whole, in its time"),
            Self::Status(status) => write!(f, "the answer was {status}"),
            Self::List(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for CallError {}

/// A connection to discovery.
pub type DiscoveryConnection = SendRequest<Empty<Bytes>>;

/// Fetches the complete list before the first client is accepted: what discovery has counts as announced from the
/// first moment on. Where it does not answer at once it is down, and the list last known has to do.
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
            // It is up, and would send the same again.
            Err(CallError::List(_)) => return None,
            Err(_) if until <= Instant::now() + INITIAL_RETRY_INTERVAL => return None,
            Err(_) => sleep(INITIAL_RETRY_INTERVAL).await,
        }
    }
}

/// Follows the list whenever the decisions ask for it, until a call fails; then they are notified. Where discovery
/// moves, polling continues there soon, whatever the decisions are waiting for.
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

/// The state between two long polls.
struct Poller {
    connection: Option<DiscoveryConnection>,
    /// How long discovery may keep the next poll waiting: not before it has answered once.
    poll_timeout: Duration,
}

impl Poller {
    fn new(connection: Option<DiscoveryConnection>) -> Self {
        let poll_timeout = if connection.is_some() { LONG_POLL_TIMEOUT } else { Duration::ZERO };
        Self { connection, poll_timeout }
    }

    /// A new discovery is asked for its complete list. All nodes learn of it together: each has its own moment.
    async fn move_to_new_discovery(&mut self, node: &impl Subscriber) {
        sleep(response_timeout(node).min(MAX_MOVE_SPREAD).mul_f64(node.spread_position())).await;
        *self = Self::new(None);
    }

    /// Polls without a pause, since discovery does not report what changes between two polls.
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

/// How long an answer may take that has nothing to wait for.
fn response_timeout(node: &impl Subscriber) -> Duration {
    let timeout = node.drain_grace().mul_f64(RESPONSE_TIMEOUT_FRACTION);
    timeout.clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
}

/// One call: what has changed since the known version; without one the complete list, and that at once. The answer
/// has to begin within the time that is given. A call that fails leaves no connection.
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
        // At least 1 ms: zero might mean that no time was given.
        |revision| {
            format!("/catalog/members?since={revision}&timeout_ms={}", poll_timeout.as_millis().max(1))
        },
    );
    let request = Request::get(path).header("Host", node.discovery_address().to_string());
    request.body(Empty::new()).expect("a sound request")
}

/// The head of the answer to a call, on the connection that is kept or on a new one.
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
        let unsent = match sender.ready().await {
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
        // The kept connection had been closed before the call was written: it is sent again on a new one.
        request = unsent;
    }
}

/// Reads the list in a body, chunk by chunk so that the node can do other work in between.
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
