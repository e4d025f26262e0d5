//! [`SimulatedDisk`]: the handle with which a test controls the simulated disk.

use std::path::Path;
use std::sync::Arc;

use super::disk_state::{DiskCounters, DiskState, SharedDisk};
use super::file_system::SimulatedFileSystem;
use super::write_faults::{PendingWrite, WriteFaultModel};
use crate::FileSystem;

/// A simulated disk in memory, used by one process at a time. Clones refer to the same disk.
#[derive(Clone)]
pub struct SimulatedDisk {
    shared: Arc<SharedDisk>,
}

impl SimulatedDisk {
    /// Creates an empty disk. `seed` determines the random numbers of its file systems.
    pub fn new(seed: u64) -> Self {
        Self { shared: Arc::new(SharedDisk::new(DiskState::new(seed))) }
    }

    /// Returns the file system of the current process: it works until the next [`kill`](Self::kill).
    pub fn file_system(&self) -> Arc<dyn FileSystem> {
        let process = self.shared.lock().process;
        Arc::new(SimulatedFileSystem::new(Arc::clone(&self.shared), process))
    }

    /// Kills the current process: its file system and open files fail from now on. Unsynced changes remain
    /// visible to the next process.
    pub fn kill(&self) {
        self.shared.lock().process += 1;
        self.shared.notify();
    }

    /// Simulates a loss of power and kills the process. `faults` decides which unsynced changes survive.
    pub fn lose_power(&self, faults: &mut dyn WriteFaultModel) {
        self.kill();
        let mut state = self.shared.lock();
        state.files.retain(|path, file| file.lose_power(path, faults));
    }

    /// Deletes all files, as if the disk was replaced by an empty one, and kills the process.
    pub fn wipe(&self) {
        self.kill();
        self.shared.lock().files.clear();
    }

    /// Limits the space of the disk to `bytes`; `None` means unlimited. Space that was allocated before stays
    /// allocated, even if it exceeds the limit.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.shared.lock().capacity = bytes;
    }

    /// Returns the allocated space in bytes.
    pub fn allocated(&self) -> u64 {
        self.shared.lock().allocated()
    }

    /// Sets whether the disk is stalled. While it is, writes and syncs block; reads do not.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.lock().is_stalled = is_stalled;
        self.shared.notify();
    }

    /// Makes the next `count` syncs of files fail and leave all changes unsynced. Syncs of directories
    /// succeed.
    pub fn fail_syncs(&self, count: usize) {
        self.shared.lock().failing_syncs = count;
    }

    /// Flips all bits of the byte at `offset` of a file, as a defect of the medium would. Does nothing if the
    /// file does not exist.
    pub fn corrupt(&self, path: &Path, offset: u64) {
        if let Some(file) = self.shared.lock().files.get_mut(path) {
            file.corrupt(offset);
        }
    }

    /// Passes each unsynced change to `visitor`, ordered by path and then by age, oldest first.
    pub fn for_each_pending(&self, mut visitor: impl FnMut(&PendingWrite<'_>)) {
        let state = self.shared.lock();
        for (path, file) in &state.files {
            file.pending(path).for_each(|pending| visitor(&pending));
        }
    }

    /// Returns the counts of bytes and calls since the disk was created.
    pub fn counters(&self) -> DiskCounters {
        self.shared.lock().counters
    }

    /// Returns an independent disk with the same files, unsynced changes, future random numbers
    /// and capacity. Its counters start at zero; it is not stalled and no sync is set to fail.
    pub fn duplicate(&self) -> Self {
        let state = self.shared.lock();
        let duplicate = Self::new(0);
        {
            let mut duplicated = duplicate.shared.lock();
            duplicated.files = state.files.clone();
            duplicated.random = state.random.clone();
            duplicated.capacity = state.capacity;
        }
        duplicate
    }
}
