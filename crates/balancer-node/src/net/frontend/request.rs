//! Checks the head of a client's request against the configuration, reads its body, and derives the request
//! to forward.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, StatusCode, Uri};

use crate::net::config::Config;
use crate::net::upstream::MAX_BODY_BYTES;
use crate::{ClientRequest, Idempotency, RequestId};

/// Longest deadline that a client may set.
const MAX_CLIENT_DEADLINE: Duration = Duration::from_secs(3600);
/// A body over the limit is still read up to this length in bytes, so that its client receives the response.
const MAX_DISCARDED_BODY_BYTES: usize = 1 << 20;
/// Header fields that may occur at most once in a request.
const SINGLE_FIELDS: [&str; 8] = [
    "host",
    "x-request-id",
    "idempotency-key",
    "x-class",
    "x-tenant",
    "x-deadline",
    "x-retry",
    "x-cost-hint",
];
/// Header fields that are forwarded to servers unchanged.
const FORWARDED_FIELDS: [&str; 6] =
    ["host", "x-request-id", "idempotency-key", "content-type", "x-class", "x-tenant"];

/// The contents of a valid request head.
pub(super) struct RequestHead {
    /// Time for which the client waits for the response, from its `X-Deadline`.
    pub(super) deadline: Duration,
    /// The request for the decision logic; its id and budget are not set yet.
    pub(super) request: ClientRequest,
}

/// The reason why a request head is invalid: the body of the response with status 400.
#[derive(Clone, Copy)]
pub(super) struct InvalidHead(pub(super) &'static str);

/// Header fields of a request, with accessors for those that the decision logic needs.
struct Fields<'a>(&'a HeaderMap);

impl Fields<'_> {
    fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the deadline; `None` if it is missing, zero, malformed or above [`MAX_CLIENT_DEADLINE`].
    fn deadline(&self) -> Option<Duration> {
        let seconds = self.text("x-deadline").and_then(|text| text.parse().ok());
        let deadline = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        deadline.filter(|deadline| !deadline.is_zero() && *deadline <= MAX_CLIENT_DEADLINE)
    }

    /// Returns the index of the tenant; zero if the configuration has no tenants, and `None` if the tenant is
    /// missing or unknown.
    fn tenant(&self, tenants: &[String]) -> Option<usize> {
        match self.text("x-tenant") {
            _ if tenants.is_empty() => Some(0),
            name => name.and_then(|name| tenants.iter().position(|tenant| tenant == name)),
        }
    }

    /// Returns whether the method and the idempotency key are valid for the class. Without its key, a keyed
    /// request could take effect twice.
    fn matches_class(&self, idempotency: Idempotency, method: &Method) -> bool {
        match idempotency {
            Idempotency::Safe => method == Method::GET,
            Idempotency::Keyed { .. } => {
                method == Method::POST && self.text("idempotency-key").is_some_and(|key| !key.is_empty())
            }
            Idempotency::Unsafe => method == Method::POST,
        }
    }

    /// Returns the work that the client expects in milliseconds; the header field gives it in microseconds.
    fn cost_ms(&self) -> Option<f64> {
        let cost_us = self.text("x-cost-hint").and_then(|text| text.parse::<f64>().ok());
        cost_us.filter(|us| us.is_finite() && *us >= 0.0).map(|us| us / 1000.0)
    }
}

/// Checks a request head. The error is the first fault that is found.
pub(super) fn read_head(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
) -> Result<RequestHead, InvalidHead> {
    // If a field occurs twice, a server could use the value that the node does not use.
    let is_repeated = |name: &&str| headers.get_all(*name).iter().nth(1).is_some();
    if SINGLE_FIELDS.iter().any(is_repeated) {
        return Err(InvalidHead("a field comes twice\n"));
    }
    let fields = Fields(headers);
    if fields.text("x-request-id").is_none_or(str::is_empty) {
        return Err(InvalidHead("X-Request-Id is missing\n"));
    }
    let names = &config.names;
    let class = fields.text("x-class").and_then(|name| names.classes.iter().position(|n| n == name));
    let class = class.ok_or(InvalidHead("X-Class is missing or unknown\n"))?;
    let tenant = fields.tenant(&names.tenants).ok_or(InvalidHead("X-Tenant is missing or unknown\n"))?;
    let deadline = fields.deadline().ok_or(InvalidHead("X-Deadline is missing or no time above 0\n"))?;
    if !fields.matches_class(config.idempotency(class), method) {
        return Err(InvalidHead("the method or Idempotency-Key does not fit X-Class\n"));
    }
    let request = ClientRequest {
        tenant,
        cost_ms: fields.cost_ms(),
        is_retry: fields.text("x-retry") == Some("1"),
        ..ClientRequest::new(RequestId(0), class, 0.0)
    };
    Ok(RequestHead { deadline, request })
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns the status of the response: 400 if the body is incomplete or malformed, 413 if it is too long.
pub(super) async fn read_body(mut body: Incoming) -> Result<Bytes, StatusCode> {
    let (mut bytes, mut length) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        length += data.len();
        if length <= MAX_BODY_BYTES {
            bytes.extend_from_slice(&data);
        } else if length > MAX_DISCARDED_BODY_BYTES {
            break;
        }
    }
    if length > MAX_BODY_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    Ok(bytes.freeze())
}

/// Returns the target and the header fields that are forwarded to a server; `None` if the target is invalid.
pub(super) fn forwarded(uri: Uri, fields: &HeaderMap) -> Option<(Uri, HeaderMap)> {
    // If the target is a complete URL, servers get its host in the `Host` field and only path and query as
    // the target.
    let mut uri = uri.into_parts();
    let authority = uri.authority.take().and_then(|host| HeaderValue::from_str(host.as_str()).ok());
    uri.scheme = None;
    let uri = Uri::from_parts(uri).ok()?;
    let mut headers = HeaderMap::new();
    for name in FORWARDED_FIELDS {
        if let Some(value) = fields.get(name) {
            headers.insert(name, value.clone());
        }
    }
    if let Some(host) = authority {
        headers.insert(HOST, host);
    }
    headers.entry(HOST).or_insert(HeaderValue::from_static("origin"));
    Some((uri, headers))
}
