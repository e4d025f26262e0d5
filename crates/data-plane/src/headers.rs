//! Names and values of the headers that the protocol between clients, nodes and servers defines.

use std::time::Duration;

use http::header::{HeaderMap, HeaderName, CONNECTION, HOST, RETRY_AFTER};

/// Identifies a request; a response bears the id of its request.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// How long the client will wait for the response, in milliseconds.
pub(crate) const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
/// The incarnation of the only server that may run the request.
pub(crate) const EXPECTED_SERVER: HeaderName = HeaderName::from_static("expected-carrier");
/// The only version of the weights that may run the request.
pub(crate) const EXPECTED_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// Asks for the events of a stream after this one.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The model that a request is for.
pub(crate) const MODEL: HeaderName = HeaderName::from_static("model");
/// The server's stamp, which every successful response bears.
pub(crate) const STAMP: HeaderName = HeaderName::from_static("postmark");
/// Says that the server did not run the request.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// The version of the weights that the server runs.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("weight-editions");
/// The server's load, see [`ServerLoad`].
const LOAD: HeaderName = HeaderName::from_static("carrier-load");
/// How long the server keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only and are not forwarded. `Content-Length` is among them, as each hop sets
/// it for the body that it sends, and `Expect`, as the HTTP server responds to it.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// The load of a server as it reports it in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerLoad {
    /// Requests that it works on.
    pub(crate) running: u32,
    /// Requests in its queue.
    pub(crate) queued: u32,
    /// Requests that it can work on at once.
    pub(crate) slots: u32,
}

impl ServerLoad {
    /// Reads the load from the headers of a response, if there is one.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let mut numbers = text(headers, &LOAD)?.split(',').map(|number| number.trim().parse().ok());
        let [running, queued, slots] = [numbers.next()??, numbers.next()??, numbers.next()??];
        Some(Self { running, queued, slots })
    }

    /// Whether all slots are taken.
    pub(crate) fn is_full(self) -> bool {
        self.running + self.queued >= self.slots
    }
}

/// The version of the weights that the headers of a response show.
pub(crate) fn version(headers: &HeaderMap) -> Option<u64> {
    text(headers, &VERSION)?.trim().parse().ok()
}

/// How long the server keeps an idle connection.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let mut timeouts =
        text(headers, &KEEP_ALIVE)?.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    timeouts.next()?.trim().parse().ok().map(Duration::from_secs)
}

/// After which time the server wants the request to be sent again; it may name fractions of a second.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = text(headers, &RETRY_AFTER)?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The value of a header, if it is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Drops the headers that concern one connection only, also those that `Connection` names.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.filter_map(|name| HeaderName::try_from(name.trim()).ok()) {
            // These are end-to-end by the protocol, whatever `Connection` says.
            if name != ATTEMPT_ID && name != HOST {
                kept.remove(name);
            }
        }
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}
