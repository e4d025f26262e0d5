//! Retries: the budget they come from, whether one may follow, and the final answer where none does.

use super::estimates::{OPTIMISTIC_LATENCY, RECENT_OUTCOMES, REJECTION_HALF_LIFE};
use super::pending::PendingRequest;
use super::Balancer;
use crate::interface::*;

/// Retries as a share of requests, so that they cannot multiply an overload.
const RETRY_RATIO: f64 = 0.2;

/// The most retries that the budget saves up.
const MAX_RETRY_TOKENS: f64 = RECENT_OUTCOMES;

/// Part of the deduplication window within which a repeat is sent: it must also arrive in it.
const MAX_SEND_WINDOW_FRACTION: f64 = 0.8;

/// A token bucket of retries that each request adds a fraction to.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new(max_attempts: usize) -> Self {
        Self { tokens: max_attempts as f64 }
    }

    /// A request came.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_RETRY_TOKENS);
    }

    pub(super) fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}

impl Balancer {
    /// Whether another attempt may follow those that may have run; `with_last` counts the last attempt among them.
    pub(super) fn may_repeat(&self, now: f64, request: &PendingRequest, with_last: bool) -> bool {
        let last = request.attempts.last().filter(|_| with_last);
        match (request.first_run().or(last), self.settings.classes[request.class].idempotency) {
            (None, _) | (_, Idempotency::Safe) => true,
            (Some(first), Idempotency::Keyed { window_ms, .. }) => {
                now - first.sent_at < window_ms * MAX_SEND_WINDOW_FRACTION
            }
            (Some(_), Idempotency::Unsafe) => false,
        }
    }

    /// Another attempt where class, time and budget allow it, else the final answer.
    pub(super) fn retry_or_give_up(
        &mut self,
        now: f64,
        id: RequestId,
        request: &mut PendingRequest,
        actions: &mut Vec<BalancerAction>,
    ) {
        let attempts_left = request.attempts.len() < self.settings.max_attempts;
        let in_time = now < request.expires_at;
        if attempts_left
            && in_time
            && self.retry_budget.allows_retry()
            && self.may_repeat(now, request, false)
        {
            // Bounds servers that fill up with what others rejected (incident ia94218, big days).
            let bounded = self.signals.probes_before_send() || self.signals.counts_are_stale;
            let max_wait = if bounded { request.max_wait } else { f64::INFINITY };
            if let Some(&server) = self.select(now, request, max_wait, 1).first() {
                self.retry_budget.withdraw();
                return self.send(now, id, request, server, actions);
            }
            self.slow_start.record_choice(false);
        }
        self.give_up(now, id, request, actions);
        request.answered = true;
    }

    /// The final answer for a request that is not served: a rejection only where a client's retry is safe.
    pub(super) fn give_up(
        &mut self,
        now: f64,
        id: RequestId,
        request: &PendingRequest,
        actions: &mut Vec<BalancerAction>,
    ) {
        let retry_is_safe = match self.settings.classes[request.class].idempotency {
            Idempotency::Safe | Idempotency::Keyed { group: DeduplicationScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::Unsafe => request.may_have_run.is_none(),
        };
        actions.push(if retry_is_safe {
            let max = self.settings.max_retry_after_ms;
            let retry_after_ms = max.map(|max| self.retry_after_ms(now).min(max));
            BalancerAction::Reject { request: id, retry_after_ms }
        } else {
            BalancerAction::Fail { request: id }
        });
    }

    /// When a rejected client should retry, in milliseconds.
    fn retry_after_ms(&self, now: f64) -> f64 {
        let estimates = &self.estimates;
        let overall = &estimates.overall;
        // As long as a server takes for one of its requests: the next slot is free by then, and a longer wait
        // would use up the latency target, which counts from the client's first try.
        let service_ms = match overall.samples > 0.0 {
            true => overall.latency / overall.depth,
            false => estimates.latency_target * OPTIMISTIC_LATENCY,
        };
        if !self.signals.counts_are_stale {
            return service_ms;
        }
        // A node of many rejects for what all servers hold: that lasts until they have worked it off, and longer
        // where they reject requests themselves.
        let backlog_ms = service_ms * estimates.load_level(now);
        backlog_ms + estimates.rejection_rate(now) * REJECTION_HALF_LIFE * estimates.latency_target
    }
}
