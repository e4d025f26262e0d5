//! The file system of a simulated disk as a process uses it: what is on the disk is not memory of the process.

use std::io;
use std::path::Path;
use std::sync::Arc;

use storage::{File, FileSystem};

use crate::memory_meter::without_counting;

/// A file system whose contents are not counted as memory of the process that writes them.
pub(crate) struct UncountedFileSystem(pub(crate) Arc<dyn FileSystem>);

struct UncountedFile(Box<dyn File>);

impl FileSystem for UncountedFileSystem {
    fn create_directory(&self, directory: &Path) -> io::Result<()> {
        without_counting(|| self.0.create_directory(directory))
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        without_counting(|| self.0.list(directory))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        without_counting(|| Ok(Box::new(UncountedFile(self.0.open(path)?)) as Box<dyn File>))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        without_counting(|| self.0.rename(from, to))
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        without_counting(|| self.0.sync_directory(directory))
    }

    fn random(&self) -> u64 {
        self.0.random()
    }
}

impl File for UncountedFile {
    fn length(&mut self) -> io::Result<u64> {
        without_counting(|| self.0.length())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        without_counting(|| self.0.set_length(length))
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        without_counting(|| self.0.read_at(offset, buffer))
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        without_counting(|| self.0.write_at(offset, bytes))
    }

    fn sync(&mut self) -> io::Result<()> {
        without_counting(|| self.0.sync())
    }
}
