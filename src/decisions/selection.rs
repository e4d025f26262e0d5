//! Selection of a server, by HSQ (Islam, "Network Load Balancing Methods", IV.E): the lowest count gets the request,
//! and a fresh report overwrites its server's count.

use super::estimates::{reported_requests, LoadLevel};
use super::expectation::Candidate;
use super::pending::{Attempt, PendingRequest};
use super::Balancer;
use crate::interface::*;

/// A server expected to take this many times the best one's time is not selected. Over 2: counts decide.
const MAX_WAIT_RATIO: f64 = 2.5;

/// Servers of each part of the ring, near and far, that one request is offered at the most: weighing tens of
/// thousands for each request would take too long. Up to so many are offered all.
pub(super) const MAX_CANDIDATES_PER_PART: usize = 64;

impl Balancer {
    /// A report overwrites the count of its server alone, completely: it counts the requests of all nodes.
    pub(super) fn record_load_report(&mut self, now: f64, server: usize, report: &LoadReport) {
        let stale = self.signals.counts_are_stale;
        let Some(requests) = reported_requests(report, stale) else { return };
        self.estimates.record_load(now, requests);
        if let Some(queued) = report.queued.filter(|_| stale) {
            self.estimates.record_in_service((requests - queued).max(LoadLevel::IDLE));
        }
        if let Some(server) = self.endpoints.get_mut(server) {
            server.count = Some(requests);
            server.reported_at = Some(now);
        }
    }

    /// Up to `max` eligible servers with the lowest ranks, ties broken at random. None whose expected wait is over
    /// `max_wait`, unless it is idle.
    pub(super) fn select(
        &mut self,
        now: f64,
        request: &PendingRequest,
        max_wait: f64,
        max: usize,
    ) -> Vec<usize> {
        let mut candidates = self.candidates(now, request);
        self.keep_preferred(&mut candidates, max_wait);
        self.random.shuffle(&mut candidates);
        let mut selected = Vec::with_capacity(max);
        while selected.len() < max {
            let lowest = candidates.iter().enumerate().min_by(|(_, a), (_, b)| a.rank.total_cmp(&b.rank));
            let Some((lowest, _)) = lowest else { break };
            selected.push(candidates.remove(lowest).server);
        }
        selected
    }

    /// Leaves out servers that others are preferred to.
    fn keep_preferred(&self, candidates: &mut Vec<Candidate>, max_wait: f64) {
        // Unhealthy servers, and those of earlier attempts, remain only where there are no others.
        let best_tier = candidates.iter().map(|c| c.health_tier).min();
        candidates.retain(|c| Some(c.health_tier) == best_tier && (c.idle || c.wait <= max_wait));
        let shortest = candidates.iter().map(|c| c.wait).fold(f64::INFINITY, f64::min);
        let stale = self.signals.counts_are_stale;
        let probed = self.signals.probes_before_send();
        let bound = if probed || stale { max_wait } else { shortest * MAX_WAIT_RATIO };
        // Crossing zones has its price; and nodes that keep to their zones are less in each other's way, unseen.
        // One node of many sees too late that its zone fills up: there the price alone speaks for a zone.
        let near_only = !probed && !stale && candidates.iter().any(|c| c.near && c.wait <= bound);
        candidates.retain(|c| (c.idle || c.wait <= bound) && (c.near || !near_only));
    }

    /// All servers that the rules allow for this request.
    fn candidates(&mut self, now: f64, request: &PendingRequest) -> Vec<Candidate> {
        let subset = self.endpoints.ring.subset(MAX_CANDIDATES_PER_PART, &mut self.random);
        let subset_size = subset.len();
        let bound_to_group = request.may_have_run.is_some();
        let baseline = self.baseline(now, &subset);
        let allowance = self.slow_start.allowance(&self.settings, &self.endpoints.ring, bound_to_group);
        let first_attempt = request.attempts.is_empty();
        let mut candidates = Vec::new();
        let mut warm_servers = 0;
        for slot in self.eligible(request, subset) {
            let server = &mut self.endpoints.slots[slot];
            let age = server.age(now);
            let warming_up = age < self.settings.warmup_ms;
            warm_servers += u32::from(!warming_up && server.ejected_until.is_none());
            let probed = first_attempt && request.probed.contains(&server.entry.server.0);
            if first_attempt && !probed && !request.probed.is_empty() {
                continue;
            }
            server.count.get_or_insert(baseline.count);
            let near = server.entry.zone == self.settings.zone;
            if warming_up && !probed && !allowance.offers(&self.settings, age, near, &mut self.random) {
                continue;
            }
            candidates.push(self.candidate(now, request, slot, &baseline));
        }
        if !bound_to_group {
            let ready = self.endpoints.ring.len() as f64;
            self.slow_start.set_warm_servers(f64::from(warm_servers) * ready / subset_size.max(1) as f64);
        }
        candidates
    }

    /// The slots of eligible servers. A request that may have run is bound to the servers that deduplicate it,
    /// wherever they are; any other to the subset.
    fn eligible(&self, request: &PendingRequest, subset: Vec<usize>) -> Vec<usize> {
        let Some(first) = request.first_run() else { return subset };
        let idempotency = self.settings.classes[request.class].idempotency;
        let allowed = |slot: &usize| may_repeat(idempotency, first, &self.endpoints.slots[*slot].entry);
        let parts = self.endpoints.ring.parts().into_iter();
        parts.flat_map(|part| part.filter(allowed).take(MAX_CANDIDATES_PER_PART)).collect()
    }
}

/// Whether a request that may have run as `first` may be sent to `other`.
fn may_repeat(idempotency: Idempotency, first: &Attempt, other: &ServerEntry) -> bool {
    match idempotency {
        Idempotency::Safe | Idempotency::Keyed { group: DeduplicationScope::All, .. } => true,
        Idempotency::Keyed { group: DeduplicationScope::Zone, .. } => first.zone == other.zone,
        Idempotency::Keyed { group: DeduplicationScope::Cell, .. } => first.cell == other.cell,
        Idempotency::Unsafe => false,
    }
}
