//! A client's request: its head checked against the configuration, its body read, and the request to forward.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, StatusCode, Uri};

use crate::net::config::Config;
use crate::net::upstream::MAX_BODY_BYTES;
use crate::{ClientRequest, Idempotency, RequestId};

/// The longest deadline that a client may set.
const MAX_CLIENT_DEADLINE: Duration = Duration::from_secs(3600);
/// A body over the limit is read on so far, so that its client gets to see the answer.
const MAX_DISCARDED_BODY_BYTES: usize = 1 << 20;
/// Fields that a request has once at most.
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
/// Fields that are forwarded unchanged.
const FORWARDED_FIELDS: [&str; 6] =
    ["host", "x-request-id", "idempotency-key", "content-type", "x-class", "x-tenant"];

/// What a request head says.
pub(super) struct RequestHead {
    /// How long the client waits.
    pub(super) deadline: Duration,
    /// The request, without its id and budget.
    pub(super) request: ClientRequest,
}

/// A request head that is answered with 400; the text of the answer says why.
#[derive(Clone, Copy)]
pub(super) struct InvalidHead(pub(super) &'static str);

/// Header fields that decide about a request.
struct Fields<'a>(&'a HeaderMap);

impl Fields<'_> {
    fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).and_then(|value| value.to_str().ok())
    }

    fn deadline(&self) -> Option<Duration> {
        let seconds = self.text("x-deadline").and_then(|text| text.parse().ok());
        let deadline = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
        deadline.filter(|deadline| !deadline.is_zero() && *deadline <= MAX_CLIENT_DEADLINE)
    }

    /// The index of the tenant; zero where the configuration has no tenants.
    fn tenant(&self, tenants: &[String]) -> Option<usize> {
        match self.text("x-tenant") {
            _ if tenants.is_empty() => Some(0),
            name => name.and_then(|name| tenants.iter().position(|tenant| tenant == name)),
        }
    }

    /// Whether method and key fit the class. Without its key a keyed request could take effect twice.
    fn fit(&self, idempotency: Idempotency, method: &Method) -> bool {
        match idempotency {
            Idempotency::Safe => method == Method::GET,
            Idempotency::Keyed { .. } => {
                method == Method::POST && self.text("idempotency-key").is_some_and(|key| !key.is_empty())
            }
            Idempotency::Unsafe => method == Method::POST,
        }
    }

    /// The work that the client expects, in milliseconds.
    fn cost_ms(&self) -> Option<f64> {
        let cost_us = self.text("x-cost-hint").and_then(|text| text.parse::<f64>().ok());
        cost_us.filter(|us| us.is_finite() && *us >= 0.0).map(|us| us / 1000.0)
    }
}

/// Reads a request head. The first fault that is found is the answer's.
pub(super) fn read_head(
    config: &Config,
    method: &Method,
    headers: &HeaderMap,
) -> Result<RequestHead, InvalidHead> {
    // Servers could read the other one of two fields.
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
    if !fields.fit(config.idempotency(class), method) {
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
/// The status to answer with: 400 where the body breaks off, 413 where it is too long.
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

/// The target and the header fields that are forwarded to a server; `None` where the target is invalid.
pub(super) fn forwarded(uri: Uri, fields: &HeaderMap) -> Option<(Uri, HeaderMap)> {
    // A complete URL names the host; servers get the short form.
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
