//! An attempt at one server: sends the request and validates the head of the response.

use std::time::Duration;

use dispatch::RequestOutcome;
use http::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use http::StatusCode;
use reqwest::{RequestBuilder, Response};
use tokio::time::{timeout_at, Instant};

use crate::headers::{
    keep_alive_timeout, retry_after, weights_version, ServerLoad, ATTEMPT_ID, EXPECTED_SERVER,
    EXPECTED_VERSION, LAST_EVENT_ID, NOT_RUN, STAMP, TIME_LEFT,
};
use crate::request::UpstreamRequest;
use crate::selection::InFlightRequest;
use crate::upstream::error::AttemptError;
use crate::upstream::options::AttemptOptions;
use crate::upstream::response::{drain_body, UpstreamResponse};

/// The part of the time left that is reserved for the transit of the response; the server receives the rest.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(4);
/// The minimum time that the server must have had for a timeout to count as a failure of the server.
const MIN_TIMEOUT_COUNTED_AS_FAILURE: Duration = Duration::from_millis(250);
/// The maximum time until the head of the response, in idle timeouts. It is more than one idle timeout
/// because the request may wait in the server's queue.
const HEAD_TIMEOUT_FACTOR: u32 = 2;

/// An attempt to have a request executed by the server that was selected for it.
pub(crate) struct UpstreamAttempt<'a> {
    pub(crate) in_flight: InFlightRequest,
    pub(crate) request: &'a UpstreamRequest,
    pub(crate) options: AttemptOptions,
}

impl UpstreamAttempt<'_> {
    /// Sends the request and waits for the head of a valid response.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be sent or is rejected, or if the head of the response is invalid or
    /// doesn't arrive in time.
    pub(crate) async fn send(mut self) -> Result<UpstreamResponse, AttemptError> {
        let request = self.build_request().ok_or(AttemptError::Unsendable)?;
        let started = Instant::now();
        let sent = timeout_at(self.options.idle_deadline(HEAD_TIMEOUT_FACTOR), request.send()).await;
        match sent {
            Ok(Ok(response)) => self.accept(response),
            Ok(Err(error)) => {
                self.in_flight.set_outcome(RequestOutcome::Failure);
                Err(if error.is_connect() {
                    AttemptError::ConnectFailed
                } else {
                    AttemptError::ConnectionBroken
                })
            }
            Err(_) => {
                if started.elapsed() >= MIN_TIMEOUT_COUNTED_AS_FAILURE {
                    self.in_flight.set_outcome(RequestOutcome::Failure);
                }
                Err(AttemptError::TimedOut)
            }
        }
    }

    /// Builds the request; `None` if the URL, the headers or the HTTP client can't be built.
    fn build_request(&self) -> Option<RequestBuilder> {
        let url = self.request.url(&self.in_flight.server().address.to_string())?;
        let client = self.in_flight.client().ok()?;
        let headers = self.request_headers()?;
        let request = client.request(self.request.method.clone(), url).headers(headers);
        Some(if self.request.has_body() { request.body(self.request.body.clone()) } else { request })
    }

    /// Returns the headers of the request with those that this attempt adds; `None` if the id of the server
    /// is not a valid header value.
    fn request_headers(&self) -> Option<HeaderMap> {
        let mut headers = self.request.headers.clone();
        headers.insert(EXPECTED_SERVER, HeaderValue::from_str(&self.in_flight.server().id).ok()?);
        headers.insert(TIME_LEFT, self.time_left_ms().into());
        if let Some(version) = self.options.expected_version {
            headers.insert(EXPECTED_VERSION, version.into());
        }
        if let Some(id) = self.options.last_event_id {
            headers.insert(LAST_EVENT_ID, id.into());
        }
        Some(headers)
    }

    /// Returns the time that the server may take, in milliseconds; at least 1.
    fn time_left_ms(&self) -> u64 {
        let time_left = self.options.deadline.saturating_duration_since(Instant::now());
        let time_left = time_left.saturating_sub(RESPONSE_TRANSIT_TIME).as_millis();
        u64::try_from(time_left).unwrap_or(u64::MAX).max(1)
    }

    /// Validates the head of a response to this request. Records the load, version and health of the server
    /// that follow from it.
    fn accept(mut self, response: Response) -> Result<UpstreamResponse, AttemptError> {
        if response.headers().get(ATTEMPT_ID) != self.request.id() {
            // Later responses on this connection may belong to other requests as well.
            self.in_flight.discard_connections();
            self.in_flight.set_outcome(RequestOutcome::Failure);
            return Err(AttemptError::InvalidResponse);
        }
        let version = self.record_server_state(response.headers());
        if is_rejection(&response) {
            let outcome = self.record_rejection(&response);
            self.in_flight.set_outcome(outcome);
            let retry_after = retry_after(response.headers());
            drain_body(response);
            return Err(AttemptError::Rejected { retry_after });
        }
        if let Some(model) = self.request.model().filter(|_| response.status().is_success()) {
            self.in_flight.record_model_serving(&model);
        }
        if !is_valid(&response) {
            self.in_flight.set_outcome(RequestOutcome::Failure);
            return Err(AttemptError::InvalidResponse);
        }
        Ok(UpstreamResponse::new(self.in_flight, response, self.options, version))
    }

    /// Records the load, the keep-alive timeout and the version in the headers of a response. Returns the
    /// version.
    fn record_server_state(&self, headers: &HeaderMap) -> Option<u64> {
        if let Some(load) = ServerLoad::from_headers(headers) {
            self.in_flight.record_load(load);
        }
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.in_flight.record_keep_alive(timeout);
        }
        let version = weights_version(headers);
        if let (Some(version), Some(model)) = (version, self.request.model()) {
            self.in_flight.record_version(&model, version);
        }
        version
    }

    /// Records why the server rejected the request. Returns the outcome by which the rejection counts for the
    /// health of the server.
    fn record_rejection(&self, response: &Response) -> RequestOutcome {
        let is_full = ServerLoad::from_headers(response.headers()).is_none_or(ServerLoad::is_full);
        match (response.status(), self.request.model(), self.options.expected_version) {
            (StatusCode::SERVICE_UNAVAILABLE, Some(model), _) if !is_full => {
                self.in_flight.record_model_loading(&model);
                RequestOutcome::Cancelled
            }
            (StatusCode::MISDIRECTED_REQUEST, Some(model), Some(version)) => {
                self.in_flight.record_version_rejected(&model, version);
                RequestOutcome::Cancelled
            }
            // A different server responds at this address, so the selected one no longer exists there.
            (StatusCode::MISDIRECTED_REQUEST, ..) => RequestOutcome::Failure,
            _ => RequestOutcome::Overloaded,
        }
    }
}

/// Whether the response guarantees that the server did not execute the request.
fn is_rejection(response: &Response) -> bool {
    match response.status() {
        StatusCode::MISDIRECTED_REQUEST => true,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::BAD_REQUEST => {
            response.headers().contains_key(NOT_RUN)
        }
        _ => false,
    }
}

/// Whether the protocol allows the head of this response: a successful response must have a stamp, and no
/// response may be informational or have an encoded body.
///
/// A response without a length is valid: its body ends when the server closes the connection, and reading the
/// body fails if the connection is reset.
fn is_valid(response: &Response) -> bool {
    let (status, headers) = (response.status(), response.headers());
    let is_stamped = !status.is_success() || headers.contains_key(STAMP);
    is_stamped && !status.is_informational() && !headers.contains_key(CONTENT_ENCODING)
}
