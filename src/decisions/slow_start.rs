//! Slow start: the share of requests that a server which has just started is offered.

use super::estimates::RECENT_OUTCOMES;
use super::selection::MAX_CANDIDATES_PER_PART;
use crate::interface::*;
use crate::ring::Ring;

/// Part of a warming server's capacity that all nodes together use: sizes are guesses, and arrivals come in bursts.
const WARMUP_UTILIZATION: f64 = 0.5;

/// Selections over which the share of a warm server is averaged.
const SHARE_WINDOW: f64 = 4.0 * RECENT_OUTCOMES;

/// What a warm server serves of this node's requests.
pub(super) struct SlowStart {
    /// The part of selections that each warm server of the fleet served, of late.
    warm_share: f64,
    /// About how many warm servers there are.
    warm_servers: f64,
}

impl SlowStart {
    pub(super) fn new() -> Self {
        Self { warm_share: 1.0, warm_servers: 0.0 }
    }

    /// The requests that a warming server is offered are in step with those that a warm one serves: no more than an
    /// even share, and less where requests are rejected or most servers have failed.
    pub(super) fn allowance(
        &self,
        settings: &DecisionSettings,
        ring: &Ring,
        bound_to_group: bool,
    ) -> WarmupAllowance {
        let even = 1.0 / ring.len() as f64;
        let share = WARMUP_UTILIZATION * settings.warmup_overload_factor * self.warm_share.min(even);
        // All nodes meet the servers of a request that is bound to its group.
        let [near_nodes, far_nodes] =
            if bound_to_group { [1.0; 2] } else { ring.visible_fraction(MAX_CANDIDATES_PER_PART) };
        WarmupAllowance { share, near_nodes, far_nodes }
    }

    /// Records whether a warm server served what one was selected for; with none left the last share stands. Failures
    /// are not recorded: they would starve the warming servers that replace those that failed.
    pub(super) fn record_choice(&mut self, served_warm: bool) {
        if self.warm_servers > 0.0 {
            let served = if served_warm { 1.0 / self.warm_servers } else { 0.0 };
            let share = self.warm_share.min(1.0 / self.warm_servers);
            self.warm_share = share + (served - share) / SHARE_WINDOW;
        }
    }

    pub(super) fn set_warm_servers(&mut self, warm_servers: f64) {
        self.warm_servers = warm_servers;
    }
}

/// The warming servers that one request may be offered.
pub(super) struct WarmupAllowance {
    /// The part of the requests that a server at its full capacity may be offered.
    share: f64,
    /// The part of the nodes that meet a server of their own zone ...
    near_nodes: f64,
    /// ... and of another zone.
    far_nodes: f64,
}

impl WarmupAllowance {
    /// Whether the request is offered a warming server of this age. Such a server reports an empty queue and would be
    /// swamped: every node offers it to a part of its requests, a greater one where fewer nodes meet it, so that what
    /// all send is in step with the load of a warm server.
    pub(super) fn offers(
        &self,
        settings: &DecisionSettings,
        age: f64,
        near: bool,
        random: &mut fastrand::Rng,
    ) -> bool {
        let progress = (age / settings.warmup_ms).max(0.0);
        let missing_capacity = (1.0 - settings.warmup_initial_fraction) * (1.0 - progress);
        let nodes = if near { self.near_nodes } else { self.far_nodes };
        let withheld = random.f64() >= self.share * (1.0 - missing_capacity) / nodes;
        !withheld
    }
}
