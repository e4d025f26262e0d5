//! Running estimates: the pace of servers and classes, the load level of the fleet, rejections and arrivals.
//! Times are milliseconds; half-lives are given in mean latency targets of the classes.

use crate::interface::*;

/// Window of the running means of one server, in outcomes; those over all servers have four times as many.
pub(super) const RECENT_OUTCOMES: f64 = 16.0;

/// Weight of the mean over all servers in the estimate of one server, in outcomes.
const PRIOR_WEIGHT: f64 = 4.0;

/// The load level follows new reports with this half-life, and each moves it by at least this part.
const LEVEL_GAIN_HALF_LIFE: f64 = 2.0;
const MIN_LEVEL_GAIN: f64 = 0.15;

/// Without reports the load level decays to that of an idle fleet with this half-life, so rejections end.
const LEVEL_DECAY_HALF_LIFE: f64 = 6.0;

/// Upper bound of the latency that is assumed without recent samples, in mean latency targets.
pub(super) const OPTIMISTIC_LATENCY: f64 = 0.25;

/// Half-life of the rejection rate, and the number of attempts that it is averaged over.
pub(super) const REJECTION_HALF_LIFE: f64 = 20.0;
const REJECTION_WINDOW: f64 = 6.0;

/// Requests that an idle server reports: the one that it has just answered.
pub(super) const IDLE_REQUESTS: f64 = 1.0;

/// Reports of more requests than this are ignored: such a count would never be the lowest again.
const MAX_REPORTED_REQUESTS: f64 = 100_000.0;

/// The fraction of a weight that remains after `elapsed`.
pub(super) fn decay(elapsed: f64, half_life: f64) -> f64 {
    0.5_f64.powf(elapsed / half_life)
}

/// A latency, and the number of requests that the server had meanwhile.
#[derive(Clone, Copy)]
pub(super) struct LatencyAtDepth {
    pub(super) latency: f64,
    pub(super) depth: f64,
}

/// Running means of the latency and the depth, with the weight of the samples in them.
#[derive(Clone, Copy, Default)]
pub(super) struct Pace {
    pub(super) latency: f64,
    pub(super) depth: f64,
    pub(super) samples: f64,
    updated_at: f64,
}

impl Pace {
    /// The weight that the samples still have: old ones must not outweigh recent ones.
    fn weight(&self, now: f64, half_life: f64) -> f64 {
        self.samples * decay(now - self.updated_at, half_life)
    }

    pub(super) fn add(&mut self, now: f64, half_life: f64, max_samples: f64, sample: LatencyAtDepth) {
        self.samples = (self.weight(now, half_life) + 1.0).min(max_samples);
        self.latency += (sample.latency - self.latency) / self.samples;
        self.depth += (sample.depth - self.depth) / self.samples;
        self.updated_at = now;
    }

    /// Mean latency and depth: these samples, weighted against a prior.
    pub(super) fn blend(&self, now: f64, half_life: f64, prior: LatencyAtDepth) -> LatencyAtDepth {
        let weight = self.weight(now, half_life);
        let mix = |own: f64, prior: f64| (own * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
        LatencyAtDepth { latency: mix(self.latency, prior.latency), depth: mix(self.depth, prior.depth) }
    }
}

/// Estimates over all servers. The latency target is the mean of the classes'.
#[derive(Default)]
pub(super) struct Estimates {
    pub(super) latency_target: f64,
    classes: Vec<Pace>,
    pub(super) overall: Pace,
    /// Recent mean of the reported requests at a server, over all servers, and the time of the last report.
    load_level: f64,
    reported_at: f64,
    /// Recent mean of the requests in service at a server (not queued), where reports have both numbers.
    pub(super) in_service: Option<f64>,
    /// Recent fraction of attempts that full servers rejected, and when the last attempt ended.
    rejected: f64,
    rejected_at: f64,
    /// Mean time between requests, and the arrival of the last one.
    pub(super) arrival_gap: f64,
    last_arrival: f64,
}

impl Estimates {
    pub(super) fn new(settings: &DecisionSettings) -> Self {
        let latency_target = settings.mean_latency_target_ms();
        let classes = vec![Pace::default(); settings.classes.len()];
        Self { latency_target, classes, load_level: IDLE_REQUESTS, ..Self::default() }
    }

    pub(super) fn record_arrival(&mut self, now: f64) {
        let gap = (now - self.last_arrival).min(self.latency_target);
        self.arrival_gap += (gap - self.arrival_gap) / RECENT_OUTCOMES;
        self.last_arrival = now;
    }

    pub(super) fn record_latency(&mut self, now: f64, class: usize, sample: LatencyAtDepth) {
        for pace in [&mut self.classes[class], &mut self.overall] {
            pace.add(now, f64::INFINITY, 4.0 * RECENT_OUTCOMES, sample);
        }
    }

    /// Ratio of the latency of a class to that of all requests.
    pub(super) fn relative_latency(&self, class: usize) -> f64 {
        let ratio = self.classes[class].latency / self.overall.latency;
        Some(ratio).filter(|r| r.is_finite() && *r > 0.0).unwrap_or(1.0)
    }

    /// The fraction of attempts that full servers reject, decayed to `now`.
    pub(super) fn rejection_rate(&self, now: f64) -> f64 {
        self.rejected * decay(now - self.rejected_at, REJECTION_HALF_LIFE * self.latency_target)
    }

    pub(super) fn record_rejection(&mut self, now: f64, rejected: bool) {
        let rate = self.rejection_rate(now);
        self.rejected = rate + (f64::from(u8::from(rejected)) - rate) / REJECTION_WINDOW;
        self.rejected_at = now;
    }

    /// Mean requests at a server over all servers, decayed to `now`.
    pub(super) fn load_level(&self, now: f64) -> f64 {
        let kept = decay(now - self.reported_at, LEVEL_DECAY_HALF_LIFE * self.latency_target);
        IDLE_REQUESTS + (self.load_level - IDLE_REQUESTS) * kept
    }

    /// Records a report of the requests at a server, and of those in service, if it has that number.
    pub(super) fn record_load(&mut self, now: f64, requests: f64, in_service: Option<f64>) {
        let kept = decay(now - self.reported_at, LEVEL_GAIN_HALF_LIFE * self.latency_target);
        self.load_level = requests + (self.load_level - requests) * kept.min(1.0 - MIN_LEVEL_GAIN);
        self.reported_at = now;
        if let Some(in_service) = in_service {
            let mean = self.in_service.get_or_insert(in_service);
            *mean += (in_service - *mean) / RECENT_OUTCOMES;
        }
    }
}

/// The number of requests in a report; with `stale` counts, one in service is added to a queue length.
pub(super) fn reported_requests(report: &LoadReport, stale: bool) -> Option<f64> {
    let in_service = if stale { IDLE_REQUESTS } else { 0.0 };
    let requests = report.in_flight.or(report.queued.map(|queued| queued + in_service));
    requests.filter(|requests| *requests <= MAX_REPORTED_REQUESTS)
}
