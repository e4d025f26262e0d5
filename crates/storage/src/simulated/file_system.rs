//! The file system through which a simulated process accesses the disk.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::disk_state::SharedDisk;
use crate::{File, FileSystem};

/// File system of one simulated process. Its calls and those of its open files fail once the process is
/// killed; only [`random`](FileSystem::random) still works. Directories need not exist.
pub struct SimulatedFileSystem {
    shared: Arc<SharedDisk>,
    process: u64,
}

impl SimulatedFileSystem {
    pub(super) fn new(shared: Arc<SharedDisk>, process: u64) -> Self {
        Self { shared, process }
    }
}

impl FileSystem for SimulatedFileSystem {
    fn create_directory(&self, _directory: &Path) -> io::Result<()> {
        self.shared.lock_for(self.process).map(|_| ())
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let state = self.shared.lock_for(self.process)?;
        let paths = state.files.keys().filter(|path| path.parent() == Some(directory));
        Ok(paths.filter_map(|path| path.file_name()?.to_str().map(str::to_owned)).collect())
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let mut state = self.shared.lock_for(self.process)?;
        state.files.entry(path.to_owned()).or_default();
        Ok(Box::new(SimulatedFile {
            shared: Arc::clone(&self.shared),
            process: self.process,
            path: path.to_owned(),
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.shared.lock_for(self.process)?;
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        let mut state = self.shared.lock_when_ready(self.process)?;
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
    shared: Arc<SharedDisk>,
    process: u64,
    path: PathBuf,
}

impl File for SimulatedFile {
    fn length(&mut self) -> io::Result<u64> {
        let mut state = self.shared.lock_for(self.process)?;
        Ok(state.file(&self.path)?.visible().length())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.shared.lock_when_ready(self.process)?;
        state.file(&self.path)?.set_length(length);
        Ok(())
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = self.shared.lock_for(self.process)?;
        let count = state.file(&self.path)?.visible().read(offset, buffer);
        state.counters.read_bytes += count as u64;
        Ok(count)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.shared.lock_when_ready(self.process)?.write(&self.path, offset, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.shared.lock_when_ready(self.process)?.sync(&self.path)
    }
}
