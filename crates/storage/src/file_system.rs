//! Traits for the operations of a file system that a ring needs.

use std::io;
use std::path::Path;

/// A file system: [native](crate::NativeFileSystem) or [simulated](crate::simulated).
pub trait FileSystem: Send + Sync {
    /// Creates a directory and its parents, unless they exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system, for example for a missing permission.
    fn create_directory(&self, directory: &Path) -> io::Result<()>;
    /// Returns the names of the files in a directory, without their path and in no particular order.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system, for example if the directory does not exist.
    fn list(&self, directory: &Path) -> io::Result<Vec<String>>;
    /// Opens a file for reading and writing; creates an empty one if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system, for example if the disk is full.
    fn open(&self, path: &Path) -> io::Result<Box<dyn File>>;
    /// Renames a file; replaces an existing file at `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system, for example if `from` does not exist.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Makes the names of the files in a directory durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk. It is then unknown which names are durable.
    fn sync_directory(&self, directory: &Path) -> io::Result<()>;
    /// Draws a random number, for incarnations and generations. In a simulation, the seed determines it.
    fn random(&self) -> u64;
}

/// An open file, accessed by offset.
pub trait File: Send {
    /// Returns the length of the file in bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn length(&mut self) -> io::Result<u64>;
    /// Truncates or extends the file to `length` bytes; new bytes are zero.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system, for example if the disk is full.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Reads from `offset` until the buffer is full or the file ends, and returns the number of bytes read.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk, for example for a bad sector.
    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes all bytes at `offset`. After a failure, some of them may have been written.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk, for example if no space is left.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Makes the bytes and the length of the file durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the disk. It is then unknown which writes since the last sync are durable.
    fn sync(&mut self) -> io::Result<()>;
}
