//! Admission control: the bound on the expected wait of a request, and the probes before its first attempt.

use super::{estimates::RECENT_OUTCOMES, Balancer, Context, PendingRequest};
use crate::interface::*;

/// Maximum expected wait as a fraction of the latency target, so that most answers are in time; and the
/// fraction of that bound that applies to a request of the lowest value.
const MAX_WAIT_FRACTION: f64 = 0.45;
const MIN_VALUE_FRACTION: f64 = 0.5;

/// Both fractions for stale counts. These lag behind the queues, so a tight bound would reject too much.
const STALE_MAX_WAIT_FRACTION: f64 = 0.75;
const STALE_MIN_VALUE_FRACTION: f64 = 0.9;

/// With stale counts, a request over the bound is admitted with probability (bound / wait)^(1 / this).
const ADMISSION_JITTER_EXPONENT: f64 = 0.2;

/// Maximum number of queued requests per server, besides those in service, if the target fraction is one.
const MAX_QUEUED: f64 = 3.0;

/// With stale counts, the bound is multiplied by the fraction of attempts not rejected, to this power.
const REJECTION_EXPONENT: f64 = 2.0;

/// With probed counts, the fractions above are moved this far towards one: fresh counts need less margin.
const PROBED_CONFIDENCE: f64 = 0.4;

/// Maximum mean number of retries per request, so that retries cannot amplify an overload.
const RETRY_RATIO: f64 = 0.2;

/// Maximum time that a request waits for probes, as a fraction of its latency target or shorter budget.
const PROBE_TIMEOUT_FRACTION: f64 = 0.1;

/// Minimum capacity of a token bucket: a node's share of a quota may be below one request per second.
const MIN_BURST: f64 = 4.0;

