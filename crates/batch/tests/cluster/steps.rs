//! What happens in the simulated cluster, and how often.

use fastrand::Rng;

/// One step of a run.
#[derive(Clone, Copy)]
pub enum Step {
    Claim,
    Append,
    Send,
    Deliver,
    Flush,
    Crash,
    CrashAll,
    LoseDisk,
    ReportCommitted,
    UpdateView,
    ChangeStoreSet,
}

/// Relative frequencies of the steps; they differ from seed to seed.
pub struct Weights(Vec<(Step, u32)>);

impl Weights {
    pub fn draw(random: &mut Rng) -> Self {
        let mut up_to = |step, max_weight: u32| (step, random.u32(1..=max_weight));
        Self(vec![
            up_to(Step::Claim, 20),
            up_to(Step::Append, 150),
            (Step::Send, 400),
            (Step::Deliver, 1500),
            (Step::Flush, 600),
            up_to(Step::Crash, 30),
            up_to(Step::CrashAll, 3),
            up_to(Step::LoseDisk, 4),
            up_to(Step::ReportCommitted, 40),
            up_to(Step::UpdateView, 60),
            up_to(Step::ChangeStoreSet, 20),
        ])
    }

    pub fn pick(&self, random: &mut Rng) -> Step {
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
