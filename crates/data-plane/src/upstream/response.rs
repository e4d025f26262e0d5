//! A server's response with a valid head, whose body is read chunk by chunk.

use std::time::Duration;

use bytes::Bytes;
use dispatch::RequestOutcome;
use http::header::HeaderMap;
use http::StatusCode;
use reqwest::Response;
use tokio::time::{timeout, timeout_at, Instant};

use crate::selection::InFlightRequest;
use crate::upstream::error::AttemptError;
use crate::upstream::options::AttemptOptions;

/// The maximum length of a discarded body that is read to its end so that its connection can be reused.
const MAX_DRAINED_BYTES: u64 = 64 * 1024;
/// The maximum time for reading a discarded body to its end.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A server's response whose head is valid and whose body has not been read completely. The request counts as
/// in flight until the response is dropped.
pub(crate) struct UpstreamResponse {
    in_flight: InFlightRequest,
    response: Response,
    options: AttemptOptions,
    /// The version of the weights in the head of the response.
    version: Option<u64>,
}

impl UpstreamResponse {
    pub(super) fn new(
        in_flight: InFlightRequest,
        response: Response,
        options: AttemptOptions,
        version: Option<u64>,
    ) -> Self {
        Self { in_flight, response, options, version }
    }

    pub(crate) fn status(&self) -> StatusCode {
        self.response.status()
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Returns the version of the weights in the head of the response; `None` if it is missing.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the guard of the request, through which observations about the server are recorded.
    pub(crate) fn in_flight(&self) -> &InFlightRequest {
        &self.in_flight
    }

    /// Waits for the next chunk of the body; returns `None` at its proper end.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated, or if no chunk arrives before the idle timeout or the deadline.
    pub(crate) async fn chunk(&mut self) -> Result<Option<Bytes>, AttemptError> {
        let Ok(chunk) = timeout_at(self.options.idle_deadline(1), self.response.chunk()).await else {
            if Instant::now() < self.options.deadline {
                self.in_flight.set_outcome(RequestOutcome::Failure);
            }
            return Err(AttemptError::TimedOut);
        };
        match chunk {
            Ok(Some(bytes)) => Ok(Some(bytes)),
            Ok(None) => {
                self.in_flight.set_outcome(self.complete_outcome());
                Ok(None)
            }
            Err(_) => {
                self.in_flight.set_outcome(RequestOutcome::Failure);
                Err(AttemptError::ConnectionBroken)
            }
        }
    }

    /// Discards the body. The outcome of the request is the same as if the body had been read to its end.
    pub(crate) fn discard(mut self) {
        self.in_flight.set_outcome(self.complete_outcome());
        drain_body(self.response);
    }

    /// Returns the outcome of the request once its response is complete, according to the status.
    fn complete_outcome(&self) -> RequestOutcome {
        if self.status().is_server_error() {
            RequestOutcome::ServerError
        } else {
            RequestOutcome::Success
        }
    }
}

/// Reads the rest of a discarded body in the background if the body is short, so that its connection can be
/// reused.
pub(super) fn drain_body(mut response: Response) {
    if response.content_length().is_some_and(|length| length <= MAX_DRAINED_BYTES) {
        tokio::spawn(async move {
            let reading = async { while let Ok(Some(_)) = response.chunk().await {} };
            let _ = timeout(DRAIN_TIMEOUT, reading).await;
        });
    }
}
