//! A request as it goes to a server.

use std::sync::Arc;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::Method;

/// The header that names a request.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// The header with the time that the client will wait.
pub(crate) const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
/// The header that names the server which alone may run the request.
pub(crate) const EXPECTED_SERVER: HeaderName = HeaderName::from_static("expected-carrier");
/// The header that names the version which alone may run the request.
pub(crate) const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The header that asks for the events behind this one.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The header that names the model.
pub(crate) const MODEL: HeaderName = HeaderName::from_static("model");

/// Headers that concern one connection only.
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

/// A request as it goes to a server.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path and query, unchanged.
    pub target: String,
    /// Its headers without those that concern one connection only.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    /// The identity of the request.
    pub(crate) fn id(&self) -> Option<&HeaderValue> {
        self.headers.get(ATTEMPT_ID)
    }

    /// The model that it names.
    pub(crate) fn model(&self) -> Option<Arc<str>> {
        let model = self.headers.get(MODEL)?.to_str().ok()?;
        Some(model.into())
    }
}

/// Drops the headers that concern one connection only, also those that `Connection` names.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for named in headers.get_all(http::header::CONNECTION) {
        let names = named.to_str().unwrap_or_default().split(',');
        for name in names.filter_map(|name| HeaderName::try_from(name.trim()).ok()) {
            // These are the protocol's own, whatever a client calls them.
            if name != ATTEMPT_ID && name != http::header::HOST {
                kept.remove(name);
            }
        }
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}
