//! Names and values of the headers that the protocol between clients, nodes and servers defines, and the
//! removal of hop-by-hop headers.

use std::time::Duration;

use http::header::{HeaderMap, HeaderName, CONNECTION, HOST, RETRY_AFTER};

/// The id of a request, set by the client. A response repeats the id of its request.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// The time that the sender will still wait for the response, in milliseconds.
pub(crate) const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
/// The id of the server for which the request is intended, which differs between incarnations of a server.
/// Any other server rejects the request.
pub(crate) const EXPECTED_SERVER: HeaderName = HeaderName::from_static("expected-carrier");
/// The only version of the weights that may process the request.
pub(crate) const EXPECTED_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The id of the last event that the sender of the request has received; the stream continues after it.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The name of the model that processes the request.
pub(crate) const MODEL: HeaderName = HeaderName::from_static("model");
/// A value that every successful response of a server must contain. In the response to a reward call it is
/// the grade.
pub(crate) const STAMP: HeaderName = HeaderName::from_static("postmark");
/// Marks a response with status 400, 429 or 503 as a rejection: the server did not execute the request.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// The version of the weights with which the server processes the request.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("weight-editions");
/// The current load of the server, in the format of [`ServerLoad::from_headers`].
const LOAD: HeaderName = HeaderName::from_static("carrier-load");
/// The time for which the server keeps an idle connection, as `timeout=` with a number of seconds.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers, which concern a single connection and are not forwarded. `Content-Length` is one of
/// them because each hop sets it for the body that it sends, and `Expect` because the HTTP server of this
/// node responds to it.
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

/// The load that a server reports in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerLoad {
    /// The number of requests that the server processes at present.
    pub(crate) running: u32,
    /// The number of requests in the server's queue.
    pub(crate) queued: u32,
    /// The number of requests that the server can process concurrently.
    pub(crate) slots: u32,
}

impl ServerLoad {
    /// Parses the load, three numbers separated by commas: running, queued, slots. Returns `None` if the
    /// header is missing or malformed.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let mut numbers = header_text(headers, &LOAD)?.split(',').map(|number| number.trim().parse().ok());
        let [running, queued, slots] = [numbers.next()??, numbers.next()??, numbers.next()??];
        Some(Self { running, queued, slots })
    }

    /// Whether the running and queued requests occupy all slots.
    pub(crate) fn is_full(self) -> bool {
        self.running + self.queued >= self.slots
    }
}

/// Returns the version of the weights in the headers of a response; `None` if it is missing or malformed.
pub(crate) fn weights_version(headers: &HeaderMap) -> Option<u64> {
    header_text(headers, &VERSION)?.trim().parse().ok()
}

/// Returns how long the server keeps an idle connection; `None` if it doesn't announce a timeout.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let mut timeouts =
        header_text(headers, &KEEP_ALIVE)?.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
    timeouts.next()?.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the `Retry-After` of a response; `None` if it is missing or malformed. Unlike in standard HTTP, it
/// may be a fraction of a second.
pub(crate) fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = header_text(headers, &RETRY_AFTER)?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Returns the value of a header; `None` if the header is missing or contains bytes other than visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the headers without hop-by-hop headers. The headers that `Connection` lists are removed as well.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for value in headers.get_all(CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.filter_map(|name| HeaderName::try_from(name.trim()).ok()) {
            // The protocol forwards `Attempt-Id` and `Host` end to end, even if `Connection` lists them.
            if name != ATTEMPT_ID && name != HOST {
                forwarded.remove(name);
            }
        }
    }
    for name in HOP_BY_HOP {
        forwarded.remove(name);
    }
    forwarded
}
