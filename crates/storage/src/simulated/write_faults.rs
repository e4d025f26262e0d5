//! Models that decide which unsynced changes survive a loss of power.

use std::ops::Range;
use std::path::Path;

/// An unsynced change of a file: a write or a change of its length.
#[derive(Clone, Debug)]
pub struct PendingWrite<'a> {
    /// Path of the changed file.
    pub path: &'a Path,
    /// Offset of the first written byte; for a change of the length, the new length of the file.
    pub offset: u64,
    /// Number of written bytes; zero for a change of the length.
    pub length: usize,
}

/// Part of an unsynced change that survives a loss of power.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The complete change survives.
    Complete,
    /// Nothing survives.
    Lost,
    /// These ranges of the written bytes survive, counted from the first. A change of the length is lost.
    Torn(Vec<Range<usize>>),
}

impl WriteOutcome {
    /// Creates the outcome of a write of which only one range of bytes survives.
    pub fn torn(range: Range<usize>) -> Self {
        Self::Torn(std::iter::once(range).collect())
    }
}

/// Model that decides which unsynced changes and new files survive a loss of power.
pub trait WriteFaultModel {
    /// Decides how much of a change survives. Called for the changes of a file from the oldest to the newest.
    fn write_outcome(&mut self, write: &PendingWrite<'_>) -> WriteOutcome;
    /// Decides whether a new file survives if its name is not durable yet.
    fn keeps_name(&mut self, path: &Path) -> bool;
}

/// Model in which no unsynced change and no unsynced name survives.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoseUnsynced;

impl WriteFaultModel for LoseUnsynced {
    fn write_outcome(&mut self, _write: &PendingWrite<'_>) -> WriteOutcome {
        WriteOutcome::Lost
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        false
    }
}

/// Model in which all unsynced changes and names survive.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepUnsynced;

impl WriteFaultModel for KeepUnsynced {
    fn write_outcome(&mut self, _write: &PendingWrite<'_>) -> WriteOutcome {
        WriteOutcome::Complete
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        true
    }
}

/// Model that draws the outcome of each change and name at random.
#[derive(Clone, Debug)]
pub struct RandomWriteFaults {
    random: fastrand::Rng,
}

impl RandomWriteFaults {
    /// Creates a model whose outcomes are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed) }
    }

    /// Draws a torn outcome: a prefix survives, a range in the middle, or all but a range in the middle.
    fn tear(&mut self, length: usize) -> WriteOutcome {
        let mut bounds = [self.random.usize(..=length), self.random.usize(..=length)];
        bounds.sort_unstable();
        let [first, second] = bounds;
        match self.random.u8(..3) {
            0 => WriteOutcome::torn(0..first),
            1 => WriteOutcome::torn(first..second),
            _ => WriteOutcome::Torn(vec![0..first, second..length]),
        }
    }
}

impl WriteFaultModel for RandomWriteFaults {
    fn write_outcome(&mut self, write: &PendingWrite<'_>) -> WriteOutcome {
        match self.random.u8(..3) {
            0 => WriteOutcome::Complete,
            1 => WriteOutcome::Lost,
            _ => self.tear(write.length),
        }
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        self.random.bool()
    }
}
