//! [`RecordLocation`]: where the content of a record is on the disk, so that parts of it can be read again.

use std::ops::Range;
use std::sync::Arc;

use crate::Position;

/// A piece of the content of a record that stands in one file without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// Number of the segment, counted from the first one ever written.
    pub segment: u64,
    /// Offset in the file of the segment, in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub length: u64,
}

/// Location of the content of a record. It is valid until the record is released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// Position of the record.
    pub position: Position,
    /// The pieces of the content, in order.
    extents: Arc<[Extent]>,
}

impl RecordLocation {
    /// Creates the location of a record from the pieces of its content.
    #[must_use]
    pub fn new(position: Position, extents: Vec<Extent>) -> Self {
        Self { position, extents: extents.into() }
    }

    /// Returns the pieces that contain the bytes of `range`, counted from the start of the content, in order.
    /// Together they are shorter than `range` if the content is.
    #[must_use]
    pub fn extents_of(&self, range: Range<u64>) -> Vec<Extent> {
        let mut start = 0;
        let mut found = Vec::new();
        for extent in self.extents.iter() {
            let end = start + extent.length;
            let (first, last) = (range.start.max(start), range.end.min(end));
            if first < last {
                found.push(Extent { offset: extent.offset + first - start, length: last - first, ..*extent });
            }
            start = end;
        }
        found
    }
}
