//! What the end of an attempt says about its server: its pace, and whether it is healthy. Outlier ejection.

use super::endpoint_table::Server;
use super::estimates::{reported_requests, LatencyAtDepth, LoadLevel, RECENT_OUTCOMES};
use super::pending::Attempt;
use super::{Balancer, NODES_PER_SERVER};
use crate::interface::*;

/// When a server is ejected, and for how long.
struct EjectionPolicy {
    /// Failures in a row, none served between them, that eject a server.
    consecutive_failures: u32,
    /// Ejection time in mean latency targets.
    duration: f64,
}

/// At a node of few, which meets each server often: one failure says little there.
const EJECTION: EjectionPolicy = EjectionPolicy { consecutive_failures: 3, duration: 2.0 };

/// One node of many meets a server seldom: there one failure ejects it, and for longer. With three in a row, and
/// trials in between every other target, each node would have paid for what all of them know.
const STALE_EJECTION: EjectionPolicy = EjectionPolicy { consecutive_failures: 1, duration: 30.0 };

/// What an attempt's end means for the health of its server.
enum Verdict {
    Success,
    /// A full server is busy, not unhealthy.
    Neutral,
    Failure,
    /// It says nothing about the server.
    Unknown,
}

impl Balancer {
    /// Records the end of an attempt with its server and the estimates.
    pub(super) fn record_attempt_end(
        &mut self,
        now: f64,
        class: usize,
        attempt: &Attempt,
        end: &AttemptEnd,
        actions: &mut Vec<BalancerAction>,
    ) {
        use AttemptOutcome::{Error, Rejected, Served, TimedOut};
        let (number, outcome) = (attempt.server, end.outcome);
        self.estimates.record_rejection(now, outcome == Rejected);
        let warmup_ms = self.settings.warmup_ms;
        let warm = self.endpoints.get(number).is_some_and(|server| server.age(now) >= warmup_ms);
        if matches!(outcome, Served | Rejected | TimedOut) {
            self.slow_start.record_choice(warm && outcome == Served);
        }
        let server = self.endpoints.in_use_mut(number);
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(outcome, Served | Rejected | Error) {
            server.last_answer_at = now;
        }
        if self.endpoints.remove_unreferenced(number) {
            return;
        }
        let verdict = self.verdict(class, attempt, end);
        if matches!(outcome, Served | TimedOut) {
            self.record_pace(now, class, attempt, end);
        }
        match verdict {
            Verdict::Success => {
                if self.endpoints.in_use_mut(number).reinstate() {
                    actions.push(BalancerAction::Log(format!("server {number} is back")));
                }
            }
            Verdict::Failure => self.record_failure(now, number, actions),
            Verdict::Neutral | Verdict::Unknown => {}
        }
    }

    fn verdict(&self, class: usize, attempt: &Attempt, end: &AttemptEnd) -> Verdict {
        match end.outcome {
            AttemptOutcome::Served => Verdict::Success,
            AttemptOutcome::Rejected => Verdict::Neutral,
            // A time-out within the latency target says nothing about the server.
            AttemptOutcome::TimedOut if end.elapsed_ms < self.settings.classes[class].latency_target_ms => {
                Verdict::Neutral
            }
            AttemptOutcome::TimedOut
            | AttemptOutcome::Error
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Reset => Verdict::Failure,
            AttemptOutcome::Cancelled if attempt.cancelled_as_stalled => Verdict::Failure,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => Verdict::Unknown,
        }
    }

    fn record_pace(&mut self, now: f64, class: usize, attempt: &Attempt, end: &AttemptEnd) {
        // What one node of many has in flight says nothing of a queue: the server's report does.
        let stale = self.signals.counts_are_stale;
        let reported = end.report.and_then(|report| reported_requests(&report, stale)).filter(|_| stale);
        let depth = reported.map_or(attempt.depth, |requests| requests.max(LoadLevel::IDLE));
        let half_life = self.pace_half_life();
        let relative = self.estimates.relative_latency(class);
        self.estimates.record_latency(now, class, LatencyAtDepth { latency: end.elapsed_ms, depth });
        let sample = LatencyAtDepth { latency: end.elapsed_ms / relative, depth };
        let server = self.endpoints.in_use_mut(attempt.server);
        server.pace.add(now, half_life, RECENT_OUTCOMES, sample);
    }

    /// Ejects servers that fail quickly, hang or cannot be reached: counts alone would favour them.
    fn record_failure(&mut self, now: f64, number: usize, actions: &mut Vec<BalancerAction>) {
        let one_of_many = self.signals.counts_are_stale && self.settings.nodes as f64 > NODES_PER_SERVER;
        let policy = if one_of_many { &STALE_EJECTION } else { &EJECTION };
        let duration = policy.duration * self.estimates.latency_target;
        if self.endpoints.in_use_mut(number).record_failure(now, policy, duration) {
            actions.push(BalancerAction::Log(format!("server {number} is taken out")));
        }
    }
}

impl Server {
    /// A request was served; whether the server was ejected until now.
    fn reinstate(&mut self) -> bool {
        self.consecutive_failures = 0;
        self.ejected_until.take().is_some()
    }

    /// A request failed. The server is ejected for `duration` milliseconds where it has failed often enough, or failed
    /// its trial; whether it was not ejected before.
    fn record_failure(&mut self, now: f64, policy: &EjectionPolicy, duration: f64) -> bool {
        self.consecutive_failures += 1;
        let due = match self.ejected_until {
            Some(until) => until <= now,
            None => self.consecutive_failures >= policy.consecutive_failures,
        };
        due && self.ejected_until.replace(now + duration).is_none()
    }
}
