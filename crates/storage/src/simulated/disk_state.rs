//! State of the simulated disk, shared by its control handle, file systems and open files.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use super::content::StoredFile;

/// Counters of the operations on the disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounters {
    /// Number of bytes read.
    pub read_bytes: u64,
    /// Number of calls that wrote to a file, including those that failed for lack of space.
    pub writes: u64,
    /// Number of syncs of files and directories, including failed ones.
    pub syncs: u64,
}

/// State of the disk behind a lock, shared by all handles.
pub(super) struct SharedDisk {
    state: Mutex<DiskState>,
    /// Wakes the calls that wait for the end of a stall.
    changed: Condvar,
}

/// Files of the disk and the faults injected into it.
pub(super) struct DiskState {
    pub files: BTreeMap<PathBuf, StoredFile>,
    pub random: fastrand::Rng,
    /// Maximum allocated space in bytes; unlimited if `None`.
    pub capacity: Option<u64>,
    /// Number of processes killed so far. It identifies the current process; handles of earlier ones fail.
    pub process: u64,
    /// Whether writes and syncs block.
    pub is_stalled: bool,
    /// Number of syncs of files that will still fail.
    pub failing_syncs: usize,
    pub counters: DiskCounters,
}

impl SharedDisk {
    pub fn new(state: DiskState) -> Self {
        Self { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Wakes the calls that wait for the end of a stall. Must be called when a stall or the process ends.
    pub fn notify(&self) {
        self.changed.notify_all();
    }

    pub fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state for a handle of `process`; fails if that process was killed.
    pub fn lock_for(&self, process: u64) -> io::Result<MutexGuard<'_, DiskState>> {
        let state = self.lock();
        check_process(&state, process)?;
        Ok(state)
    }

    /// Waits until the disk is not stalled, then locks the state as [`Self::lock_for`] does. Fails at once if
    /// the process is killed while it waits.
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
    Err(io::Error::new(io::ErrorKind::BrokenPipe, "the process that opened this file system was killed"))
}

impl DiskState {
    /// Creates an empty disk without faults. `seed` determines its random numbers.
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

    /// Returns the allocated space of all files in bytes.
    pub fn allocated(&self) -> u64 {
        self.files.values().map(|file| file.visible().allocated()).sum()
    }

    pub fn file(&mut self, path: &Path) -> io::Result<&mut StoredFile> {
        self.files.get_mut(path).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes the bytes for which there is space; fails with `StorageFull` if these are not all.
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
            return Err(io::Error::other("injected sync failure"));
        }
        self.file(path)?.sync();
        Ok(())
    }
}
