//! Admission: whether a request is taken, and the longest expected wait it is taken for.

use super::estimates::RECENT_OUTCOMES;
use super::pending::PendingRequest;
use super::Balancer;
use crate::interface::*;

/// Part of its latency target that an answer may be expected to take, so that most come in time ...
const MAX_WAIT_FRACTION: f64 = 0.45;

/// ... and the part of that which remains for a request of the lowest value.
const MIN_VALUE_FRACTION: f64 = 0.5;

/// The same two at one node of many: what such a node knows of a queue is old, and a tight bound would reject what
/// the fleet has room for.
const STALE_MAX_WAIT_FRACTION: f64 = 0.75;
const STALE_MIN_VALUE_FRACTION: f64 = 0.9;

/// At one node of many a request over the bound is admitted with probability (bound / expected) to the power
/// 1 / this.
const ADMISSION_JITTER_EXPONENT: f64 = 0.2;

/// Requests in a server's queue, beside those in service, that an expected wait of the full target allows.
const MAX_QUEUED: f64 = 3.0;

/// The power by which the part of attempts that was not rejected tightens the bound of admission.
const REJECTION_EXPONENT: f64 = 2.0;

/// How far to the full latency target the bound of admission moves where counts were just probed.
const PROBED_CONFIDENCE: f64 = 0.4;

/// `fraction`, moved towards one by `rest`.
fn soften(fraction: f64, rest: f64) -> f64 {
    fraction + (1.0 - fraction) * rest
}

impl Balancer {
    /// A client's request has come.
    pub(super) fn admit(&mut self, now: f64, request: &ClientRequest, actions: &mut Vec<BalancerAction>) {
        if request.class >= self.settings.classes.len() {
            return actions.push(BalancerAction::Fail { request: request.id });
        }
        self.estimates.record_arrival(now);
        self.retry_budget.deposit();
        let within_quota = self.quotas.try_acquire(now, request.tenant);
        let mut max_wait = self.max_expected_wait(request.class, within_quota);
        if self.signals.counts_are_stale {
            // Rejections are heard of at once and from all servers, where counts are old: without this the node
            // would fill up what remains of a fleet.
            max_wait *= (1.0 - self.estimates.rejection_rate(now)).powf(REJECTION_EXPONENT);
            // Where each node sees little, chance makes the sum of them admit a part rather than all or nothing.
            max_wait /= self.random.f64().powf(ADMISSION_JITTER_EXPONENT);
        }
        let expires_at = now + request.budget_ms;
        let pending = PendingRequest { class: request.class, expires_at, max_wait, ..Default::default() };
        self.probe_or_dispatch(now, request, pending, actions);
    }

    /// The longest expected wait with which a request is still admitted: late answers must not crowd out the rest.
    fn max_expected_wait(&self, class: usize, within_quota: bool) -> f64 {
        // A node that has just started has no latency to reject by, unless it probes for counts.
        if !self.signals.probes_before_send() && self.estimates.overall.samples < RECENT_OUTCOMES {
            return f64::INFINITY;
        }
        let fraction = self.target_fraction(class, within_quota);
        // The distant target of a class of low value must not fill the queues in which worthier classes would be
        // late: the bound is the tightest of all of at least its value.
        let own = self.value_density(class);
        let worthier =
            (0..self.settings.classes.len()).filter(|k| *k == class || self.value_density(*k) > own);
        let target =
            |k: usize| self.settings.classes[k].latency_target_ms / self.estimates.relative_latency(k);
        let in_time = worthier.map(target).fold(f64::INFINITY, f64::min) * fraction;
        // Nor may any class fill them further than keeps servers busy: a long queue serves no more, and slows them.
        let max_requests =
            self.estimates.in_service.map_or(f64::INFINITY, |in_service| in_service + MAX_QUEUED * fraction);
        let overall = &self.estimates.overall;
        in_time.min(max_requests * overall.latency / overall.depth)
    }

    /// The part of its latency target that a request may be expected to wait.
    fn target_fraction(&self, class: usize, within_quota: bool) -> f64 {
        let quota = if within_quota { 1.0 } else { self.settings.over_quota_value };
        let best = (0..self.settings.classes.len()).map(|k| self.value_density(k)).fold(0.0, f64::max);
        let value = if best > 0.0 { self.value_density(class) * quota / best } else { 1.0 };
        // A late answer is no loss where it keeps some value; counts just probed need less margin.
        let late = match self.signals.probes_before_send() {
            true => PROBED_CONFIDENCE,
            false => self.settings.classes[class].late_value,
        };
        if self.signals.counts_are_stale {
            STALE_MAX_WAIT_FRACTION
                * soften(soften(STALE_MIN_VALUE_FRACTION, late), value)
                * soften(soften(MIN_VALUE_FRACTION, late), quota)
        } else {
            soften(MAX_WAIT_FRACTION, late) * soften(soften(MIN_VALUE_FRACTION, late), value)
        }
    }

    /// Value of a class for the time that it takes.
    fn value_density(&self, class: usize) -> f64 {
        self.settings.classes[class].value / self.estimates.relative_latency(class)
    }
}
