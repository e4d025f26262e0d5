//! The list of servers: watches on it, one after the other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::config::List;

/// How long discovery may wait for news before it answers that there are none. What a silent watch misses counts
/// as told 6 s after it fell silent, or 2 s after this wait; sooner found, less goes to servers that have left.
const WAIT: Duration = Duration::from_secs(2);
/// A call is silent when its answer has not come within this part of the grace after a drain, past its wait. Two
/// such times, with the pause between, are less than the grace: news that counts at once is heard in it.
const SILENT_PART: f64 = 0.25;
/// ... or within this time, where the grace is very short.
const SILENT_LEAST: Duration = Duration::from_millis(100);
/// Between calls at the start, where discovery is not up.
const PAUSE: Duration = Duration::from_millis(20);
/// A list may be this long.
const LIST_MOST: usize = 1 << 20;

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
    /// A call failed or was silent; the list held stands.
    fn list_failed(self: &Rc<Self>);
}

/// Asks for the whole list before the first client is taken: what discovery has counts as told from the first
/// moment on. Where it does not answer at once it is down, and the list last known has to do.
pub async fn first<S: Subscriber>(node: &Rc<S>) -> Option<Sender> {
    let mut connection = None;
    let whole = async {
        loop {
            if let Some(list) = call(&**node, &mut connection, Duration::ZERO).await {
                return list;
            }
            connection = None;
            sleep(PAUSE).await;
        }
    };
    let list = timeout(at_once(&**node), whole).await.ok()?;
    node.listed(list);
    connection
}

/// Watches whenever the decisions want it, until a call fails; then they are told. Where discovery moves, the
/// watch goes on there at once, whatever the decisions are waiting for.
pub async fn follow<S: Subscriber>(node: Rc<S>, mut connection: Option<Sender>) {
    // Only a discovery that has just answered may take its time with the next answer.
    let mut wait = if connection.is_some() { WAIT } else { Duration::ZERO };
    loop {
        tokio::select! {
            () = node.wanted().notified() => {}
            () = node.moved().notified() => wait = Duration::ZERO,
        }
        // The next watch follows at once: what changes between watches is told by none.
        loop {
            let list = tokio::select! {
                biased;
                () = node.moved().notified() => {
                    (connection, wait) = (None, Duration::ZERO);
                    continue;
                }
                list = timeout(wait + at_once(&*node), call(&*node, &mut connection, wait)) => list,
            };
            let Ok(Some(list)) = list else { break };
            wait = WAIT;
            node.listed(list);
        }
        (connection, wait) = (None, Duration::ZERO);
        node.list_failed();
    }
}

/// How long an answer may take that has nothing to wait for.
fn at_once(node: &impl Subscriber) -> Duration {
    node.drain_grace().mul_f64(SILENT_PART).max(SILENT_LEAST)
}

/// A connection to discovery.
pub type Sender = SendRequest<Empty<Bytes>>;

/// One call: what changed since the version held, or nothing where the call failed. Where none is held, the
/// whole list, and that at once.
async fn call(node: &impl Subscriber, connection: &mut Option<Sender>, wait: Duration) -> Option<List> {
    let path = node.revision().map_or_else(
        || "/catalog/members".to_owned(),
        // The shortest wait that says what it is: 0 might mean none was named.
        |revision| format!("/catalog/members?since={revision}&timeout_ms={}", wait.as_millis().max(1)),
    );
    let request = Request::get(path).header("Host", node.discovery().to_string());
    let mut request = request.body(Empty::new()).expect("a sound request");
    let response = loop {
        let (mut sender, fresh) = match connection.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => (sender, false),
            None => (connect(node).await?, true),
        };
        let unsent = match sender.ready().await {
            Err(_) => request,
            Ok(()) => match sender.try_send_request(request).await {
                Ok(response) => {
                    *connection = Some(sender);
                    break response;
                }
                Err(mut error) => error.take_message()?,
            },
        };
        if fresh {
            return None;
        }
        // A kept connection had been closed before the call was written: the call goes on a new one.
        request = unsent;
    };
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = Limited::new(response.into_body(), LIST_MOST).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

async fn connect(node: &impl Subscriber) -> Option<Sender> {
    let stream = TcpStream::connect(node.discovery()).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
