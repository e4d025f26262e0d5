//! Selection of a server by HSQ (Islam, "Network Load Balancing Methods", IV.E): the server with the lowest
//! count gets the request, and a new report overwrites the count of its server.

use super::estimates::{reported_requests, IDLE_REQUESTS};
use super::{expectation::Candidate, Balancer, PendingRequest};
use crate::interface::*;

/// Servers over this multiple of the shortest expected wait are excluded. It exceeds 2 so that counts decide.
const MAX_WAIT_RATIO: f64 = 2.5;

/// Maximum number of near and of far servers that are considered for one request, to save time.
pub(super) const MAX_CANDIDATES_PER_PART: usize = 64;

impl Balancer {
    /// Overwrites the count of the reporting server: a report covers the requests of all nodes.
    pub(super) fn record_load_report(&mut self, now: f64, server: usize, report: &LoadReport) {
        let stale = self.signals.stale;
        let Some(requests) = reported_requests(report, stale) else { return };
        let in_service = report.queued.filter(|_| stale).map(|queued| (requests - queued).max(IDLE_REQUESTS));
        self.estimates.record_load(now, requests, in_service);
        if let Some(server) = self.endpoints.get_mut(server) {
            server.count = Some(requests);
            server.reported_at = Some(now);
        }
    }

    /// Returns up to `n` eligible servers with the lowest ranks, ties broken at random. Servers with an
    /// expected wait over `max_wait` are excluded unless they are idle.
    pub(super) fn pick(&mut self, now: f64, request: &PendingRequest, max_wait: f64, n: usize) -> Vec<usize> {
        let mut candidates = self.candidates(now, request);
        self.keep_preferred(&mut candidates, max_wait);
        self.random.shuffle(&mut candidates);
        let mut selected = Vec::with_capacity(n);
        while selected.len() < n {
            let lowest = candidates.iter().enumerate().min_by(|(_, a), (_, b)| a.rank.total_cmp(&b.rank));
            let Some((lowest, _)) = lowest else { break };
            selected.push(candidates.remove(lowest).server);
        }
        selected
    }

    /// Removes candidates that are less healthy, too slow or, if near ones suffice, in other zones.
    fn keep_preferred(&self, candidates: &mut Vec<Candidate>, max_wait: f64) {
        // Unhealthy servers, and those of earlier attempts, remain only if there are no others.
        let best_tier = candidates.iter().map(|c| c.health_tier).min();
        candidates.retain(|c| Some(c.health_tier) == best_tier && (c.idle || c.wait <= max_wait));
        let shortest = candidates.iter().map(|c| c.wait).fold(f64::INFINITY, f64::min);
        let (probing, stale) = (self.signals.probing, self.signals.stale);
        let bound = if probing || stale { max_wait } else { shortest * MAX_WAIT_RATIO };
        // Nodes that stay in their own zones overload each other's servers less. With stale counts, a node
        // notices too late that its zone fills up: then only the price of crossing favours the zone.
        let near_only = !probing && !stale && candidates.iter().any(|c| c.near && c.wait <= bound);
        candidates.retain(|c| (c.idle || c.wait <= bound) && (c.near || !near_only));
    }

    /// Returns the servers that idempotency, probing and slow start allow for a request.
    fn candidates(&mut self, now: f64, request: &PendingRequest) -> Vec<Candidate> {
        let subset = self.endpoints.ring.subset(MAX_CANDIDATES_PER_PART, &mut self.random);
        let subset_size = subset.len();
        let bound_to_group = request.may_have_run.is_some();
        let baseline = self.baseline(now, &subset);
        let allowance = self.slow_start.allowance(&self.settings, &self.endpoints.ring, bound_to_group);
        let first_attempt = request.attempts.is_empty();
        let (mut candidates, mut warm_servers) = (Vec::new(), 0);
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
            candidates.push(self.candidate(request, slot, &baseline));
        }
        if !bound_to_group {
            let ready = self.endpoints.ring.len() as f64;
            self.slow_start.warm_servers = f64::from(warm_servers) * ready / subset_size.max(1) as f64;
        }
        candidates
    }

    /// Returns slots of servers: if the request may have run, those that may repeat it, otherwise `subset`.
    fn eligible(&self, request: &PendingRequest, subset: Vec<usize>) -> Vec<usize> {
        let Some(first) = request.first_run() else { return subset };
        let idempotency = self.settings.classes[request.class].idempotency;
        let other = |slot: &usize| &self.endpoints.slots[*slot].entry;
        let allowed = |slot: &usize| idempotency.allows_repeat(&first.target, other(slot));
        let parts = self.endpoints.ring.parts().into_iter();
        parts.flat_map(|part| part.filter(allowed).take(MAX_CANDIDATES_PER_PART)).collect()
    }
}
