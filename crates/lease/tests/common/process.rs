//! Processes with clocks of their own, which may be frozen.

use std::time::Duration;

use fastrand::Rng;
use lease::Candidate;

use super::changes::GrantorSet;

/// A clock that started at another time, and runs a little too fast.
#[derive(Clone, Debug)]
pub struct Clock {
    offset: Duration,
    drift_ppm: u32,
    /// By how much the clock was set back.
    pub set_back: Duration,
}

impl Clock {
    pub fn new(random: &mut Rng) -> Self {
        let offset = Duration::from_millis(random.u64(10_000..1_000_000));
        Self { offset, drift_ppm: random.u32(..10_000), set_back: Duration::ZERO }
    }

    /// What the clock shows at this time of the simulation.
    pub fn now(&self, time: Duration) -> Duration {
        (self.offset + time + time * self.drift_ppm / 1_000_000).saturating_sub(self.set_back)
    }
}

/// A grantor or a candidate with its clock.
pub struct Process<T> {
    pub state: T,
    pub clock: Clock,
    pub frozen_until: Duration,
}

impl<T> Process<T> {
    pub fn new(state: T, clock: Clock) -> Self {
        Self { state, clock, frozen_until: Duration::ZERO }
    }

    pub fn now(&self, time: Duration) -> Duration {
        self.clock.now(time)
    }

    pub fn is_frozen(&self, time: Duration) -> bool {
        time < self.frozen_until
    }
}

/// A candidate, and what its process knows of the grantors.
pub struct Contender {
    pub candidate: Candidate,
    /// Distinguishes the runs of a process between restarts.
    pub run: u64,
    pub known: GrantorSet,
}

/// The name of a candidate. It seeds the candidate's jitter: with another text the tests would explore other
/// runs.
pub fn candidate_name(run: u64) -> String {
    format!("life-{run}")
}
