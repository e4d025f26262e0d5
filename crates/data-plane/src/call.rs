//! A request as it goes to a server.

use std::sync::Arc;

use bytes::Bytes;
use dispatch::VersionNeed;
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

    /// Its URL at a server, if the server will see the very path and query of the client.
    pub(crate) fn url(&self, authority: &str) -> Option<reqwest::Url> {
        let url = reqwest::Url::parse(&format!("http://{authority}{}", self.target)).ok()?;
        let (path, query) = match self.target.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (self.target.as_str(), None),
        };
        let is_unchanged = url.path() == path && url.query() == query && url.fragment().is_none();
        is_unchanged.then_some(url)
    }

    /// Whether its path and query can be sent unchanged.
    pub(crate) fn is_sendable(&self) -> bool {
        self.url("server").is_some()
    }

    /// The model that it names.
    pub(crate) fn model(&self) -> Option<Arc<str>> {
        let model = self.headers.get(MODEL)?.to_str().ok()?;
        Some(model.into())
    }

    /// The version of that model that the client expects.
    pub(crate) fn version_need(&self) -> VersionNeed {
        let expected =
            self.headers.get(EXPECT_VERSION).and_then(|version| version.to_str().ok()?.parse().ok());
        expected.map_or(VersionNeed::Any, VersionNeed::Exactly)
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
