//! What a request may expect at a server: its count, its pace, and the wait that follows from both.

use super::endpoint_table::Server;
use super::estimates::{decay, LatencyAtDepth, LoadLevel, OPTIMISTIC_LATENCY};
use super::pending::PendingRequest;
use super::{Balancer, NODES_PER_SERVER};
use crate::interface::*;

/// Half-life of outcomes, in mean latency targets: what is not confirmed is soon forgotten.
const OUTCOME_HALF_LIFE: f64 = 0.25;

/// Among several nodes, the half-life of what was seen of a server's speed, in mean latency targets.
const STALE_PACE_HALF_LIFE: f64 = 40.0;

/// Half-life of recent outcomes over all servers, in mean gaps between requests, at the least.
const MIN_HALF_LIFE_GAPS: f64 = 2.0;

/// Among several nodes, the half-life of what a report says beyond the load level, in mean latency targets.
const REPORT_HALF_LIFE: f64 = 12.0;

/// How far chance moves an old count where it only decides whom to probe: otherwise all nodes would crowd the lowest.
const TIE_BREAK_JITTER: f64 = 0.7;

/// What is usual over all servers when one is selected.
pub(super) struct Baseline {
    /// Pace by all outcomes.
    lasting: LatencyAtDepth,
    /// Pace by the recent outcomes alone.
    recent: LatencyAtDepth,
    /// The count of a server without a report.
    pub(super) count: f64,
}

/// What is expected of one server.
struct Expected {
    count: f64,
    pace: LatencyAtDepth,
}

/// A server as the selection sees it.
pub(super) struct Candidate {
    pub(super) server: usize,
    /// The expected time until an answer, in milliseconds.
    pub(super) wait: f64,
    /// No request is before this one at the server, and its latency target is no shorter than what it takes.
    pub(super) idle: bool,
    /// The expected time with the jitter, the price of crossing zones and the ration of slow start; the lowest is
    /// selected.
    pub(super) rank: f64,
    /// 0 for a healthy server, 1 after an earlier attempt there, 2 and 3 the same of an unhealthy one.
    pub(super) health_tier: u8,
    /// In the node's own zone.
    pub(super) near: bool,
}

impl Balancer {
    /// Half-life of what a server's outcomes say about its pace, in milliseconds.
    pub(super) fn pace_half_life(&self) -> f64 {
        let half_life = if self.signals.counts_are_stale { STALE_PACE_HALF_LIFE } else { OUTCOME_HALF_LIFE };
        half_life * self.estimates.latency_target
    }

    /// What is usual over all servers at this moment.
    pub(super) fn baseline(&self, now: f64, subset: &[usize]) -> Baseline {
        let Self { estimates, signals, .. } = self;
        let (target, overall) = (estimates.latency_target, &estimates.overall);
        let optimistic = target * OPTIMISTIC_LATENCY;
        // What is not confirmed fades to an optimistic guess: a node that rejects everything would learn no more.
        let recent_prior = match overall.samples > 0.0 {
            true => LatencyAtDepth { latency: overall.latency.min(optimistic), depth: overall.depth },
            false => LatencyAtDepth { latency: optimistic, depth: 1.0 },
        };
        let recent_half_life = (OUTCOME_HALF_LIFE * target).max(MIN_HALF_LIFE_GAPS * estimates.arrival_gap);
        // Where no report ever comes, a count is only this node's own sends: they rotate and do not fade.
        let counts = || subset.iter().filter_map(|slot| self.endpoints.slots[*slot].count);
        let count = match signals.counts_are_stale && signals.reports_arrive {
            true => estimates.load_level(now),
            false => counts().sum::<f64>() / counts().count().max(1) as f64,
        };
        let lasting_prior = LatencyAtDepth { latency: optimistic, depth: 1.0 };
        Baseline {
            lasting: overall.blend(now, f64::INFINITY, lasting_prior),
            recent: overall.blend(now, recent_half_life, recent_prior),
            count,
        }
    }

