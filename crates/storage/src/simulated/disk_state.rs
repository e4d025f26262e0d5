//! State of the simulated disk, shared by all its handles.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use super::content::StoredFile;

/// Counts of the calls of the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounters {
    /// Bytes that were read.
    pub read_bytes: u64,
    /// Calls that wrote.
    pub writes: u64,
    /// Syncs of files and folders.
    pub syncs: u64,
}

/// The disk, shared by its handles.
pub(super) struct SharedDisk {
    state: Mutex<DiskState>,
    /// Wakes calls that wait while the disk is stalled.
    changed: Condvar,
}

/// Files and faults of the disk.
pub(super) struct DiskState {
    pub files: BTreeMap<PathBuf, StoredFile>,
    pub random: fastrand::Rng,
    /// Space in bytes; unlimited if `None`.
    pub capacity: Option<u64>,
    /// Counts the processes that were killed; handles of an earlier process fail.
    pub process: u64,
    /// Writes and syncs block.
    pub is_stalled: bool,
    /// The next so many syncs of files fail.
    pub failing_syncs: usize,
    pub counters: DiskCounters,
}

impl SharedDisk {
    pub fn new(state: DiskState) -> Self {
        Self { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Wakes the calls that wait while the disk is stalled.
    pub fn notify(&self) {
        self.changed.notify_all();
    }

    pub fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The disk for a handle of the process.
    pub fn lock_for(&self, process: u64) -> io::Result<MutexGuard<'_, DiskState>> {
        let state = self.lock();
        check_process(&state, process)?;
        Ok(state)
    }

    /// As [`Self::lock_for`], after waiting while the disk is stalled.
    pub fn lock_when_ready(&self, process: u64) -> io::Result<MutexGuard<'_, DiskState>> {
        let is_waiting = |state: &mut DiskState| state.is_stalled && state.process == process;
        let waited = self.changed.wait_while(self.lock(), is_waiting);
        let state = waited.unwrap_or_else(PoisonError::into_inner);
        check_process(&state, process)?;
        Ok(state)
    }
}

fn check_process(state: &DiskState, process: u64) -> io::Result<()> {
    if state.process == process {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::BrokenPipe, "the process has ended"))
}

impl DiskState {
    /// An empty disk; the same seed gives the same random numbers.
    pub fn new(seed: u64) -> Self {
        Self {
            files: BTreeMap::new(),
            random: fastrand::Rng::with_seed(seed),
            capacity: None,
            process: 0,
            is_stalled: false,
            failing_syncs: 0,
            counters: DiskCounters::default(),
        }
    }

    /// Allocated space in bytes.
    pub fn allocated(&self) -> u64 {
        self.files.values().map(|file| file.visible().allocated()).sum()
    }

    pub fn file(&mut self, path: &Path) -> io::Result<&mut StoredFile> {
        self.files.get_mut(path).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes as much as there is space for; fails if that is not all.
    pub fn write(&mut self, path: &Path, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.counters.writes += 1;
        let allocated = self.file(path)?.visible().allocated();
        let others = self.allocated() - allocated;
        let end = match self.capacity {
            Some(capacity) => capacity.saturating_sub(others).max(allocated),
            None => u64::MAX,
        };
        let fitting = end.saturating_sub(offset).min(bytes.len() as u64) as usize;
        let file = self.file(path)?;
        if fitting > 0 {
            file.write(offset, &bytes[..fitting]);
        }
        if fitting < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    pub fn sync(&mut self, path: &Path) -> io::Result<()> {
        self.counters.syncs += 1;
        if self.failing_syncs > 0 {
            self.failing_syncs -= 1;
            return Err(io::Error::other("sync failed"));
        }
        self.file(path)?.sync();
        Ok(())
    }
}
