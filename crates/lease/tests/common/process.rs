//! Simulated processes, each with its own clock, which may be frozen.

use std::time::Duration;

use fastrand::Rng;
use lease::Candidate;

use super::changes::GrantorSet;

/// Clock with a random offset from the time of the simulation, which runs up to 1 % too fast.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Reading at the start of the simulation.
    offset: Duration,
    /// Excess speed, in parts per million.
    drift_ppm: u32,
    /// Total time by which the clock was set back.
    pub set_back: Duration,
}

impl Clock {
    pub fn new(random: &mut Rng) -> Self {
        let offset = Duration::from_millis(random.u64(10_000..1_000_000));
        Self { offset, drift_ppm: random.u32(..10_000), set_back: Duration::ZERO }
    }

    /// Returns the reading of the clock at this time of the simulation.
    pub fn now(&self, time: Duration) -> Duration {
        (self.offset + time + time * self.drift_ppm / 1_000_000).saturating_sub(self.set_back)
    }
}

/// Grantor or candidate with its clock.
pub struct Process<T> {
    pub state: T,
    pub clock: Clock,
    /// Time of the simulation until which the process handles no messages and takes no actions.
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

/// Candidate with the state of its process.
pub struct CandidateState {
    pub candidate: Candidate,
    /// Number that distinguishes the runs of a process between restarts.
    pub run: u64,
    /// Newest committed set of grantors that the process has learned.
    pub known: GrantorSet,
}

/// Returns the name of the candidate of a run. It is the seed of the candidate's jitter: another text would
/// change the runs that the tests explore.
pub fn candidate_name(run: u64) -> String {
    format!("life-{run}")
}
