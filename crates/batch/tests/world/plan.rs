//! What happens to the world, and what must not come of it.

use std::fmt;

use batch::OwnershipTerm;
use fastrand::Rng;

/// What is wrong with the stores on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    /// Promises are not written to the disk.
    ForgetsPromises,
    /// Replies leave before the disk has the records.
    RepliesBeforeSync,
    /// A store that lost its disk answers as if it were still the member.
    KeepsIdentityWithoutDisk,
}

/// What went wrong.
#[derive(Debug)]
pub enum Violation {
    /// Two contents were committed at one position.
    Changed { position: usize },
    /// A later owner lacks what an earlier one has committed.
    Lost { term: OwnershipTerm, committed: usize, expected: usize },
    /// Two owners have one term.
    SameBallot(OwnershipTerm),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Changed { position } => write!(f, "position {position} changed"),
            Self::Lost { term, committed, expected } => {
                write!(f, "the owner of {term:?} has {committed} of {expected} committed entries")
            }
            Self::SameBallot(term) => write!(f, "{term:?} was used twice"),
        }
    }
}

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
    TellSettled,
    UpdateView,
    ChangeStoreSet,
}

/// How often each step is taken; differs from seed to seed.
pub struct Weights(Vec<(Step, u32)>);

impl Weights {
    pub fn draw(random: &mut Rng) -> Self {
        let mut often = |step, most: u32| (step, random.u32(1..=most));
        Self(vec![
            often(Step::Claim, 20),
            often(Step::Append, 150),
            (Step::Send, 400),
            (Step::Deliver, 1500),
            (Step::Flush, 600),
            often(Step::Crash, 30),
            often(Step::CrashAll, 3),
            often(Step::LoseDisk, 4),
            often(Step::TellSettled, 40),
            often(Step::UpdateView, 60),
            often(Step::ChangeStoreSet, 20),
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
