//! The simulated disk and the file system that a process sees.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use super::content::StoredFile;
use super::{PendingWrite, WriteFaultModel};
use crate::{File, FileSystem};

/// Calls of the disk so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounters {
    /// Bytes that were read.
    pub read_bytes: u64,
    /// Calls that wrote.
    pub writes: u64,
    /// Syncs of files and folders.
    pub syncs: u64,
}

/// A disk in memory. Clones are the same disk.
#[derive(Clone)]
pub struct SimulatedDisk {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<DiskState>,
    changed: Condvar,
}

struct DiskState {
    files: BTreeMap<PathBuf, StoredFile>,
    random: fastrand::Rng,
    capacity: Option<u64>,
    /// Counts the ends of processes; handles of an earlier life fail.
    life: u64,
    is_stalled: bool,
    failing_syncs: usize,
    counters: DiskCounters,
}

impl SimulatedDisk {
    /// An empty disk; the same seed gives the same random numbers.
    pub fn new(seed: u64) -> Self {
        let state = DiskState {
            files: BTreeMap::new(),
            random: fastrand::Rng::with_seed(seed),
            capacity: None,
            life: 0,
            is_stalled: false,
            failing_syncs: 0,
            counters: DiskCounters::default(),
        };
        Self { shared: Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() }) }
    }

    /// The disk as a process sees it that starts now.
    pub fn file_system(&self) -> Arc<dyn FileSystem> {
        let life = self.shared.lock().life;
        Arc::new(SimulatedFileSystem { shared: Arc::clone(&self.shared), life })
    }

    /// The process is killed: its files stay as they are, its handles fail from now on.
    pub fn kill(&self) {
        self.shared.lock().life += 1;
        self.shared.changed.notify_all();
    }

    /// Power is lost; implies [`kill`](Self::kill).
    pub fn lose_power(&self, fates: &mut dyn WriteFaultModel) {
        self.kill();
        let mut state = self.shared.lock();
        state.files.retain(|path, file| file.lose_power(path, fates));
    }

    /// The disk is replaced by an empty one; implies [`kill`](Self::kill).
    pub fn wipe(&self) {
        self.kill();
        self.shared.lock().files.clear();
    }

    /// Limits the space; `None` lifts the limit. Space that was written once stays taken.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.shared.lock().capacity = bytes;
    }

    /// Space taken so far.
    pub fn allocated(&self) -> u64 {
        self.shared.lock().allocated()
    }

    /// While the disk is stalled, writes and syncs hang.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.shared.lock().is_stalled = is_stalled;
        self.shared.changed.notify_all();
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

    /// Tells each change that no sync covers, in the order of the files.
    pub fn for_each_pending(&self, mut visitor: impl FnMut(&PendingWrite<'_>)) {
        let state = self.shared.lock();
        for (path, file) in &state.files {
            file.pending(path).for_each(|pending| visitor(&pending));
        }
    }

    /// Calls so far.
    pub fn counters(&self) -> DiskCounters {
        self.shared.lock().counters
    }

    /// A separate disk with the same content, and the same changes not yet synced.
    pub fn duplicate(&self) -> Self {
        let state = self.shared.lock();
        let copy = Self::new(0);
        {
            let mut copied = copy.shared.lock();
            copied.files = state.files.clone();
            copied.random = state.random.clone();
            copied.capacity = state.capacity;
        }
        copy
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state_of(&self, life: u64) -> io::Result<MutexGuard<'_, DiskState>> {
        let state = self.lock();
        check_life(&state, life)?;
        Ok(state)
    }

    /// Waits while the disk is stalled.
    fn ready_state_of(&self, life: u64) -> io::Result<MutexGuard<'_, DiskState>> {
        let is_waiting = |state: &mut DiskState| state.is_stalled && state.life == life;
        let waited = self.changed.wait_while(self.lock(), is_waiting);
        let state = waited.unwrap_or_else(PoisonError::into_inner);
        check_life(&state, life)?;
        Ok(state)
    }
}

fn check_life(state: &DiskState, life: u64) -> io::Result<()> {
    if state.life == life {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::BrokenPipe, "the process has ended"))
}

impl DiskState {
    fn allocated(&self) -> u64 {
        self.files.values().map(|file| file.seen().allocated()).sum()
    }

    fn file(&mut self, path: &Path) -> io::Result<&mut StoredFile> {
        self.files.get_mut(path).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Writes as much as there is space for.
    fn write(&mut self, path: &Path, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.counters.writes += 1;
        let taken = self.file(path)?.seen().allocated();
        let others = self.allocated() - taken;
        let end = match self.capacity {
            Some(capacity) => capacity.saturating_sub(others).max(taken),
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

    fn sync(&mut self, path: &Path) -> io::Result<()> {
        self.counters.syncs += 1;
        if self.failing_syncs > 0 {
            self.failing_syncs -= 1;
            return Err(io::Error::other("sync failed"));
        }
        self.file(path)?.sync();
        Ok(())
    }
}

/// The disk as one life of a process sees it.
pub struct SimulatedFileSystem {
    shared: Arc<Shared>,
    life: u64,
}

impl FileSystem for SimulatedFileSystem {
    fn create_directory(&self, _directory: &Path) -> io::Result<()> {
        self.shared.state_of(self.life).map(|_| ())
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let state = self.shared.state_of(self.life)?;
        let paths = state.files.keys().filter(|path| path.parent() == Some(directory));
        Ok(paths.filter_map(|path| path.file_name()?.to_str().map(str::to_owned)).collect())
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let mut state = self.shared.state_of(self.life)?;
        state.files.entry(path.to_owned()).or_default();
        Ok(Box::new(SimulatedFile {
            shared: Arc::clone(&self.shared),
            life: self.life,
            path: path.to_owned(),
        }))
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        let mut state = self.shared.ready_state_of(self.life)?;
        state.counters.syncs += 1;
        for (path, file) in &mut state.files {
            file.is_name_durable |= path.parent() == Some(directory);
        }
        Ok(())
    }

    fn random(&self) -> u64 {
        self.shared.lock().random.u64(..)
    }
}

struct SimulatedFile {
    shared: Arc<Shared>,
    life: u64,
    path: PathBuf,
}

impl File for SimulatedFile {
    fn length(&mut self) -> io::Result<u64> {
        let mut state = self.shared.state_of(self.life)?;
        Ok(state.file(&self.path)?.seen().length())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.shared.ready_state_of(self.life)?;
        state.file(&self.path)?.set_length(length);
        Ok(())
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = self.shared.state_of(self.life)?;
        let count = state.file(&self.path)?.seen().read(offset, buffer);
        state.counters.read_bytes += count as u64;
        Ok(count)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.shared.ready_state_of(self.life)?.write(&self.path, offset, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.shared.ready_state_of(self.life)?.sync(&self.path)
    }
}
