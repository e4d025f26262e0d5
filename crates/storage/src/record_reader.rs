//! Reads the contents of records again, after they were written or recovered.

use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use crate::layout::RingDirectory;
use crate::record_location::{Extent, RecordLocation};
use crate::{File, FileSystem, RingOptions};

/// Source of the contents of records.
pub trait RecordSource: Send + Sync {
    /// Reads the bytes of `range` of a record's content. Blocks on the disk. The bytes are not verified: they
    /// are those of another record if the record was released and its segment written again.
    ///
    /// # Errors
    ///
    /// Returns the errors of the disk, or [`io::ErrorKind::UnexpectedEof`] if the content is shorter.
    fn read(&self, location: &RecordLocation, range: Range<u64>) -> io::Result<Vec<u8>>;
}

/// Reader of the records of one ring. It has no part in what the ring writes. Clones share the open file.
#[derive(Clone)]
pub struct RecordReader {
    directory: RingDirectory,
    /// The file that was read last, which stays open since the next record is often in the same one.
    last_file: Arc<Mutex<Option<OpenFile>>>,
}

/// An open file of a segment.
struct OpenFile {
    segment: u64,
    file: Box<dyn File>,
}

impl RecordReader {
    /// Creates a reader of the ring in a directory.
    #[must_use]
    pub fn new(file_system: Arc<dyn FileSystem>, directory: &Path, options: RingOptions) -> Self {
        Self::of(RingDirectory::new(file_system, directory, options))
    }

    pub(crate) fn of(directory: RingDirectory) -> Self {
        Self { directory, last_file: Arc::default() }
    }

    /// Takes the open file of a segment, or opens it.
    fn take_file(&self, segment: u64) -> io::Result<OpenFile> {
        let last = self.last_file.lock().unwrap_or_else(PoisonError::into_inner).take();
        match last {
            Some(open) if open.segment == segment => Ok(open),
            _ => Ok(OpenFile { segment, file: self.directory.open_file(segment)? }),
        }
    }

    /// Keeps a file open for the next read.
    fn keep_file(&self, open: OpenFile) {
        *self.last_file.lock().unwrap_or_else(PoisonError::into_inner) = Some(open);
    }
}

impl RecordSource for RecordReader {
    fn read(&self, location: &RecordLocation, range: Range<u64>) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(usize::try_from(range.end - range.start).unwrap_or(0));
        let expected = bytes.capacity();
        for extent in location.extents_of(range) {
            let mut open = self.take_file(extent.segment)?;
            read_extent(&mut *open.file, extent, &mut bytes)?;
            self.keep_file(open);
        }
        if bytes.len() < expected {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(bytes)
    }
}

/// Appends the bytes of `extent` of a file to `bytes`.
pub(crate) fn read_extent(file: &mut dyn File, extent: Extent, bytes: &mut Vec<u8>) -> io::Result<()> {
    let start = bytes.len();
    bytes.resize(start + extent.length as usize, 0);
    let count = file.read_at(extent.offset, &mut bytes[start..])?;
    if (count as u64) < extent.length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