/// Token bucket that limits a tenant to this node's share of its quota. A new bucket is full.
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    pub(super) fn new(rate_per_s: f64) -> Self {
        Self { rate_per_s, tokens: f64::INFINITY, refilled_at: 0.0 }
    }

    /// Refills the bucket for the time elapsed and takes one token. Returns whether a token was available.
    fn try_acquire(&mut self, now: f64) -> bool {
        let elapsed_ms = (now - std::mem::replace(&mut self.refilled_at, now)).max(0.0);
        self.tokens += self.rate_per_s * elapsed_ms / 1000.0;
        self.tokens = self.tokens.min(self.rate_per_s.max(MIN_BURST));
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// Moves `fraction` linearly towards one: it is unchanged with `weight` 0, and one with `weight` 1.
fn toward_1(fraction: f64, weight: f64) -> f64 {
    fraction + (1.0 - fraction) * weight
}

impl Balancer {
    pub(super) fn admit(&mut self, cx: &mut Context, request: &ClientRequest) {
        let (id, class, now) = (request.id, request.class, cx.now);
        if class >= self.settings.classes.len() {
            return cx.actions.push(BalancerAction::Fail { request: id });
        }
        self.estimates.record_arrival(now);
        self.retry_tokens = (self.retry_tokens + RETRY_RATIO).min(RECENT_OUTCOMES);
        let within_quota = self.quotas.get_mut(request.tenant).is_none_or(|bucket| bucket.try_acquire(now));
        let mut max_wait = self.max_expected_wait(class, within_quota);
        if self.signals.stale {
            // Counts lag behind rejections: without a tighter bound, the other servers would be overloaded.
            max_wait *= (1.0 - self.estimates.rejection_rate(now)).powf(REJECTION_EXPONENT);
            // The bound is random so that nodes with few requests admit a fraction of them, not all or none.
            max_wait /= self.random.f64().powf(ADMISSION_JITTER_EXPONENT);
        }
        let expires_at = now + request.budget_ms;
        let mut pending = PendingRequest { class, expires_at, max_wait, ..Default::default() };
        if self.signals.probing {
            pending.probing = self.pick(now, &pending, f64::INFINITY, self.signals.probes_per_request);
        }
        for &server in &pending.probing {
            // Without this count, an unresponsive server would be probed forever. A report overwrites it.
            self.endpoints.get_mut(server).expect("in use").count.iter_mut().for_each(|count| *count += 1.0);
            cx.actions.push(BalancerAction::Probe { server: ServerId(server) });
        }
        self.awaiting_probes.push(id);
        if pending.probing.is_empty() {
            self.pending.insert(id, pending);
            return self.dispatch(cx, id);
        }
        self.pending.insert(id, pending);
        let latency_target_ms = self.settings.classes[class].latency_target_ms;
        cx.set_request_timer(id, latency_target_ms.min(request.budget_ms) * PROBE_TIMEOUT_FRACTION);
    }

    /// Makes the first attempt of a request, or gives up, once its probes have ended or its timer has fired.
    pub(super) fn dispatch(&mut self, cx: &mut Context, id: RequestId) {
        let Some(index) = self.awaiting_probes.iter().position(|waiting| *waiting == id) else { return };
        self.awaiting_probes.remove(index);
        let Some(mut request) = self.pending.remove(&id) else { return };
        // If no probed server answered, all count as overloaded, and the request is not sent.
        let load_known = !self.signals.probing || !request.probed.is_empty();
        let max = usize::from(load_known && self.settings.max_attempts > 0);
        if let Some(&server) = self.pick(cx.now, &request, request.max_wait, max).first() {
            self.send(cx, id, server, &mut request);
            self.pending.insert(id, request);
        } else {
            self.slow_start.record_selection(false);
            self.give_up(cx, id, &request);
        }
    }

    /// Handles the end of a probe, and dispatches the requests whose last probe it was.
    pub(super) fn probe_ended(&mut self, cx: &mut Context, server: usize, served: bool) {
        let mut due = Vec::new();
        for id in &self.awaiting_probes {
            let request = self.pending.get_mut(id).filter(|request| request.probing.contains(&server));
            let Some(request) = request else { continue };
            request.probing.retain(|probed| *probed != server);
            request.probed.extend(served.then_some(server));
            if request.probing.is_empty() {
                due.push(*id);
            } else if request.probed == [server] {
                // Further answers count only if they have arrived by now: servers that answer later are busy.
                cx.set_request_timer(*id, 0.0);
            }
        }
        due.into_iter().for_each(|id| self.dispatch(cx, id));
    }

    /// Returns the maximum expected wait in ms for admission: late requests must not delay others.
    fn max_expected_wait(&self, class: usize, within_quota: bool) -> f64 {
        let (estimates, overall) = (&self.estimates, &self.estimates.overall);
        // A node without probes rejects nothing until it has enough latency samples to estimate waits.
        if !self.signals.probing && overall.samples < RECENT_OUTCOMES {
            return f64::INFINITY;
        }
        let fraction = self.target_fraction(class, within_quota);
        // The queues must also stay short enough for the latency targets of all classes of higher value.
        let (own, all) = (self.value_density(class), 0..self.settings.classes.len());
        let more_valuable = all.filter(|k| *k == class || self.value_density(*k) > own);
        let target = |k: usize| self.settings.classes[k].latency_target_ms / estimates.relative_latency(k);
        let in_time = more_valuable.map(target).fold(f64::INFINITY, f64::min) * fraction;
        // No class may queue more requests than keep the servers busy: longer queues add no throughput.
        let max_requests = estimates.in_service.map_or(f64::INFINITY, |busy| busy + MAX_QUEUED * fraction);
        in_time.min(max_requests * overall.latency / overall.depth)
    }

    /// Returns the maximum expected wait of a request as a fraction of its latency target.
    fn target_fraction(&self, class: usize, within_quota: bool) -> f64 {
        let quota = if within_quota { 1.0 } else { self.settings.over_quota_value };
        let best = (0..self.settings.classes.len()).map(|k| self.value_density(k)).fold(0.0, f64::max);
        let value = if best > 0.0 { self.value_density(class) * quota / best } else { 1.0 };
        // Late answers cost less if they keep some value; freshly probed counts need less margin.
        let late_value = self.settings.classes[class].late_value;
        let late = if self.signals.probing { PROBED_CONFIDENCE } else { late_value };
        if !self.signals.stale {
            return toward_1(MAX_WAIT_FRACTION, late) * toward_1(toward_1(MIN_VALUE_FRACTION, late), value);
        }
        let by_value = toward_1(toward_1(STALE_MIN_VALUE_FRACTION, late), value);
        STALE_MAX_WAIT_FRACTION * by_value * toward_1(toward_1(MIN_VALUE_FRACTION, late), quota)
    }

    fn value_density(&self, class: usize) -> f64 {
        self.settings.classes[class].value / self.estimates.relative_latency(class)
    }
}
