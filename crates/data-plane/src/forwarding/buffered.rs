//! Forwarding of requests whose response is buffered until it is complete: retries, hedged requests, and the
//! selection of the response that the client receives.

use std::sync::Arc;

use configuration::Route;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::StatusCode;
use tokio::time::{sleep_until, Instant};

use crate::forwarding::buffering::buffer_response;
use crate::forwarding::forwarder::Forwarder;
use crate::forwarding::retry::RetryState;
use crate::request::UpstreamRequest;
use crate::response::ClientResponse;
use crate::upstream::{AttemptError, AttemptOptions, UpstreamAttempt};

/// The fraction of the route's latency target after which a hedged request is sent if there is no final
/// response yet.
const HEDGE_DELAY_FACTOR: f64 = 0.6;

type AttemptFuture = BoxFuture<'static, Result<ClientResponse, AttemptError>>;

/// The result of forwarding a request, after all its attempts.
pub(crate) struct ForwardedResponse {
    /// The response that the client receives.
    pub(crate) response: ClientResponse,
    /// Whether a server sent the response. If not, this process generated it, because no server sent a valid
    /// one.
    pub(crate) is_from_server: bool,
    /// The number of attempts that servers responded to with status 500.
    pub(crate) internal_errors: u32,
}

impl Forwarder {
    /// Forwards a request and waits for its final response. An idempotent request may be executed as often as
    /// its route allows, any other at most once.
    pub(crate) async fn forward_buffered(
        &self,
        route: &Arc<Route>,
        request: Arc<UpstreamRequest>,
        is_idempotent: bool,
        deadline: Instant,
    ) -> ForwardedResponse {
        let retry =
            RetryState::new(self.selector.clone(), Arc::clone(route), request, is_idempotent, deadline);
        BufferedForward { retry, attempts: FuturesUnordered::new(), internal_errors: 0, error_response: None }
            .run()
            .await
    }
}

/// A request that is being forwarded, with its attempts in flight.
struct BufferedForward {
    retry: RetryState,
    attempts: FuturesUnordered<AttemptFuture>,
    internal_errors: u32,
    /// The last 5xx response of a server. The client receives it if no attempt yields a response with another
    /// status.
    error_response: Option<ClientResponse>,
}

impl BufferedForward {
    /// Makes attempts until one yields a final response or no further attempt is allowed. At most one attempt
    /// is a hedged request, which starts while another attempt is in flight. All others start when none is in
    /// flight.
    async fn run(mut self) -> ForwardedResponse {
        self.start_attempt();
        let hedge_at = Instant::now() + self.retry.route.latency_target.mul_f64(HEDGE_DELAY_FACTOR);
        let mut may_hedge =
            self.retry.is_idempotent && self.retry.route.max_attempts > 1 && hedge_at < self.retry.deadline;
        while !self.attempts.is_empty() {
            tokio::select! {
                Some(result) = self.attempts.next() => {
                    if let Some(response) = self.final_response(result) {
                        return self.finish_with_response(response);
                    }
                    if self.attempts.is_empty() {
                        self.start_attempt();
                    }
                }
                () = sleep_until(hedge_at), if may_hedge => {
                    may_hedge = false;
                    if self.retry.selector.withdraw_hedge() {
                        self.start_attempt();
                    }
                }
            }
        }
        self.finish_without_response()
    }

    /// Starts a further attempt, if one is allowed and a server is eligible.
    fn start_attempt(&mut self) {
        // Once the request has been sent to every server, it is only repeated at one of them if none has
        // rejected it and no attempt is in flight.
        let may_repeat_server = !self.retry.has_rejections() && self.attempts.is_empty();
        let Some(in_flight) = self.retry.next_attempt(may_repeat_server) else {
            return;
        };
        let (request, deadline) = (Arc::clone(&self.retry.request), self.retry.deadline);
        self.attempts.push(Box::pin(async move {
            let attempt = UpstreamAttempt {
                in_flight,
                request: &request,
                options: AttemptOptions::with_deadline(deadline),
            };
            buffer_response(attempt.send().await?).await
        }));
    }

    /// Records the result of an attempt. Returns its response if that is final: for an idempotent request any
    /// response but a 5xx, for others every response, as they must not be executed again.
    fn final_response(&mut self, result: Result<ClientResponse, AttemptError>) -> Option<ClientResponse> {
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                self.retry.record_error(error);
                return None;
            }
        };
        if !response.status.is_server_error() {
            return Some(response);
        }
        if response.status == StatusCode::INTERNAL_SERVER_ERROR {
            self.internal_errors += 1;
        }
        if !self.retry.is_idempotent {
            return Some(response);
        }
        self.error_response = Some(response);
        None
    }

    /// Ends forwarding with a server's response. Attempts that are still in flight are completed in the
    /// background, as cancelling work at a server costs more than completing it.
    fn finish_with_response(self, response: ClientResponse) -> ForwardedResponse {
        if !self.attempts.is_empty() {
            tokio::spawn(self.attempts.for_each(|_| async {}));
        }
        ForwardedResponse { response, is_from_server: true, internal_errors: self.internal_errors }
    }

    /// Ends forwarding without a final response: returns the last 5xx response of a server or, if there is
    /// none, a response that this process derives from the errors of the attempts.
    fn finish_without_response(self) -> ForwardedResponse {
        let is_from_server = self.error_response.is_some();
        let response = self.error_response.unwrap_or_else(|| self.retry.error_response());
        ForwardedResponse { response, is_from_server, internal_errors: self.internal_errors }
    }
}
