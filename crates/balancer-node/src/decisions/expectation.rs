//! Expected wait of a request at a server, from the server's count and its pace (time per request).

use super::estimates::{decay, LatencyAtDepth, IDLE_REQUESTS, OPTIMISTIC_LATENCY};
use super::{attempts::PendingRequest, endpoint_table::Server, Balancer, NODES_PER_SERVER};
use crate::interface::*;

/// Half-life of the pace of one server, in mean latency targets, without and with stale counts.
const OUTCOME_HALF_LIFE: f64 = 0.25;
const STALE_PACE_HALF_LIFE: f64 = 40.0;

/// Minimum half-life of recent outcomes over all servers, in mean gaps between requests.
const MIN_HALF_LIFE_GAPS: f64 = 2.0;

/// With stale counts, half-life of the difference of a report from the load level, in mean latency targets.
const REPORT_HALF_LIFE: f64 = 12.0;

/// Maximum random relative change of a rank that selects probes. It keeps nodes from probing the same server.
const TIE_BREAK_JITTER: f64 = 0.7;

/// Estimates over all servers at the time `now`, used for every candidate of one selection.
pub(super) struct Baseline {
    now: f64,
    /// Mean latency and depth of all outcomes, and of recent outcomes alone.
    long_term: LatencyAtDepth,
    recent: LatencyAtDepth,
    /// Count that is assumed for a server without one.
    pub(super) count: f64,
}

/// A server that may be selected. `wait` is the expected time until its answer, in milliseconds.
pub(super) struct Candidate {
    pub(super) server: usize,
    pub(super) wait: f64,
    /// Whether the server has no other request and can answer this one within its latency target.
    pub(super) idle: bool,
    /// Expected time plus the price of crossing zones, in ms. The server with the lowest rank is selected.
    pub(super) rank: f64,
    /// 0 for a healthy server, 1 if it had an attempt of the request; 2 and 3 likewise for an unhealthy one.
    pub(super) health_tier: u8,
    pub(super) near: bool,
}

impl Balancer {
    pub(super) fn pace_half_life(&self) -> f64 {
        let half_life = if self.signals.stale { STALE_PACE_HALF_LIFE } else { OUTCOME_HALF_LIFE };
        half_life * self.estimates.latency_target
    }

    /// Computes the estimates over all servers at `now`.
    pub(super) fn baseline(&self, now: f64, subset: &[usize]) -> Baseline {
        let estimates = &self.estimates;
        let (target, overall) = (estimates.latency_target, &estimates.overall);
        let optimistic = target * OPTIMISTIC_LATENCY;
        // Old samples decay to an optimistic guess: a node that rejects every request gets no new ones.
        let known = LatencyAtDepth { latency: overall.latency.min(optimistic), depth: overall.depth };
        let unknown = LatencyAtDepth { latency: optimistic, depth: 1.0 };
        let recent_prior = if overall.samples > 0.0 { known } else { unknown };
        let recent_half_life = (OUTCOME_HALF_LIFE * target).max(MIN_HALF_LIFE_GAPS * estimates.arrival_gap);
        // Without reports a count is only this node's sends: these rotate over the servers and do not decay.
        let counts = || subset.iter().filter_map(|slot| self.endpoints.slots[*slot].count);
        let mean = || counts().sum::<f64>() / counts().count().max(1) as f64;
        let use_level = self.signals.stale && self.signals.reports_arrive;
        let count = if use_level { estimates.load_level(now) } else { mean() };
        let long_term = overall.blend(now, f64::INFINITY, unknown);
        Baseline { now, long_term, recent: overall.blend(now, recent_half_life, recent_prior), count }
    }

    /// Computes the expected wait, rank and health tier of a server for a request.
    pub(super) fn candidate(
        &mut self,
        request: &PendingRequest,
        slot: usize,
        baseline: &Baseline,
    ) -> Candidate {
        let only_probing = self.signals.probing && request.probed.is_empty();
        let jitter = if only_probing { TIE_BREAK_JITTER } else { 0.0 };
        let jitter = 1.0 + jitter * (2.0 * self.random.f64() - 1.0);
        let server = &self.endpoints.slots[slot];
        let class = &self.settings.classes[request.class];
        let number = server.entry.server.0;
        let near = server.entry.zone == self.settings.zone;
        let (count, LatencyAtDepth { latency, depth }) = self.expected(server, baseline);
        // With stale counts, a warming server gets every request that slow start offers it.
        let warming_up = server.age(baseline.now) < self.settings.warmup_ms;
        let rank_factor = if self.signals.stale && warming_up { 0.0 } else { 1.0 };
        // If other nodes also send, only a report of the server shows that it is idle.
        let idle = match self.signals.stale {
            true => server.reported_at.is_some() && count < IDLE_REQUESTS + 0.5,
            false => !self.signals.probing && server.in_flight == 0,
        };
        let latency_alone = self.estimates.relative_latency(request.class) * latency / depth;
        let crossing = if near { 0.0 } else { self.settings.cross_zone_price * class.latency_target_ms };
        // After its ejection time, a server gets one trial request at a time, which must be safe to repeat.
        let trial = server.in_flight == 0 && class.idempotency != Idempotency::Unsafe;
        let healthy = server.ejected_until.is_none_or(|until| until <= baseline.now && trial);
        let tried = request.attempts.iter().any(|attempt| attempt.target.server.0 == number);
        Candidate {
            server: number,
            wait: self.wait(server, baseline),
            idle: idle && latency_alone <= class.latency_target_ms,
            rank: rank_factor * (count + 1.0) * latency / depth * jitter + crossing,
            health_tier: 2 * u8::from(!healthy) + u8::from(tried),
            near,
        }
    }

    /// Returns the expected count, latency and depth of a server at the time of `baseline`.
    fn expected(&self, server: &Server, baseline: &Baseline) -> (f64, LatencyAtDepth) {
        let (now, count) = (baseline.now, server.count.unwrap_or(baseline.count));
        let prior = if self.signals.stale { baseline.long_term } else { baseline.recent };
        let pace = server.pace.blend(now, self.pace_half_life(), prior);
        if !self.signals.stale {
            return (count, pace);
        }
        // The older a report, the lower the weight of its difference from the load level.
        let reports_arrive = self.signals.reports_arrive;
        let half_life = REPORT_HALF_LIFE * self.estimates.latency_target;
        let without_report = if reports_arrive { 0.0 } else { 1.0 };
        let freshness = server.reported_at.map_or(without_report, |at| decay(now - at, half_life));
        // Among few nodes, many requests at a server are this node's; the load level is only an estimate.
        let nodes = self.settings.nodes as f64;
        let own_and_others = server.in_flight as f64 + baseline.count * (1.0 - 1.0 / nodes);
        let few_nodes = reports_arrive && nodes <= NODES_PER_SERVER;
        let unreported = if few_nodes { own_and_others } else { baseline.count };
        (unreported + (count - unreported) * freshness, pace)
    }

    /// Returns the expected time until an answer of the server, in milliseconds.
    fn wait(&self, server: &Server, baseline: &Baseline) -> f64 {
        let (count, LatencyAtDepth { latency, depth }) = self.expected(server, baseline);
        // A report in a response counts the answered request, which the next request replaces.
        match self.signals.probing {
            _ if self.signals.stale && self.signals.reports_arrive => count * latency / depth,
            true if count < 0.5 => 0.0,
            true => (count + 1.0) * baseline.long_term.latency / baseline.long_term.depth,
            false => (server.in_flight + 1) as f64 * latency / depth,
        }
    }
}
