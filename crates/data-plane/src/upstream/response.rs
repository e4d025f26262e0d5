//! A server's response whose head was accepted, and its body.

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

/// A body that nobody waits for is read to its end up to this length, so that its connection can be used again.
const MAX_DRAINED_BYTES: u64 = 64 * 1024;
/// A body that nobody waits for must end within this time.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A server's response to a request; its body is yet to be read.
pub(crate) struct UpstreamResponse {
    in_flight: InFlightRequest,
    response: Response,
    options: AttemptOptions,
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

    /// The version of the weights, if the head shows it.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    /// The request that the response is to.
    pub(crate) fn in_flight(&self) -> &InFlightRequest {
        &self.in_flight
    }

    /// The next chunk of the body; `None` at its proper end.
    ///
    /// # Errors
    ///
    /// If the body is truncated or doesn't come in time.
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

    /// Discards the body; the request counts as if the body had been read to its end.
    pub(crate) fn discard(mut self) {
        self.in_flight.set_outcome(self.complete_outcome());
        drain_body(self.response);
    }

    fn complete_outcome(&self) -> RequestOutcome {
        if self.status().is_server_error() {
            RequestOutcome::ServerError
        } else {
            RequestOutcome::Success
        }
    }
}

/// Reads what is left of a short body that nobody waits for, so that its connection can be used again.
pub(super) fn drain_body(mut response: Response) {
    if response.content_length().is_some_and(|length| length <= MAX_DRAINED_BYTES) {
        tokio::spawn(async move {
            let reading = async { while let Ok(Some(_)) = response.chunk().await {} };
            let _ = timeout(DRAIN_TIMEOUT, reading).await;
        });
    }
}
