//! Running estimates: latency of servers and classes, load level of the fleet, rejections and arrivals.
//! Times are in milliseconds; constant half-lives are multiples of the mean latency target of the classes.

use crate::interface::*;

/// Window of the running means of one server, in outcomes. Means over all servers use four times as many.
pub(super) const RECENT_OUTCOMES: f64 = 16.0;

/// Weight of the prior (the mean over all servers) in the estimate of one server, in outcomes.
const PRIOR_WEIGHT: f64 = 4.0;

/// Half-life with which the load level follows new reports, and the minimum weight of each report.
const LEVEL_GAIN_HALF_LIFE: f64 = 2.0;
const MIN_LEVEL_GAIN: f64 = 0.15;

/// Half-life of the load level without reports. It decays to that of an idle fleet, so that rejections end.
const LEVEL_DECAY_HALF_LIFE: f64 = 6.0;

/// Maximum latency assumed without recent samples, in mean latency targets.
pub(super) const OPTIMISTIC_LATENCY: f64 = 0.25;

/// Half-life of the rejection rate, and the number of attempts over which it is averaged.
pub(super) const REJECTION_HALF_LIFE: f64 = 20.0;
const REJECTION_WINDOW: f64 = 6.0;

/// Number of requests in the report of an idle server: it counts the request that it has just answered.
pub(super) const IDLE_REQUESTS: f64 = 1.0;

/// Reports of more requests than this are ignored: a server with such a count would never be selected again.
const MAX_REPORTED_REQUESTS: f64 = 100_000.0;

/// Returns the fraction of a weight that remains after `elapsed`, in the unit of `half_life`.
pub(super) fn decay(elapsed: f64, half_life: f64) -> f64 {
    0.5_f64.powf(elapsed / half_life)
}

/// A latency in ms, and the number of requests that were at the server during it.
#[derive(Clone, Copy)]
pub(super) struct LatencyAtDepth {
    pub(super) latency: f64,
    pub(super) depth: f64,
}

/// Running means of latency and depth. Their quotient is the time per request. `samples` is their weight.
#[derive(Clone, Copy, Default)]
pub(super) struct Pace {
    pub(super) latency: f64,
    pub(super) depth: f64,
    pub(super) samples: f64,
    updated_at: f64,
}

impl Pace {
    /// Returns the weight of the samples, decayed to `now`: old ones must not outweigh recent ones.
    fn weight(&self, now: f64, half_life: f64) -> f64 {
        self.samples * decay(now - self.updated_at, half_life)
    }

    pub(super) fn add(&mut self, now: f64, half_life: f64, max_samples: f64, sample: LatencyAtDepth) {
        self.samples = (self.weight(now, half_life) + 1.0).min(max_samples);
        self.latency += (sample.latency - self.latency) / self.samples;
        self.depth += (sample.depth - self.depth) / self.samples;
        self.updated_at = now;
    }

    /// Returns the means of latency and depth, weighted against a prior.
    pub(super) fn blend(&self, now: f64, half_life: f64, prior: LatencyAtDepth) -> LatencyAtDepth {
        let weight = self.weight(now, half_life);
        let mix = |mean: f64, prior: f64| (mean * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
        LatencyAtDepth { latency: mix(self.latency, prior.latency), depth: mix(self.depth, prior.depth) }
    }
}

/// Estimates over all servers. `latency_target` is the mean of the latency targets of the classes, in ms.
#[derive(Default)]
pub(super) struct Estimates {
    pub(super) latency_target: f64,
    classes: Vec<Pace>,
    pub(super) overall: Pace,
    /// Recent mean of the reported number of requests at a server, and the time of the last report.
    load_level: f64,
    reported_at: f64,
    /// Recent mean of the requests in service at a server; `None` without stale counts or a queue report.
    pub(super) in_service: Option<f64>,
    /// Recent fraction of attempts that full servers rejected, and the time when the last attempt ended.
    rejected: f64,
    rejected_at: f64,
    /// Mean time between requests in ms, and the arrival time of the last one.
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

    /// Returns the ratio of the latency of a class to the latency of all requests; one without samples.
    pub(super) fn relative_latency(&self, class: usize) -> f64 {
        let ratio = self.classes[class].latency / self.overall.latency;
        Some(ratio).filter(|r| r.is_finite() && *r > 0.0).unwrap_or(1.0)
    }

    /// Returns the fraction of attempts that full servers reject, decayed to `now`.
    pub(super) fn rejection_rate(&self, now: f64) -> f64 {
        self.rejected * decay(now - self.rejected_at, REJECTION_HALF_LIFE * self.latency_target)
    }

    pub(super) fn record_rejection(&mut self, now: f64, rejected: bool) {
        let rate = self.rejection_rate(now);
        self.rejected = rate + (f64::from(u8::from(rejected)) - rate) / REJECTION_WINDOW;
        self.rejected_at = now;
    }

    /// Returns the mean number of requests at a server over all servers, decayed to `now`.
    pub(super) fn load_level(&self, now: f64) -> f64 {
        let kept = decay(now - self.reported_at, LEVEL_DECAY_HALF_LIFE * self.latency_target);
        IDLE_REQUESTS + (self.load_level - IDLE_REQUESTS) * kept
    }

    /// Records the reported requests at a server, and those in service if the report determines them.
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

/// Returns the requests in a report. If it has only the queued ones, `stale` adds one that is in service.
pub(super) fn reported_requests(report: &LoadReport, stale: bool) -> Option<f64> {
    let in_service = if stale { IDLE_REQUESTS } else { 0.0 };
    let requests = report.in_flight.or(report.queued.map(|queued| queued + in_service));
    requests.filter(|requests| *requests <= MAX_REPORTED_REQUESTS)
}
