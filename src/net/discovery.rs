//! The list of servers: watches on it, one after the other.

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

use super::list::{Decoder, List, ListError, Member};

/// How long discovery may wait for news before it answers that there are none. What a silent watch misses counts
/// as told 6 s after it fell silent, or 2 s after this wait; sooner found, less goes to servers that have left.
const WAIT: Duration = Duration::from_secs(2);
/// A call is silent when its answer has not begun within this part of the grace after a drain, past its wait. Two
/// such times, with the pause between, are less than the grace: news that counts at once is heard in it.
const SILENT_PART: f64 = 0.25;
/// ... or within this time, where the grace is very short ...
const SILENT_LEAST: Duration = Duration::from_millis(100);
/// ... or very long: two such times, with the longest pause between, are less than the 6 s after which a change
/// counts as told, as is one past the wait.
const SILENT_MOST: Duration = Duration::from_millis(1500);
/// A list that has begun to come has so many of these times to be whole. One that comes in drips is given up
/// then, and with the next call's time and the pause between the grace is not over.
const WHOLE_WITHIN: u32 = 2;
/// Between calls at the start, where discovery is not up.
const PAUSE: Duration = Duration::from_millis(20);
/// What the new discovery has counts as told 4 s after it was named. Nodes that are told of it together spread
/// their calls for its whole list over this at the most.
const MOVED_MOST: Duration = Duration::from_secs(1);
/// So much of a list is read at once: what waits meanwhile waits for a fraction of a millisecond.
const PIECE: usize = 32 << 10;
/// A list may take so much memory where the subscriber has no word on it.
const LIST_USUAL: usize = 48 << 20;

/// Who follows the list of servers: a node, or whatever stands for one.
pub trait Subscriber: 'static {
    /// Raised when the changes of the list are wanted.
    fn wanted(&self) -> &Notify;
    /// Raised when discovery is to be found elsewhere.
    fn moved(&self) -> &Notify;
    /// Where discovery is.
    fn discovery(&self) -> SocketAddr;
    /// The version of the list that is held, where the present discovery gave it.
    fn revision(&self) -> Option<u64>;
    /// How long requests may still be sent to a server once it is told that it drains.
    fn drain_grace(&self) -> Duration;
    /// Discovery has answered a call.
    fn listed(self: &Rc<Self>, list: List);
    /// The same, for who does it piece by piece and ends with [`listed`](Self::listed). No other call is made
    /// meanwhile.
    fn take(self: &Rc<Self>, list: List) -> impl Future<Output = ()> {
        async { self.listed(list) }
    }
    /// A call failed or was silent; the list held stands.
    fn list_failed(self: &Rc<Self>);
    /// Bytes of memory that a list may take; a longer one is not read to its end, and its call fails.
    fn list_most(&self) -> usize {
        LIST_USUAL
    }
    /// A list begins to come; it need not come whole.
    fn list_begins(&self) {}
    /// Whether this entry of the list that comes is held already, and can be left out of it.
    fn is_held(&self, _member: &Member) -> bool {
        false
    }
    /// Where in the time over which nodes spread their calls for a whole list this one makes its own, from 0 to 1.
    fn place_in_spread(&self) -> f64 {
        0.0
    }
    /// Why the next [`list_failed`](Self::list_failed) comes.
    fn call_failed(&self, _why: &CallError) {}
}

/// Why a call has brought no list.
#[derive(Debug)]
pub enum CallError {
    /// No connection came up, or it broke.
    Broken,
    /// Nothing came in its time, or not all.
    Silent,
    /// Another answer than a list.
    Status(StatusCode),
    /// What came is no list.
    List(ListError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken => f.write_str("no connection came up, or it broke"),
            Self::Silent => f.write_str("it did not come, or not whole, in its time"),
            Self::Status(status) => write!(f, "the answer was {status}"),
            Self::List(why) => why.fmt(f),
        }
    }
}

impl std::error::Error for CallError {}

/// Asks for the whole list before the first client is taken: what discovery has counts as told from the first
/// moment on. Where it does not answer at once it is down, and the list last known has to do.
pub async fn first<S: Subscriber>(node: &Rc<S>) -> Option<Sender> {
    let until = Instant::now() + at_once(&**node);
    let mut connection = None;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match call(&**node, &mut connection, Duration::ZERO, left).await {
            Ok(list) => {
                node.take(list).await;
                return connection;
            }
            // It is up, and would write the same again.
            Err(CallError::List(_)) => return None,
            Err(_) if until <= Instant::now() + PAUSE => return None,
            Err(_) => sleep(PAUSE).await,
        }
    }
}

