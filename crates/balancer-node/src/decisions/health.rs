//! Outlier ejection, and the update of pace, health and rejections at the end of an attempt.

use super::attempts::Attempt;
use super::estimates::{reported_requests, LatencyAtDepth, IDLE_REQUESTS, RECENT_OUTCOMES};
use super::{endpoint_table::Server, Balancer, Context, NODES_PER_SERVER};
use crate::interface::*;

/// Number of consecutive failures that eject a server, and the ejection time in mean latency targets.
const EJECTION_FAILURES: u32 = 3;
const EJECTION_TIME: f64 = 2.0;

/// Values for stale counts and more than `NODES_PER_SERVER` nodes: a node seldom sends to a given server, and
/// its requests would fail until it has seen several failures itself.
const STALE_EJECTION_FAILURES: u32 = 1;
const STALE_EJECTION_TIME: f64 = 30.0;

impl Balancer {
    /// Updates the server and the estimates at the end of an attempt.
    pub(super) fn record_end(&mut self, cx: &mut Context, class: usize, attempt: &Attempt, end: &AttemptEnd) {
        use AttemptOutcome::{Error, Rejected, Served, TimedOut};
        let (now, number, outcome) = (cx.now, attempt.target.server.0, end.outcome);
        self.estimates.record_rejection(now, outcome == Rejected);
        let is_warm = |server: &Server| server.age(now) >= self.settings.warmup_ms;
        let warm = self.endpoints.get(number).is_some_and(is_warm);
        if matches!(outcome, Served | Rejected | TimedOut) {
            self.slow_start.record_selection(warm && outcome == Served);
        }
        let server = self.endpoints.get_mut(number).expect("in use");
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(outcome, Served | Rejected | Error) {
            server.last_answer_at = now;
        }
        if self.endpoints.remove_unreferenced(number) {
            return;
        }
        if matches!(outcome, Served | TimedOut) {
            self.record_pace(now, class, attempt, end);
        }
        if outcome == Served {
            let server = self.endpoints.get_mut(number).expect("in use");
            server.consecutive_failures = 0;
            if server.ejected_until.take().is_some() {
                cx.actions.push(BalancerAction::Log(format!("server {number} is no longer ejected")));
            }
        } else if self.is_failure(class, attempt, end) {
            self.record_failure(cx, number);
        }
    }

    /// Returns whether the end of an attempt counts as a failure of its server.
    fn is_failure(&self, class: usize, attempt: &Attempt, end: &AttemptEnd) -> bool {
        use AttemptOutcome::{Cancelled, Error, NotSent, Rejected, Reset, Served, TimedOut, Unreachable};
        match end.outcome {
            Error | Unreachable | Reset => true,
            // A timeout before the latency target does not indicate a failure of the server.
            TimedOut => end.elapsed_ms >= self.settings.classes[class].latency_target_ms,
            Cancelled => attempt.stalled,
            // A full server is busy, not unhealthy.
            Served | Rejected | NotSent => false,
        }
    }

    fn record_pace(&mut self, now: f64, class: usize, attempt: &Attempt, end: &AttemptEnd) {
        // With stale counts, the queue is known from a report, not from this node's requests in flight.
        let report = end.report.filter(|_| self.signals.stale);
        let reported = report.and_then(|report| reported_requests(&report, true));
        let depth = reported.map_or(attempt.depth, |requests| requests.max(IDLE_REQUESTS));
        let (half_life, relative) = (self.pace_half_life(), self.estimates.relative_latency(class));
        self.estimates.record_latency(now, class, LatencyAtDepth { latency: end.elapsed_ms, depth });
        let sample = LatencyAtDepth { latency: end.elapsed_ms / relative, depth };
        self.endpoints.get_mut(attempt.target.server.0).expect("in use").pace.add(
            now,
            half_life,
            RECENT_OUTCOMES,
            sample,
        );
    }

    /// Records a failure of a server, and ejects it after enough of them: its low count attracts requests.
    fn record_failure(&mut self, cx: &mut Context, number: usize) {
        let many_nodes = self.signals.stale && self.settings.nodes as f64 > NODES_PER_SERVER;
        let max_failures = if many_nodes { STALE_EJECTION_FAILURES } else { EJECTION_FAILURES };
        let time = if many_nodes { STALE_EJECTION_TIME } else { EJECTION_TIME };
        let until = cx.now + time * self.estimates.latency_target;
        let server = self.endpoints.get_mut(number).expect("in use");
        server.consecutive_failures += 1;
        let failed_enough = server.consecutive_failures >= max_failures;
        let due = server.ejected_until.map_or(failed_enough, |until| until <= cx.now);
        if due && server.ejected_until.replace(until).is_none() {
            cx.actions.push(BalancerAction::Log(format!("server {number} is ejected after failed attempts")));
        }
    }
}
