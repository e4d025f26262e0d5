//! Reads the contents of records again, after they were written or recovered.

use std::io;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

use crate::layout::RingDirectory;
use crate::record_location::{Extent, RecordLocation};
use crate::{FileSystem, RingOptions};

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

/// Reader of the records of one ring. It has no part in what the ring writes.
#[derive(Clone)]
pub struct RecordReader {
    directory: RingDirectory,
}

impl RecordReader {
    /// Creates a reader of the ring in a directory.
    #[must_use]
    pub fn new(file_system: Arc<dyn FileSystem>, directory: &Path, options: RingOptions) -> Self {
        Self { directory: RingDirectory::new(file_system, directory, options) }
    }

    pub(crate) fn of(directory: RingDirectory) -> Self {
        Self { directory }
    }
}

impl RecordSource for RecordReader {
    fn read(&self, location: &RecordLocation, range: Range<u64>) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(usize::try_from(range.end - range.start).unwrap_or(0));
        let expected = bytes.capacity();
        for extent in location.extents_of(range) {
            read_extent(&self.directory, extent, &mut bytes)?;
        }
        if bytes.len() < expected {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(bytes)
    }
}

/// Appends the bytes of `extent` to `bytes`.
pub(crate) fn read_extent(directory: &RingDirectory, extent: Extent, bytes: &mut Vec<u8>) -> io::Result<()> {
    let mut file = directory.open_file(extent.segment)?;
    let start = bytes.len();
    bytes.resize(start + extent.length as usize, 0);
    let count = file.read_at(extent.offset, &mut bytes[start..])?;
    if (count as u64) < extent.length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