/// Watches whenever the decisions want it, until a call fails; then they are told. Where discovery moves, the
/// watch goes on there soon, whatever the decisions are waiting for.
pub async fn follow<S: Subscriber>(node: Rc<S>, mut connection: Option<Sender>) {
    // Only a discovery that has just answered may take its time with the next answer.
    let mut wait = if connection.is_some() { WAIT } else { Duration::ZERO };
    loop {
        tokio::select! {
            biased;
            () = node.moved().notified() => (connection, wait) = moved(&*node).await,
            () = node.wanted().notified() => {}
        }
        // The next watch follows at once: what changes between watches is told by none.
        let why = loop {
            let list = tokio::select! {
                biased;
                () = node.moved().notified() => {
                    (connection, wait) = moved(&*node).await;
                    continue;
                }
                list = call(&*node, &mut connection, wait, wait + at_once(&*node)) => list,
            };
            match list {
                Ok(list) => node.take(list).await,
                Err(why) => break why,
            }
            wait = WAIT;
        };
        (connection, wait) = (None, Duration::ZERO);
        node.call_failed(&why);
        node.list_failed();
    }
}

/// A new discovery is asked for its whole list, and all nodes are told of it together: each has its own moment.
async fn moved(node: &impl Subscriber) -> (Option<Sender>, Duration) {
    sleep(at_once(node).min(MOVED_MOST).mul_f64(node.place_in_spread())).await;
    (None, Duration::ZERO)
}

/// How long an answer may take that has nothing to wait for.
fn at_once(node: &impl Subscriber) -> Duration {
    node.drain_grace().mul_f64(SILENT_PART).clamp(SILENT_LEAST, SILENT_MOST)
}

/// A connection to discovery.
pub type Sender = SendRequest<Empty<Bytes>>;

/// One call: what changed since the version held; where none is held, the whole list, and that at once. The
/// answer has to begin within the time that is given. A call that fails leaves no connection.
async fn call(
    node: &impl Subscriber,
    connection: &mut Option<Sender>,
    wait: Duration,
    begins_within: Duration,
) -> Result<List, CallError> {
    let mut kept = connection.take();
    let response =
        timeout(begins_within, ask(node, &mut kept, wait)).await.map_err(|_| CallError::Silent)??;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    let whole = read(node, response.into_body());
    let list = timeout(at_once(node) * WHOLE_WITHIN, whole).await.map_err(|_| CallError::Silent)??;
    *connection = kept;
    Ok(list)
}

/// The head of the answer to a call, on the connection that is kept or on a new one.
async fn ask(
    node: &impl Subscriber,
    connection: &mut Option<Sender>,
    wait: Duration,
) -> Result<Response<Incoming>, CallError> {
    let path = node.revision().map_or_else(
        || "/catalog/members".to_owned(),
        // The shortest wait that says what it is: 0 might mean none was named.
        |revision| format!("/catalog/members?since={revision}&timeout_ms={}", wait.as_millis().max(1)),
    );
    let request = Request::get(path).header("Host", node.discovery().to_string());
    let mut request = request.body(Empty::new()).expect("a sound request");
    loop {
        let (mut sender, fresh) = match connection.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => (sender, false),
            None => (connect(node).await.ok_or(CallError::Broken)?, true),
        };
        let unsent = match sender.ready().await {
            Err(_) => request,
            Ok(()) => match sender.try_send_request(request).await {
                Ok(response) => {
                    *connection = Some(sender);
                    return Ok(response);
                }
                Err(mut error) => error.take_message().ok_or(CallError::Broken)?,
            },
        };
        if fresh {
            return Err(CallError::Broken);
        }
        // A kept connection had been closed before the call was written: the call goes on a new one.
        request = unsent;
    }
}

/// The list in a body. What else the node has to do comes between its pieces.
async fn read(node: &impl Subscriber, mut body: Incoming) -> Result<List, CallError> {
    let mut decoder = Decoder::new(node.list_most());
    node.list_begins();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallError::Broken)?;
        for piece in frame.data_ref().map_or(&[][..], |bytes| bytes).chunks(PIECE) {
            decoder.feed(piece).map_err(CallError::List)?;
            decoder.leave_out(|member| node.is_held(member));
            yield_now().await;
        }
    }
    decoder.finish().map_err(CallError::List)
}

async fn connect(node: &impl Subscriber) -> Option<Sender> {
    let stream = TcpStream::connect(node.discovery()).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
