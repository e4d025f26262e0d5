//! [`RecoveredRecord`]: a record that an open of a ring has found.

use std::io;

use crate::layout::RingDirectory;
use crate::record_location::{Extent, RecordLocation};
use crate::record_reader::read_extent;
use crate::StorageError;

/// Callback that receives each record as it is recovered, oldest first. The open fails with its errors.
pub(crate) type RecordVisitor<'a> = &'a mut dyn FnMut(RecoveredRecord<'_>) -> Result<(), StorageError>;

/// A record that an open of a ring has found and verified. Its content is read by [`io::Read`]; a content in
/// several parts is in memory one part at a time.
pub struct RecoveredRecord<'a> {
    location: RecordLocation,
    length: usize,
    content: UnreadContent<'a>,
}

enum UnreadContent<'a> {
    /// The bytes of a record in one part that were not read yet.
    Buffered(&'a [u8]),
    /// A record in several parts, which are read one after the other.
    Parts { directory: &'a RingDirectory, remaining: std::vec::IntoIter<Extent>, part: io::Cursor<Vec<u8>> },
}

impl<'a> RecoveredRecord<'a> {
    /// Creates a record in one part.
    pub(crate) fn complete(location: RecordLocation, content: &'a [u8]) -> Self {
        Self { location, length: content.len(), content: UnreadContent::Buffered(content) }
    }

    /// Creates a record in several parts.
    pub(crate) fn in_parts(location: RecordLocation, directory: &'a RingDirectory) -> Self {
        let extents = location.extents_of(0..u64::MAX);
        let length = extents.iter().map(|extent| extent.length as usize).sum();
        let (remaining, part) = (extents.into_iter(), io::Cursor::default());
        Self { location, length, content: UnreadContent::Parts { directory, remaining, part } }
    }

    /// Returns where the record is on the disk.
    #[must_use]
    pub fn location(&self) -> &RecordLocation {
        &self.location
    }

    /// Returns the length of the content in bytes.
    #[must_use]
    pub fn content_length(&self) -> usize {
        self.length
    }

    /// Reads all of the content that was not read yet.
    ///
    /// # Errors
    ///
    /// Returns the errors of the disk.
    pub fn read_content(&mut self) -> io::Result<Vec<u8>> {
        let mut content = Vec::with_capacity(self.length);
        io::Read::read_to_end(self, &mut content)?;
        Ok(content)
    }
}

impl io::Read for RecoveredRecord<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        match &mut self.content {
            UnreadContent::Buffered(content) => content.read(buffer),
            UnreadContent::Parts { directory, remaining, part } => loop {
                let count = part.read(buffer)?;
                if count > 0 || buffer.is_empty() {
                    return Ok(count);
                }
                let Some(extent) = remaining.next() else { return Ok(0) };
                let mut bytes = std::mem::take(part).into_inner();
                bytes.clear();
                read_extent(&mut *directory.open_file(extent.segment)?, extent, &mut bytes)?;
                *part = io::Cursor::new(bytes);
            },
        }
    }
}