    /// How a server looks to this request.
    pub(super) fn candidate(
        &mut self,
        now: f64,
        request: &PendingRequest,
        slot: usize,
        baseline: &Baseline,
    ) -> Candidate {
        let only_probing = self.signals.probes_before_send() && request.probed.is_empty();
        let jitter = if only_probing { TIE_BREAK_JITTER } else { 0.0 };
        let jitter = 1.0 + jitter * (2.0 * self.random.f64() - 1.0);
        let server = &self.endpoints.slots[slot];
        let class = &self.settings.classes[request.class];
        let number = server.entry.server.0;
        let near = server.entry.zone == self.settings.zone;
        let expected = self.expected(now, server, baseline);
        let Expected { count, pace: LatencyAtDepth { latency, depth } } = expected;
        // At one node of many a warming server gets all that slow start offers it: by the time each node had a
        // report of its own, and counted it as idle, it would be warm.
        let warming_up = server.age(now) < self.settings.warmup_ms;
        let ration = if self.signals.counts_are_stale && warming_up { 0.0 } else { 1.0 };
        let answers_in_time =
            self.estimates.relative_latency(request.class) * latency / depth <= class.latency_target_ms;
        // Crossing zones counts as its price in latency targets.
        let crossing = if near { 0.0 } else { self.settings.cross_zone_price * class.latency_target_ms };
        let unhealthy = !is_healthy(server, now, class.idempotency);
        let tried = request.attempts.iter().any(|attempt| attempt.server == number);
        Candidate {
            server: number,
            wait: self.wait(server, &expected, baseline),
            idle: self.is_idle(server, count) && answers_in_time,
            rank: ration * (count + 1.0) * latency / depth * jitter + crossing,
            health_tier: 2 * u8::from(unhealthy) + u8::from(tried),
            near,
        }
    }

    /// Whether no request is in flight to a server. Where others send unseen, only its own report tells that.
    fn is_idle(&self, server: &Server, count: f64) -> bool {
        match self.signals.counts_are_stale {
            true => server.reported_at.is_some() && count < LoadLevel::IDLE + 0.5,
            false => !self.signals.probes_before_send() && server.in_flight == 0,
        }
    }

    /// The count and the pace that are expected of a server now.
    fn expected(&self, now: f64, server: &Server, baseline: &Baseline) -> Expected {
        let count = server.count.unwrap_or(baseline.count);
        if !self.signals.counts_are_stale {
            return Expected { count, pace: server.pace.blend(now, self.pace_half_life(), baseline.recent) };
        }
        // What an old report says is likely over: what it says beyond the load level counts for less.
        let reports_arrive = self.signals.reports_arrive;
        let half_life = REPORT_HALF_LIFE * self.estimates.latency_target;
        let without_report = if reports_arrive { 0.0 } else { 1.0 };
        let freshness = server.reported_at.map_or(without_report, |at| decay(now - at, half_life));
        // A node of few sends a good part of all that a server gets: its own attempts there are known, and only
        // the other nodes' part of the load level is a guess. The level is that of the servers in use: otherwise
        // a server that looked busy once would be left alone.
        let others = 1.0 - 1.0 / self.settings.nodes as f64;
        let unreported = match reports_arrive && self.settings.nodes as f64 <= NODES_PER_SERVER {
            true => server.in_flight as f64 + baseline.count * others,
            false => baseline.count,
        };
        Expected {
            count: unreported + (count - unreported) * freshness,
            pace: server.pace.blend(now, self.pace_half_life(), baseline.lasting),
        }
    }

    /// How long an answer of a server is expected to take, in milliseconds.
    fn wait(&self, server: &Server, expected: &Expected, baseline: &Baseline) -> f64 {
        let Expected { count, pace: LatencyAtDepth { latency, depth } } = *expected;
        // A count just probed is that of all nodes, and so is its pace; an idle server is never late.
        // A report with an answer counts the request that was answered, whose place the next one takes.
        match self.signals.probes_before_send() {
            _ if self.signals.counts_are_stale && self.signals.reports_arrive => count * latency / depth,
            true if count < 0.5 => 0.0,
            true => (count + 1.0) * baseline.lasting.latency / baseline.lasting.depth,
            false => (server.in_flight + 1) as f64 * latency / depth,
        }
    }
}

/// Whether a server is not ejected, or may get this request as its trial.
fn is_healthy(server: &Server, now: f64, idempotency: Idempotency) -> bool {
    let trial = server.in_flight == 0 && idempotency != Idempotency::Unsafe;
    server.ejected_until.is_none_or(|until| until <= now && trial)
}
