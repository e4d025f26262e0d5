//! The kinds of steps of the simulated cluster, and their relative frequencies.

use fastrand::Rng;

/// A kind of step. Steps act on a random machine unless stated otherwise.
#[derive(Clone, Copy)]
pub enum Step {
    /// The machine claims the job.
    Claim,
    /// The owner on the machine appends an entry.
    Append,
    /// The owner on the machine sends its next requests.
    Send,
    /// A random message in flight is delivered, lost or duplicated.
    Deliver,
    /// Pending writes of the machine reach its disk.
    Flush,
    /// The machine restarts from its disk.
    Crash,
    /// All machines restart from their disks.
    CrashAll,
    /// The disk of the machine is replaced by an empty one.
    LoseDisk,
    /// The owner on the machine sends heartbeats if it has committed its complete log.
    ReportCommitted,
    /// The machine adopts the current store set.
    UpdateView,
    /// A change of the store set begins or ends.
    ChangeStoreSet,
}

/// Relative frequency of each kind of step. The frequencies depend on the seed.
pub struct Weights(Vec<(Step, u32)>);

impl Weights {
    pub fn random(random: &mut Rng) -> Self {
        let mut random_weight = |step, max_weight: u32| (step, random.u32(1..=max_weight));
        Self(vec![
            random_weight(Step::Claim, 20),
            random_weight(Step::Append, 150),
            (Step::Send, 400),
            (Step::Deliver, 1500),
            (Step::Flush, 600),
            random_weight(Step::Crash, 30),
            random_weight(Step::CrashAll, 3),
            random_weight(Step::LoseDisk, 4),
            random_weight(Step::ReportCommitted, 40),
            random_weight(Step::UpdateView, 60),
            random_weight(Step::ChangeStoreSet, 20),
        ])
    }

    pub fn random_step(&self, random: &mut Rng) -> Step {
        let mut drawn = random.u32(..self.0.iter().map(|(_, weight)| weight).sum::<u32>());
        for (step, weight) in &self.0 {
            if drawn < *weight {
                return *step;
            }
            drawn -= weight;
        }
        Step::Deliver
    }
}
