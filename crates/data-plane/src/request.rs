//! A request as it is sent to a server.

use std::sync::Arc;

use bytes::Bytes;
use dispatch::VersionRequirement;
use http::header::{HeaderMap, HeaderValue};
use http::Method;

use crate::headers::{text, ATTEMPT_ID, EXPECTED_VERSION, MODEL};

/// A request as it is sent to a server, without what each attempt adds.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) method: Method,
    /// The path and query, exactly as the client sent them.
    pub(crate) target: String,
    /// The headers without those that concern one connection only.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl UpstreamRequest {
    /// The id of the request, which the response must bear.
    pub(crate) fn id(&self) -> Option<&HeaderValue> {
        self.headers.get(ATTEMPT_ID)
    }

    /// The URL of the request at a server. `None` if parsing would change path or query.
    pub(crate) fn url(&self, authority: &str) -> Option<reqwest::Url> {
        let url = reqwest::Url::parse(&format!("http://{authority}{}", self.target)).ok()?;
        let (path, query) = match self.target.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (self.target.as_str(), None),
        };
        let is_unchanged = url.path() == path && url.query() == query && url.fragment().is_none();
        is_unchanged.then_some(url)
    }

    /// Whether path and query can be sent unchanged.
    pub(crate) fn is_sendable(&self) -> bool {
        self.url("server").is_some()
    }

    /// The model that the request is for.
    pub(crate) fn model(&self) -> Option<Arc<str>> {
        text(&self.headers, &MODEL).map(Into::into)
    }

    /// The version of that model that the client requires.
    pub(crate) fn version_requirement(&self) -> VersionRequirement {
        let version = text(&self.headers, &EXPECTED_VERSION).and_then(|version| version.parse().ok());
        version.map_or(VersionRequirement::Any, VersionRequirement::Exactly)
    }

    /// Whether the request is sent with a body, be it empty.
    pub(crate) fn has_body(&self) -> bool {
        !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT
    }
}
