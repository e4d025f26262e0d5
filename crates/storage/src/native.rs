//! [`FileSystem`] over the file system of the operating system.

use std::fs;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

use crate::{File, FileSystem};

/// The file system of the operating system. Its calls block.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeFileSystem;

impl FileSystem for NativeFileSystem {
    fn create_directory(&self, directory: &Path) -> io::Result<()> {
        fs::create_dir_all(directory)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(directory)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn File>> {
        let file = fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        Ok(Box::new(NativeFile { file, cursor: Some(0) }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        fs::File::open(directory)?.sync_all()
    }

    /// Hashes the process id with the random keys that the standard library takes from the operating system.
    fn random(&self) -> u64 {
        RandomState::new().hash_one(std::process::id())
    }
}

/// An open file with its current cursor, so that sequential reads and writes need no seek.
struct NativeFile {
    file: fs::File,
    /// Offset of the operating system's cursor; `None` after a failure, as it is then unknown.
    cursor: Option<u64>,
}

impl NativeFile {
    fn seek(&mut self, offset: u64) -> io::Result<()> {
        if self.cursor.take() != Some(offset) {
            self.file.seek(SeekFrom::Start(offset))?;
        }
        Ok(())
    }
}

impl File for NativeFile {
    fn length(&mut self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        self.seek(offset)?;
        let mut filled = 0;
        while filled < buffer.len() {
            match self.file.read(&mut buffer[filled..]) {
                Ok(0) => break,
                Ok(count) => filled += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.cursor = Some(offset + filled as u64);
        Ok(filled)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(offset)?;
        self.file.write_all(bytes)?;
        self.cursor = Some(offset + bytes.len() as u64);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}
