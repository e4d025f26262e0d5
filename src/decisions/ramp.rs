//! The ramp of cold servers: how much of the requests a server that has just started may see.

use super::choice::OFFERED_MOST;
use super::estimates::RECENT;
use super::Balancer;

/// Part of a cold server's budget that all nodes together use: sizes are guesses, arrivals come in bunches.
const COLD_PART: f64 = 0.5;

/// What one request may see of the cold servers.
pub(super) struct Ramp {
    /// The part of the requests that a server at its full capacity may see.
    share: f64,
    /// The parts of the nodes that meet a near and a far server.
    near_by: f64,
    far_by: f64,
}

impl Balancer {
    /// What a cold server may see is in step with what a warm one serves: no more than an even part, and less
    /// where requests are refused, or most servers are lost.
    pub(super) fn ramp(&self, bound: bool) -> Ramp {
        let even = 1.0 / self.ring.len() as f64;
        let share = COLD_PART * self.settings.tip_multiple * self.share.min(even);
        // All nodes meet the servers of a request that is bound to its group.
        let [near_by, far_by] = if bound { [1.0; 2] } else { self.ring.seen(OFFERED_MOST) };
        Ramp { share, near_by, far_by }
    }

    /// Guards a cold server, which reports nothing queued and would be swamped. Every node lets a part of its
    /// requests see it, a greater one where fewer nodes meet it: what all send is in step with the load of a
    /// warm server.
    pub(super) fn may_see_cold(&mut self, ramp: &Ramp, age: f64, near: bool) -> bool {
        let cold = (1.0 - self.settings.cold_from) * (1.0 - (age / self.settings.cold_ms).max(0.0));
        let met_by = if near { ramp.near_by } else { ramp.far_by };
        let left_out = self.random.f64() >= ramp.share * (1.0 - cold) / met_by;
        !left_out
    }

    /// Takes down whether a warm server served what one was chosen for. With none left the last share stands.
    /// Failures say nothing: what came of them would starve the cold servers that replace those that failed.
    pub(super) fn chosen(&mut self, served_warm: bool) {
        if self.warm > 0.0 {
            let served = if served_warm { 1.0 / self.warm } else { 0.0 };
            let share = self.share.min(1.0 / self.warm);
            self.share = share + (served - share) / (4.0 * RECENT);
        }
    }
}
