//! Slow start: the fraction of requests for which a server that has just started is considered.

use fastrand::Rng;

use super::{estimates::RECENT_OUTCOMES, selection::MAX_CANDIDATES_PER_PART};
use crate::{interface::DecisionSettings, ring::Ring};

/// Part of a warming server's capacity that all nodes together use: sizes are estimates, and arrivals burst.
const WARMUP_UTILIZATION: f64 = 0.5;

/// Selections over which the share of a warm server is averaged.
const SHARE_WINDOW: f64 = 4.0 * RECENT_OUTCOMES;

/// The share of this node's requests that a warm server serves, by which warming ones are limited.
pub(super) struct SlowStart {
    /// The recent fraction of selections that each warm server of the fleet served.
    pub(super) warm_share: f64,
    /// The estimated number of warm servers.
    pub(super) warm_servers: f64,
}

/// The fraction of the requests for which a server at its full capacity would be considered.
pub(super) struct WarmupAllowance {
    share: f64,
    /// The fractions of the nodes that use a server of their own zone, and of another.
    near_nodes: f64,
    far_nodes: f64,
}

impl SlowStart {
    /// A warming server is offered requests in step with those that a warm one serves: no more than an even
    /// share, and less where requests are rejected or most servers have failed.
    pub(super) fn allowance(&self, settings: &DecisionSettings, ring: &Ring, bound: bool) -> WarmupAllowance {
        let even = 1.0 / ring.len() as f64;
        let share = WARMUP_UTILIZATION * settings.warmup_overload_factor * self.warm_share.min(even);
        let seen = ring.visible_fraction(MAX_CANDIDATES_PER_PART);
        // All nodes use the servers of a request that is bound to its deduplication group.
        let [near_nodes, far_nodes] = if bound { [1.0; 2] } else { seen };
        WarmupAllowance { share, near_nodes, far_nodes }
    }

    /// Records whether a warm server served a request. Failures are not recorded: they would starve the
    /// servers that replace those that failed.
    pub(super) fn record_choice(&mut self, served_warm: bool) {
        if self.warm_servers > 0.0 {
            let served = if served_warm { 1.0 / self.warm_servers } else { 0.0 };
            let share = self.warm_share.min(1.0 / self.warm_servers);
            self.warm_share = share + (served - share) / SHARE_WINDOW;
        }
    }
}

impl WarmupAllowance {
    /// Whether a request is offered a warming server of this age. Such a server reports an empty queue and
    /// would be overloaded: each node considers it for a part of its requests, more where fewer nodes use it.
    pub(super) fn offers(&self, settings: &DecisionSettings, age: f64, near: bool, rng: &mut Rng) -> bool {
        let progress = (age / settings.warmup_ms).max(0.0);
        let missing_capacity = (1.0 - settings.warmup_initial_fraction) * (1.0 - progress);
        let nodes = if near { self.near_nodes } else { self.far_nodes };
        let withheld = rng.f64() >= self.share * (1.0 - missing_capacity) / nodes;
        !withheld
    }
}
