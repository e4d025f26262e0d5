//! Stalled attempts: those at a server that has stopped answering are cancelled where the request may go elsewhere.
//! Otherwise each would cost a request its whole time.

use super::pending::PendingRequest;
use super::Balancer;
use crate::interface::*;

/// An attempt is stalled after this many of its latency targets at the earliest. Sooner, more work would be done
/// twice than is won.
const MIN_STALL_TARGETS: f64 = 1.5;

/// And after this many times the answer expected of its server, which has answered nothing since.
const MIN_STALL_WAITS: f64 = 3.0;

/// Attempts of the node in flight at a server before one of them counts as stalled.
pub(super) const STALLED_IN_FLIGHT: usize = 3;

impl Balancer {
    /// Time after which an attempt may count as stalled, at a server with so many of the node's attempts in flight.
    pub(super) fn stall_ms(&self, class: usize, in_flight: usize) -> f64 {
        let overall = &self.estimates.overall;
        let expected = in_flight as f64 * overall.latency / overall.depth.max(1.0);
        let latency_target_ms = self.settings.classes[class].latency_target_ms;
        (latency_target_ms * MIN_STALL_TARGETS).max(expected * MIN_STALL_WAITS)
    }

    /// The timer of a request fired: cancels the stalled attempts at the server that it waits for.
    pub(super) fn cancel_stalled(&mut self, now: f64, id: RequestId, actions: &mut Vec<BalancerAction>) {
        let server = self.pending.get(id).and_then(PendingRequest::server_in_flight);
        let Some(server) = server else { return };
        for id in self.pending.in_flight_to(server) {
            let Some(mut request) = self.pending.take(id) else { continue };
            if let Some(attempt) = self.stalled_attempt(now, &mut request) {
                request.attempts[attempt].cancelled_as_stalled = true;
                actions.push(BalancerAction::Cancel { request: id, attempt });
            }
            self.pending.insert(id, request);
        }
    }

    /// The attempt of a request that is to be cancelled, if any.
    fn stalled_attempt(&mut self, now: f64, request: &mut PendingRequest) -> Option<usize> {
        let last = request.attempts.len().checked_sub(1)?;
        let attempt = &request.attempts[last];
        let due = attempt.in_flight && !attempt.cancelled_as_stalled && now >= attempt.stalls_at;
        if !due || !self.settings.cancel || request.answered {
            return None;
        }
        let unresponsive = self.endpoints.get(attempt.server).is_some_and(|server| {
            server.last_answer_at < attempt.sent_at && server.in_flight >= STALLED_IN_FLIGHT
        });
        let may_retry = last + 1 < self.settings.max_attempts && self.retry_budget.allows_retry();
        if !unresponsive || !may_retry || !self.may_repeat(now, request, true) {
            return None;
        }
        // What is cancelled may have run: only a server that may repeat it is worth a cancellation.
        let (may_have_run, server) = (request.may_have_run, attempt.server);
        request.may_have_run = may_have_run.or(Some(last));
        let next = self.select(now, request, f64::INFINITY, 1);
        request.may_have_run = may_have_run;
        next.first().is_some_and(|next| *next != server).then_some(last)
    }
}
