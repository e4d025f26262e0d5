//! Slow start: limits the fraction of requests for which a recently started server is considered.

use fastrand::Rng;

use super::{estimates::RECENT_OUTCOMES, selection::MAX_CANDIDATES_PER_PART};
use crate::{interface::DecisionSettings, ring::Ring};

/// Fraction of a warming server's load limit that all nodes use: capacities are estimates, arrivals bursty.
const WARMUP_UTILIZATION: f64 = 0.5;

/// Number of selections over which the share of a warm server is averaged.
const SHARE_WINDOW: f64 = 4.0 * RECENT_OUTCOMES;

/// Share of this node's requests that a warm server serves. It limits the share of warming servers.
pub(super) struct SlowStart {
    /// Mean fraction of recent selections that one warm server served.
    pub(super) warm_share: f64,
    /// Estimated number of warm servers in the fleet that are not ejected.
    pub(super) warm_servers: f64,
}

/// Fraction of requests for which a warming server at full capacity would be considered.
pub(super) struct WarmupAllowance {
    share: f64,
    /// Fraction of nodes that use a given server of their zone, and of another zone.
    near_nodes: f64,
    far_nodes: f64,
}

impl SlowStart {
    /// Derives the allowance from the share that a warm server serves, at most an even share. It is smaller
    /// if requests are rejected or most servers have failed.
    pub(super) fn allowance(&self, settings: &DecisionSettings, ring: &Ring, bound: bool) -> WarmupAllowance {
        let even = 1.0 / ring.len() as f64;
        let share = WARMUP_UTILIZATION * settings.warmup_overload_factor * self.warm_share.min(even);
        let seen = ring.visible_fraction(MAX_CANDIDATES_PER_PART);
        // For a request bound to its deduplication group, every node considers all servers of the group.
        let [near_nodes, far_nodes] = if bound { [1.0; 2] } else { seen };
        WarmupAllowance { share, near_nodes, far_nodes }
    }

    /// Records whether a warm server served a request. Failures are not recorded: they would reduce the share
    /// of the servers that replace the failed ones.
    pub(super) fn record_selection(&mut self, served_warm: bool) {
        if self.warm_servers > 0.0 {
            let served = if served_warm { 1.0 / self.warm_servers } else { 0.0 };
            let share = self.warm_share.min(1.0 / self.warm_servers);
            self.warm_share = share + (served - share) / SHARE_WINDOW;
        }
    }
}

impl WarmupAllowance {
    /// Decides at random whether a warming server of this age (ms) is considered for a request. Such a server
    /// reports an empty queue and would be overloaded. The fraction is larger if fewer nodes use the server.
    pub(super) fn offers(&self, settings: &DecisionSettings, age: f64, near: bool, rng: &mut Rng) -> bool {
        let progress = (age / settings.warmup_ms).max(0.0);
        let missing_capacity = (1.0 - settings.warmup_initial_fraction) * (1.0 - progress);
        let nodes = if near { self.near_nodes } else { self.far_nodes };
        let withheld = rng.f64() >= self.share * (1.0 - missing_capacity) / nodes;
        !withheld
    }
}
