//! Attempts of an admitted request until its final answer: sending, cancelling stalled attempts, retrying.

use super::estimates::{OPTIMISTIC_LATENCY, REJECTION_HALF_LIFE};
use super::{Balancer, Context};
use crate::interface::*;

/// Fractions of the deduplication window within which a retry must be decided, and must have been sent.
const MAX_SEND_WINDOW_FRACTION: f64 = 0.8;
const MAX_CONNECT_WINDOW_FRACTION: f64 = 0.9;

/// An attempt is stalled after this many latency targets (a smaller number would duplicate more work than it
/// saves) and this many times its expected wait, if its server has answered no attempt since it was sent.
const MIN_STALL_TARGETS: f64 = 1.5;
const MIN_STALL_WAITS: f64 = 3.0;

/// Minimum number of this node's attempts in flight at a server for one of them to count as stalled.
const MIN_STALLED_IN_FLIGHT: usize = 3;

/// One attempt of a request, kept after its end until the request is finished.
pub(super) struct Attempt {
    pub(super) target: ServerEntry,
    pub(super) sent_at: f64,
    /// Requests at the server including this one: its count with probes, otherwise this node's in flight.
    pub(super) depth: f64,
    /// Time in ms from which the attempt may be cancelled as stalled.
    pub(super) stalls_at: f64,
    pub(super) in_flight: bool,
    /// Whether the attempt was cancelled as stalled. Its end then counts as a failure of the server.
    pub(super) stalled: bool,
}

/// A request from its arrival until it has its final answer and its last attempt has ended.
#[derive(Default)]
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) expires_at: f64,
    pub(super) attempts: Vec<Attempt>,
    /// Index of the first attempt that may have run or may still run.
    pub(super) may_have_run: Option<usize>,
    /// Whether the final answer was given or the client has disconnected.
    pub(super) answered: bool,
    /// Servers probed before the first attempt: `probing` have not answered yet, `probed` have.
    pub(super) probing: Vec<usize>,
    pub(super) probed: Vec<usize>,
    /// Maximum expected wait in ms for which the request is admitted.
    pub(super) max_wait: f64,
}

impl PendingRequest {
    /// Returns the server of the last attempt if that attempt is in flight.
    fn server_in_flight(&self) -> Option<usize> {
        self.attempts.last().filter(|last| last.in_flight).map(|last| last.target.server.0)
    }

    /// Returns whether the request is answered and none of its attempts is in flight.
    fn is_finished(&self) -> bool {
        self.answered && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }

    /// Returns the first attempt that may have run or may still run.
    pub(super) fn first_run(&self) -> Option<&Attempt> {
        self.may_have_run.map(|attempt| &self.attempts[attempt])
    }
}

impl Balancer {
    /// Sends an attempt to a server, and sets a timer if the attempt may later be cancelled as stalled.
    pub(super) fn send(&mut self, cx: &mut Context, id: RequestId, to: usize, request: &mut PendingRequest) {
        let target = self.endpoints.get_mut(to).expect("in use");
        target.in_flight += 1;
        target.count = target.count.map(|count| count + 1.0);
        let sent = target.in_flight;
        let depth = target.count.filter(|_| self.signals.probing).unwrap_or(sent as f64);
        let target = target.entry.clone();
        let overall = &self.estimates.overall;
        let expected_wait = sent as f64 * overall.latency / overall.depth.max(1.0);
        let class = &self.settings.classes[request.class];
        let stall_ms = (class.latency_target_ms * MIN_STALL_TARGETS).max(expected_wait * MIN_STALL_WAITS);
        let (sent_at, stalls_at) = (cx.now, cx.now + stall_ms);
        let attempt = Attempt { target, sent_at, depth, stalls_at, in_flight: true, stalled: false };
        request.attempts.push(attempt);
        let window = request.first_run().zip(class.idempotency.window_ms());
        let within_ms = window.map(|(first, ms)| first.sent_at + ms * MAX_CONNECT_WINDOW_FRACTION - cx.now);
        cx.actions.push(BalancerAction::Send { request: id, server: ServerId(to), within_ms });
        let may_stall = sent >= MIN_STALLED_IN_FLIGHT && stalls_at < request.expires_at;
        let may_cancel = self.settings.cancel && request.attempts.len() < self.settings.max_attempts;
        if may_stall && may_cancel && self.may_repeat(stalls_at, request, true) {
            cx.set_request_timer(id, stall_ms);
        }
    }

