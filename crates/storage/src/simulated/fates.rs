//! Decides what a loss of power leaves.

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

/// What becomes of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All of it is on the disk.
    Present,
    /// Nothing of it is.
    Absent,
    /// These parts of it are.
    Torn(Vec<Range<usize>>),
}

impl WriteOutcome {
    /// Only this part of the write is on the disk.
    pub fn torn(part: Range<usize>) -> Self {
        Self::Torn(std::iter::once(part).collect())
    }
}

/// Decides what a loss of power leaves of what was not synced.
pub trait WriteFaultModel {
    /// What becomes of a write. Writes to one file are asked for in their order.
    fn write(&mut self, write: &PendingWrite<'_>) -> WriteOutcome;
    /// Whether the name of a new file is kept.
    fn keeps_name(&mut self, path: &Path) -> bool;
}

/// Loses everything that was not synced.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoseEverything;

impl WriteFaultModel for LoseEverything {
    fn write(&mut self, _write: &PendingWrite<'_>) -> WriteOutcome {
        WriteOutcome::Absent
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        false
    }
}

/// Loses nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepEverything;

impl WriteFaultModel for KeepEverything {
    fn write(&mut self, _write: &PendingWrite<'_>) -> WriteOutcome {
        WriteOutcome::Present
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        true
    }
}

/// Decides at random for each write and name.
#[derive(Clone, Debug)]
pub struct RandomWriteFaults {
    random: fastrand::Rng,
}

impl RandomWriteFaults {
    /// The same seed decides in the same way.
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
    fn write(&mut self, write: &PendingWrite<'_>) -> WriteOutcome {
        match self.random.u8(..3) {
            0 => WriteOutcome::Present,
            1 => WriteOutcome::Absent,
            _ => self.tear(write.length),
        }
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        self.random.bool()
    }
}
