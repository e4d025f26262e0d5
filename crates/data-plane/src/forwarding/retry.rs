//! The retry policy of a request: whether a further attempt is allowed, at which server it is made, and which
//! error the client receives.

use std::sync::Arc;
use std::time::Duration;

use configuration::Route;
use dispatch::SelectionCriteria;
use http::StatusCode;
use state::ServerId;
use tokio::time::Instant;

use crate::request::UpstreamRequest;
use crate::response::ClientResponse;
use crate::selection::{InFlightRequest, ServerSelector};
use crate::upstream::{AttemptError, ExecutionStatus};

/// No further attempt is made once the number of rejections exceeds this limit, so that retries don't amplify
/// overload.
const MAX_REJECTIONS: usize = 6;
/// The `Retry-After` that the client receives if no server specified one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The maximum `Retry-After` that the client receives, as other servers may have free capacity earlier than
/// the ones that rejected the request.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The attempts of one request, with which the retry policy is enforced.
///
/// Invariant: at most [`Self::max_executions`] attempts may have been executed by a server. Attempts that are
/// known not to have been executed (rejections) don't count; [`MAX_REJECTIONS`] limits them.
pub(crate) struct RetryState {
    pub(crate) selector: ServerSelector,
    pub(crate) route: Arc<Route>,
    pub(crate) request: Arc<UpstreamRequest>,
    pub(crate) deadline: Instant,
    /// Whether the request may be executed more than once.
    pub(crate) is_idempotent: bool,
    model: Option<Arc<str>>,
    /// The server of each attempt, in the order in which the attempts were started.
    attempted: Vec<ServerId>,
    /// The errors of the attempts that yielded no valid response, in the order in which the attempts ended.
    errors: Vec<AttemptError>,
}

impl RetryState {
    /// Creates the state of a request before its first attempt. A request that isn't idempotent is executed
    /// at most once.
    pub(crate) fn new(
        selector: ServerSelector,
        route: Arc<Route>,
        request: Arc<UpstreamRequest>,
        is_idempotent: bool,
        deadline: Instant,
    ) -> Self {
        Self {
            model: request.model(),
            selector,
            route,
            request,
            deadline,
            is_idempotent,
            attempted: Vec::new(),
            errors: Vec::new(),
        }
    }

    /// Selects a server for the next attempt. Returns `None` if no further attempt is allowed or no server is
    /// eligible. If all eligible servers were already attempted, the attempt is repeated at one of them only
    /// if `may_repeat_server` is set.
    pub(crate) fn next_attempt(&mut self, may_repeat_server: bool) -> Option<InFlightRequest> {
        if !self.may_attempt() {
            return None;
        }
        let criteria = SelectionCriteria {
            targets: &self.route.targets,
            model: self.model.as_deref(),
            version: self.request.version_requirement(),
            attempted: &self.attempted,
            prefix_cache_server: None,
            requires_free_capacity: false,
            max_idle_connection_age: Some(self.selector.idle_timeout()),
        };
        let in_flight = self.selector.select(&criteria)?;
        let id = &in_flight.server().id;
        if !may_repeat_server && self.attempted.contains(id) {
            return None;
        }
        self.attempted.push(Arc::clone(id));
        Some(in_flight)
    }

    /// Records the error of an attempt that yielded no valid response.
    pub(crate) fn record_error(&mut self, error: AttemptError) {
        self.errors.push(error);
    }

    /// Whether any attempt is known not to have been executed.
    pub(crate) fn has_rejections(&self) -> bool {
        self.rejections() > 0
    }

    /// Returns the response to the client if no server sent a valid one. Considers the errors of all
    /// attempts.
    pub(crate) fn error_response(&self) -> ClientResponse {
        self.error_response_for(&self.errors)
    }

    /// Like [`Self::error_response`], but if any attempt may have been executed, the status depends only on
    /// the error of the last attempt.
    pub(crate) fn last_error_response(&self) -> ClientResponse {
        self.error_response_for(self.errors.last().map_or(&[], std::slice::from_ref))
    }

    /// Returns 503 if no attempt can have been executed, with the smallest `Retry-After` of all attempts, but
    /// at most [`MAX_RETRY_AFTER`]. Otherwise returns 504 if one of `errors` is a timeout, else 502.
    fn error_response_for(&self, errors: &[AttemptError]) -> ClientResponse {
        if self.executions() == 0 {
            let retry_after = self.errors.iter().filter_map(AttemptError::retry_after).min();
            ClientResponse::not_executed(retry_after.unwrap_or(DEFAULT_RETRY_AFTER).min(MAX_RETRY_AFTER))
        } else if errors.iter().any(AttemptError::is_timeout) {
            ClientResponse::from_node(StatusCode::GATEWAY_TIMEOUT)
        } else {
            ClientResponse::from_node(StatusCode::BAD_GATEWAY)
        }
    }

    /// Whether a further attempt is allowed by the limits and the deadline.
    fn may_attempt(&self) -> bool {
        self.executions() < self.max_executions()
            && self.rejections() <= MAX_REJECTIONS
            && Instant::now() < self.deadline
    }

    /// Returns the maximum number of attempts that may have been executed.
    fn max_executions(&self) -> usize {
        match self.is_idempotent {
            true => self.route.max_attempts.max(1) as usize,
            false => 1,
        }
    }

    /// Returns the number of attempts that may have been executed, including those in flight.
    fn executions(&self) -> usize {
        self.attempted.len() - self.rejections()
    }

    /// Returns the number of attempts that are known not to have been executed.
    fn rejections(&self) -> usize {
        self.errors.iter().filter(|error| error.execution_status() == ExecutionStatus::NotExecuted).count()
    }
}
