//! The operations of the file system that a ring needs.

use std::io;
use std::path::Path;

/// A file system, real or [simulated](crate::simulated).
pub trait FileSystem: Send + Sync {
    /// Creates a folder and its parents, if need be.
    fn create_directory(&self, directory: &Path) -> io::Result<()>;
    /// The names of the files in a folder.
    fn list(&self, directory: &Path) -> io::Result<Vec<String>>;
    /// Opens a file to read and write; creates an empty one if there is none.
    fn open(&self, path: &Path) -> io::Result<Box<dyn File>>;
    /// Makes the names in a folder durable.
    fn sync_directory(&self, directory: &Path) -> io::Result<()>;
    /// A random number.
    fn random(&self) -> u64;
}

/// An open file.
pub trait File: Send {
    /// Its length in bytes.
    fn length(&mut self) -> io::Result<u64>;
    /// Changes its length; new bytes are zero.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Reads from `offset` on until the buffer is full or the file ends; returns how many bytes were read.
    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes all bytes at `offset`. After a failure some of them may be written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes its bytes and its length durable.
    fn sync(&mut self) -> io::Result<()>;
}
