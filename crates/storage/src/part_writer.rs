//! Divides the content of a long record into parts.

use std::io;

use crate::format::RecordPart;
use crate::record_location::{Extent, RecordLocation};
use crate::{Position, StorageError};

/// A part of a long record that was begun and is not complete.
pub(crate) struct OpenPart {
    pub position: Position,
    /// Number of the segment that contains the part.
    pub segment: u64,
    /// Offset of the content in the file of the segment.
    pub offset: u64,
    /// Offset of its header among the staged bytes.
    pub start: usize,
    /// Number of bytes of content that still fit.
    pub space: usize,
}

/// The segments into which parts are written.
pub(crate) trait PartSink {
    /// Begins a part in the newest segment, or in the next one if that is full.
    fn begin(&mut self) -> Result<OpenPart, StorageError>;

    /// Appends content to the part that was begun last.
    fn extend(&mut self, content: &[u8]);

    /// Completes the part that was begun last.
    fn finish(&mut self, part: &OpenPart, kind: RecordPart) -> Result<(), StorageError>;
}

/// Writer that divides the content of one record into parts. Each part but the last takes all the space that the
/// sink offers.
pub(crate) struct PartWriter<Sink> {
    sink: Sink,
    /// The part to which content is added.
    part: Option<OpenPart>,
    /// Number of bytes of content that were not written yet.
    remaining: usize,
    /// Position of the first part; `None` before it is begun.
    position: Option<Position>,
    /// The contents of the parts that were begun.
    extents: Vec<Extent>,
    /// Failure of the sink, which the errors of [`io::Write`] stand for.
    failure: Option<StorageError>,
}

impl<Sink: PartSink> PartWriter<Sink> {
    /// Creates a writer for a record of `length` bytes, for which `sink` has enough space.
    pub fn new(sink: Sink, length: usize) -> Self {
        Self { sink, part: None, remaining: length, position: None, extents: Vec::new(), failure: None }
    }

    /// Returns the location of the record.
    ///
    /// # Errors
    ///
    /// Fails if the sink failed, or with `written` if that is an error.
    pub fn finish(self, written: io::Result<()>) -> Result<RecordLocation, StorageError> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        written?;
        debug_assert_eq!(self.remaining, 0, "a record is as long as it reports");
        let position = self.position.ok_or(StorageError::Closed)?;
        Ok(RecordLocation::new(position, self.extents))
    }

    /// Adds content to the present part, as much as fits, and completes the part if it or the record is full.
    fn add(&mut self, content: &[u8]) -> Result<usize, StorageError> {
        let mut part = match self.part.take() {
            Some(part) => part,
            None => self.begin_part()?,
        };
        let count = content.len().min(part.space).min(self.remaining);
        self.sink.extend(&content[..count]);
        part.space -= count;
        self.remaining -= count;
        if let Some(extent) = self.extents.last_mut() {
            extent.length += count as u64;
        }
        if part.space == 0 || self.remaining == 0 {
            let kind = RecordPart::new(self.extents.len() == 1, self.remaining == 0);
            self.sink.finish(&part, kind)?;
        } else {
            self.part = Some(part);
        }
        Ok(count)
    }

    fn begin_part(&mut self) -> Result<OpenPart, StorageError> {
        let part = self.sink.begin()?;
        self.position.get_or_insert(part.position);
        self.extents.push(Extent { segment: part.segment, offset: part.offset, length: 0 });
        Ok(part)
    }
}

impl<Sink: PartSink> io::Write for PartWriter<Sink> {
    /// Adds content to the record. Returns 0 once the record has its length.
    fn write(&mut self, content: &[u8]) -> io::Result<usize> {
        if content.is_empty() || self.remaining == 0 {
            return Ok(0);
        }
        self.add(content).map_err(|failure| {
            let error = io::Error::other(failure.to_string());
            self.failure = Some(failure);
            error
        })
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
