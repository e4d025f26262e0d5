//! Simulated disk in memory for tests: loss of power, lack of space, stalls, failing syncs and damaged bytes
//! can be injected.
//!
//! After a loss of power, a file contains all writes that its last sync covered. For each later write, a
//! [`WriteFaultModel`] decides whether it is complete, lost or torn. The model also decides whether a new
//! file survives that neither was synced itself nor is in a directory that was synced after its creation. A
//! rename needs no sync, unlike on a real disk.

mod content;
mod disk;
mod disk_state;
mod file_system;
mod write_faults;

pub use disk::SimulatedDisk;
pub use disk_state::DiskCounters;
pub use file_system::SimulatedFileSystem;
pub use write_faults::{
    KeepUnsynced, LoseUnsynced, PendingWrite, RandomWriteFaults, WriteFaultModel, WriteOutcome,
};
