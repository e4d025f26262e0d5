//! A disk in memory that loses power, fills up and stalls on command.
//!
//! After a loss of power, a file has everything that its last sync covered; each later write is complete, lost or torn,
//! as a [`WriteFaultModel`] decides. The name of a file that was neither synced itself nor covered by a sync of its
//! folder survives or not, as the model decides too.

mod content;
mod disk;
mod disk_state;
mod file_system;
mod write_faults;

pub use disk::SimulatedDisk;
pub use disk_state::DiskCounters;
pub use file_system::SimulatedFileSystem;
pub use write_faults::{
    KeepEverything, LoseEverything, PendingWrite, RandomWriteFaults, WriteFaultModel, WriteOutcome,
};
