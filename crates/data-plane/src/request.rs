//! The request type that the ingress and the batch jobs pass to attempts.

use std::sync::Arc;

use bytes::Bytes;
use dispatch::VersionRequirement;
use http::header::{HeaderMap, HeaderValue};
use http::Method;

use crate::headers::{header_text, ATTEMPT_ID, EXPECTED_VERSION, MODEL};

/// A request to a server, without the headers that each attempt adds, such as the time left.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) method: Method,
    /// The path and query, exactly as the client or the batch job specified them.
    pub(crate) target: String,
    /// The headers without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl UpstreamRequest {
    /// Returns the id of the request. A valid response has the same id.
    pub(crate) fn id(&self) -> Option<&HeaderValue> {
        self.headers.get(ATTEMPT_ID)
    }

    /// Returns the URL of the request for the server at `authority`. Returns `None` if parsing the URL would
    /// change the path or query, for example by resolving `..`.
    pub(crate) fn url(&self, authority: &str) -> Option<reqwest::Url> {
        let url = reqwest::Url::parse(&format!("http://{authority}{}", self.target)).ok()?;
        let (path, query) = match self.target.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (self.target.as_str(), None),
        };
        let is_unchanged = url.path() == path && url.query() == query && url.fragment().is_none();
        is_unchanged.then_some(url)
    }

    /// Whether the path and query can be sent unchanged.
    pub(crate) fn is_sendable(&self) -> bool {
        self.url("server").is_some()
    }

    /// Returns the name of the model that the request is for, if it has a `Model` header.
    pub(crate) fn model(&self) -> Option<Arc<str>> {
        header_text(&self.headers, &MODEL).map(Into::into)
    }

    /// Returns the version of the weights that the client requires, or `Any` if it requires none.
    pub(crate) fn version_requirement(&self) -> VersionRequirement {
        let version = header_text(&self.headers, &EXPECTED_VERSION).and_then(|version| version.parse().ok());
        version.map_or(VersionRequirement::Any, VersionRequirement::Exactly)
    }

    /// Whether the request is sent with a body, which may be empty: `POST` and `PUT` always have one.
    pub(crate) fn has_body(&self) -> bool {
        !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT
    }
}
