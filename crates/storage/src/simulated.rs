//! A disk in memory that loses power, fills up and stalls on command.
//!
//! What a loss of power leaves of a file: everything that its last sync covered; each write after that is
//! present, absent or torn, as [`Fates`] decides. The name of a file that was neither synced itself nor covered
//! by a sync of its folder is kept or lost.

mod content;
mod disk;
mod fates;

pub use disk::{DiskCounters, SimulatedDisk, SimulatedFileSystem};
pub use fates::{
    KeepEverything, LoseEverything, PendingWrite, RandomWriteFaults, WriteFaultModel, WriteOutcome,
};
