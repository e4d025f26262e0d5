//! The handle by which a test controls the simulated disk.

use std::path::Path;
use std::sync::Arc;

use super::disk_state::{DiskCounters, DiskState, SharedDisk};
use super::file_system::SimulatedFileSystem;
use super::write_faults::{PendingWrite, WriteFaultModel};
use crate::FileSystem;

/// A disk in memory. Clones are the same disk.
#[derive(Clone)]
pub struct SimulatedDisk {
    shared: Arc<SharedDisk>,
}

impl SimulatedDisk {
    /// An empty disk; the same seed gives the same random numbers.
    pub fn new(seed: u64) -> Self {
        Self { shared: Arc::new(SharedDisk::new(DiskState::new(seed))) }
    }

    /// The file system of a process that starts now.
    pub fn file_system(&self) -> Arc<dyn FileSystem> {
        let process = self.shared.lock().process;
        Arc::new(SimulatedFileSystem::new(Arc::clone(&self.shared), process))
    }

    /// Kills the process: its files stay as they are, its handles fail from now on.
    pub fn kill(&self) {
        self.shared.lock().process += 1;
        self.shared.notify();
    }

    /// Cuts the power; what was not synced is subject to `faults`. Implies [`kill`](Self::kill).
    pub fn lose_power(&self, faults: &mut dyn WriteFaultModel) {
        self.kill();
        let mut state = self.shared.lock();
        state.files.retain(|path, file| file.lose_power(path, faults));
    }

    /// Replaces the disk by an empty one; implies [`kill`](Self::kill).
    pub fn wipe(&self) {
        self.kill();
        self.shared.lock().files.clear();
    }

    /// Limits the space in bytes; `None` lifts the limit. Space that was written once stays allocated.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.shared.lock().capacity = bytes;
    }

    /// Allocated space in bytes.
    pub fn allocated(&self) -> u64 {
        self.shared.lock().allocated()
    }

    /// While the disk is stalled, writes and syncs block.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.lock().is_stalled = is_stalled;
        self.shared.notify();
    }

    /// The next syncs of files fail; what they should have covered is not durable.
    pub fn fail_syncs(&self, count: usize) {
        self.shared.lock().failing_syncs = count;
    }

    /// Flips all bits of one byte.
    pub fn corrupt(&self, path: &Path, offset: u64) {
        if let Some(file) = self.shared.lock().files.get_mut(path) {
            file.corrupt(offset);
        }
    }

    /// Passes each change that no sync covers to `visitor`, in the order of the files.
    pub fn for_each_pending(&self, mut visitor: impl FnMut(&PendingWrite<'_>)) {
        let state = self.shared.lock();
        for (path, file) in &state.files {
            file.pending(path).for_each(|pending| visitor(&pending));
        }
    }

    /// Counts of the calls so far.
    pub fn counters(&self) -> DiskCounters {
        self.shared.lock().counters
    }

    /// A separate disk with the same content, and the same changes not yet synced.
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
