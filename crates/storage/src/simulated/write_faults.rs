//! Models of what a loss of power leaves of unsynced writes.

use std::ops::Range;
use std::path::Path;

/// A change of a file that no sync covers.
#[derive(Clone, Debug)]
pub struct PendingWrite<'a> {
    /// The file.
    pub path: &'a Path,
    /// Where it was written; the new length for a change of the length.
    pub offset: u64,
    /// How many bytes were written; zero for a change of the length.
    pub length: usize,
}

/// What a loss of power leaves of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All of it.
    Complete,
    /// Nothing.
    Lost,
    /// These ranges of its bytes.
    Torn(Vec<Range<usize>>),
}

impl WriteOutcome {
    /// Only this range of the bytes is left.
    pub fn torn(range: Range<usize>) -> Self {
        Self::Torn(std::iter::once(range).collect())
    }
}

/// Decides what a loss of power leaves of unsynced writes and names.
pub trait WriteFaultModel {
    /// What is left of a write. Called for the writes to one file in their order.
    fn write_outcome(&mut self, write: &PendingWrite<'_>) -> WriteOutcome;
    /// Whether the name of a new file survives.
    fn keeps_name(&mut self, path: &Path) -> bool;
}

/// Loses everything that was not synced.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoseEverything;

impl WriteFaultModel for LoseEverything {
    fn write_outcome(&mut self, _write: &PendingWrite<'_>) -> WriteOutcome {
        WriteOutcome::Lost
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        false
    }
}

/// Loses nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepEverything;

impl WriteFaultModel for KeepEverything {
    fn write_outcome(&mut self, _write: &PendingWrite<'_>) -> WriteOutcome {
        WriteOutcome::Complete
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        true
    }
}

/// Draws the outcome for each write and name.
#[derive(Clone, Debug)]
pub struct RandomWriteFaults {
    random: fastrand::Rng,
}

impl RandomWriteFaults {
    /// The same seed gives the same outcomes.
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed) }
    }

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
