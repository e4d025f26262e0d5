//! Answers for clients, and what a failed attempt proves.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use http::StatusCode;

/// Whether a request may have run at a server that gave no proper answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It has not run there and never will.
    NotRun,
    /// It may have run, or run still.
    MayHaveRun,
}

/// The body of an answer.
pub enum ResponseBody {
    /// All of it.
    Complete(Bytes),
    /// It comes piece by piece. An error means that the answer must be broken off.
    Stream(BoxStream<'static, std::io::Result<Bytes>>),
}

/// An answer for a client.
pub struct ClientResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

impl ClientResponse {
    /// An answer of our own.
    pub(crate) fn own(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: ResponseBody::Complete(Bytes::new()) }
    }

    /// The promise that the request has not run and never will.
    pub(crate) fn not_run(retry_after: Duration) -> Self {
        let mut answer = Self::own(StatusCode::SERVICE_UNAVAILABLE);
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            answer.headers.insert(RETRY_AFTER, value);
        }
        answer
    }
}

impl From<ClientResponse> for poem::Response {
    fn from(answer: ClientResponse) -> Self {
        let mut response = match answer.body {
            ResponseBody::Complete(bytes) => Self::builder().body(bytes),
            ResponseBody::Stream(pieces) => Self::builder().body(poem::Body::from_bytes_stream(pieces)),
        };
        response.set_status(answer.status);
        *response.headers_mut() = answer.headers;
        response
    }
}
