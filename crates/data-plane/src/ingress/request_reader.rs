//! Reading of a client's request within the operator's limits.

use std::fmt;

use bytes::Bytes;
use configuration::ConfigurationLimits;
use http::header::{HeaderName, HeaderValue, CONTENT_LENGTH};
use http::StatusCode;
use poem::error::ReadBodyError;
use poem::Request;
use tokio::time::{timeout_at, Instant};

use crate::headers::{end_to_end, header_text, ATTEMPT_ID};
use crate::request::UpstreamRequest;

/// The number of bytes of a header line besides name and value: a colon, a space, and a line break of two
/// bytes.
const HEADER_LINE_OVERHEAD: usize = 4;

/// Reason why a request is rejected before it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// The headers are larger than the operator's limit.
    HeadTooLarge,
    /// The request has no `Attempt-Id` header.
    MissingAttemptId,
    /// The body, or the length that its head declares, is larger than the operator's limit.
    BodyTooLarge,
    /// The body was not complete before the deadline of the request.
    BodyTimeout,
    /// The body is truncated or malformed.
    MalformedBody,
    /// The path or query can't be forwarded unchanged, see [`UpstreamRequest::is_sendable`].
    UnsendableTarget,
}

impl RequestError {
    /// Returns the status with which the node responds to the request.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::MissingAttemptId | Self::MalformedBody | Self::UnsendableTarget => StatusCode::BAD_REQUEST,
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::HeadTooLarge => "the headers of the request exceed the size limit",
            Self::MissingAttemptId => "the request has no Attempt-Id header",
            Self::BodyTooLarge => "the body of the request exceeds the size limit",
            Self::BodyTimeout => "the body of the request was not complete before the deadline",
            Self::MalformedBody => "the body of the request is truncated or malformed",
            Self::UnsendableTarget => "the path or query of the request can't be forwarded unchanged",
        })
    }
}

impl std::error::Error for RequestError {}

/// Reads a request including its body.
///
/// # Errors
///
/// Fails if the request exceeds a limit, is not complete before the deadline, or can't be forwarded.
pub(super) async fn read_request(
    mut request: Request,
    limits: &ConfigurationLimits,
    deadline: Instant,
) -> Result<UpstreamRequest, RequestError> {
    if head_bytes(&request) > limits.head_bytes {
        return Err(RequestError::HeadTooLarge);
    }
    if !request.headers().contains_key(ATTEMPT_ID) {
        return Err(RequestError::MissingAttemptId);
    }
    let body = read_body(&mut request, limits, deadline).await?;
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let headers = end_to_end(request.headers());
    let request = UpstreamRequest { method: request.method().clone(), target, headers, body };
    if request.is_sendable() {
        Ok(request)
    } else {
        Err(RequestError::UnsendableTarget)
    }
}

/// Returns the size of the headers in bytes, as an HTTP/1.1 client sends them, without the request line.
fn head_bytes(request: &Request) -> u64 {
    let line = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD) as u64
    };
    request.headers().iter().map(line).sum()
}

/// Returns the `Content-Length` of a request; `None` if it is missing or malformed.
fn declared_length(request: &Request) -> Option<u64> {
    header_text(request.headers(), &CONTENT_LENGTH)?.parse().ok()
}

/// Reads the body of a request, unless its declared length already exceeds the limit.
async fn read_body(
    request: &mut Request,
    limits: &ConfigurationLimits,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    if declared_length(request).is_some_and(|declared| declared > limits.body_bytes) {
        return Err(RequestError::BodyTooLarge);
    }
    let max_bytes = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let body = request.take_body().into_bytes_limit(max_bytes);
    match timeout_at(deadline, body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(RequestError::BodyTooLarge),
        Ok(Err(_)) => Err(RequestError::MalformedBody),
        Err(_) => Err(RequestError::BodyTimeout),
    }
}