    /// Handles the timer of a request: cancels all stalled attempts at the server of its last attempt.
    pub(super) fn cancel_stalled(&mut self, cx: &mut Context, id: RequestId) {
        let Some(server) = self.pending.get(&id).and_then(PendingRequest::server_in_flight) else { return };
        let waiting = self.pending.iter().filter(|(_, request)| request.server_in_flight() == Some(server));
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            let Some(mut request) = self.pending.remove(&id) else { continue };
            if let Some(attempt) = self.stalled_attempt(cx.now, &mut request) {
                request.attempts[attempt].stalled = true;
                cx.actions.push(BalancerAction::Cancel { request: id, attempt });
            }
            self.pending.insert(id, request);
        }
    }

    /// Returns the index of the last attempt if it is stalled and another server may repeat it.
    fn stalled_attempt(&mut self, now: f64, request: &mut PendingRequest) -> Option<usize> {
        let last = request.attempts.len().checked_sub(1)?;
        let attempt = &request.attempts[last];
        let due = attempt.in_flight && !attempt.stalled && now >= attempt.stalls_at;
        let server = self.endpoints.get(attempt.target.server.0)?;
        let unresponsive =
            server.last_answer_at < attempt.sent_at && server.in_flight >= MIN_STALLED_IN_FLIGHT;
        let may_retry = last + 1 < self.settings.max_attempts && self.retry_tokens >= 1.0;
        let may_cancel = self.settings.cancel && !request.answered;
        if !(due && unresponsive && may_retry && may_cancel && self.may_repeat(now, request, true)) {
            return None;
        }
        let (may_have_run, server) = (request.may_have_run, attempt.target.server.0);
        request.may_have_run = may_have_run.or(Some(last));
        let next = self.pick(now, request, f64::INFINITY, 1);
        request.may_have_run = may_have_run;
        next.first().is_some_and(|next| *next != server).then_some(last)
    }

    pub(super) fn attempt_ended(&mut self, cx: &mut Context, end: &AttemptEnd) {
        let id = end.request;
        let Some(mut request) = self.pending.remove(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt).filter(|attempt| attempt.in_flight) else {
            return drop(self.pending.insert(id, request));
        };
        attempt.in_flight = false;
        let server = attempt.target.server.0;
        end.report.iter().for_each(|report| self.record_load_report(cx.now, server, report));
        self.record_end(cx, request.class, &request.attempts[end.attempt], end);
        if end.outcome.may_have_run() && request.may_have_run.is_none() {
            request.may_have_run = Some(end.attempt);
        }
        if end.complete {
            request.answered = true;
        } else if !request.answered {
            self.retry_or_give_up(cx, id, &mut request);
        }
        if !request.is_finished() {
            self.pending.insert(id, request);
        }
    }

    /// Returns whether the class allows a retry at `now`, with `with_last` also if the last attempt has run.
    fn may_repeat(&self, now: f64, request: &PendingRequest, with_last: bool) -> bool {
        let last = request.attempts.last().filter(|_| with_last);
        let Some(first) = request.first_run().or(last) else { return true };
        let idempotency = self.settings.classes[request.class].idempotency;
        let in_window = |window_ms: f64| now - first.sent_at < window_ms * MAX_SEND_WINDOW_FRACTION;
        idempotency == Idempotency::Safe || idempotency.window_ms().is_some_and(in_window)
    }

    /// Makes another attempt if class, deadline and retry budget allow it; otherwise gives the final answer.
    fn retry_or_give_up(&mut self, cx: &mut Context, id: RequestId, request: &mut PendingRequest) {
        let attempts_left = request.attempts.len() < self.settings.max_attempts;
        let in_budget = attempts_left && self.retry_tokens >= 1.0;
        if in_budget && cx.now < request.expires_at && self.may_repeat(cx.now, request, false) {
            // Unbounded retries would overload the servers that do not reject yet (incident ia94218).
            let bounded = self.signals.probing || self.signals.stale;
            let max_wait = if bounded { request.max_wait } else { f64::INFINITY };
            if let Some(&server) = self.pick(cx.now, request, max_wait, 1).first() {
                self.retry_tokens -= 1.0;
                return self.send(cx, id, server, request);
            }
            self.slow_start.record_selection(false);
        }
        self.give_up(cx, id, request);
        request.answered = true;
    }

    /// Gives the final answer to a request that was not served: a rejection only if a retry is safe.
    pub(super) fn give_up(&mut self, cx: &mut Context, id: RequestId, request: &PendingRequest) {
        let idempotency = self.settings.classes[request.class].idempotency;
        let retry_is_safe = request.may_have_run.is_none() || idempotency.allows_repeat_anywhere();
        let retry_after_ms = self.settings.max_retry_after_ms.map(|max| self.retry_after_ms(cx.now).min(max));
        let reject = BalancerAction::Reject { request: id, retry_after_ms };
        cx.actions.push(if retry_is_safe { reject } else { BalancerAction::Fail { request: id } });
    }

    /// Returns the time after which a rejected client should retry, in milliseconds from now.
    fn retry_after_ms(&self, now: f64) -> f64 {
        let (estimates, overall) = (&self.estimates, &self.estimates.overall);
        // Time per request at a server: a slot is expected to be free by then.
        let unknown = estimates.latency_target * OPTIMISTIC_LATENCY;
        let service_ms = if overall.samples > 0.0 { overall.latency / overall.depth } else { unknown };
        if !self.signals.stale {
            return service_ms;
        }
        // With stale counts: the time to work off the load of a server, and more if servers reject requests.
        let rejecting_ms = estimates.rejection_rate(now) * REJECTION_HALF_LIFE * estimates.latency_target;
        service_ms * estimates.load_level(now) + rejecting_ms
    }

    /// Handles the disconnect of a client: cancels the attempts of its request if the settings allow it.
    pub(super) fn client_disconnected(&mut self, cx: &mut Context, id: RequestId) {
        let Some(request) = self.pending.get_mut(&id) else { return };
        request.answered = true;
        if self.settings.cancel {
            let in_flight = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
            cx.actions.extend(in_flight.map(|(attempt, _)| BalancerAction::Cancel { request: id, attempt }));
        }
        if request.is_finished() {
            self.pending.remove(&id);
        }
    }
}
