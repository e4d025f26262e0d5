//! Assembles the records that were written in parts while a ring is read.

use crate::format::RecordPart;
use crate::layout::RingDirectory;
use crate::record_location::{Extent, RecordLocation};
use crate::recovered_record::{RecordVisitor, RecoveredRecord};
use crate::{Position, StorageError};

/// Joins the parts of each record and passes complete records to a visitor.
///
/// Parts of a record follow one another without a gap. A record that lacks its first parts was released
/// together with an older segment, and one that lacks its last parts was never acknowledged; both are dropped.
pub(crate) struct RecordAssembly<'a> {
    directory: &'a RingDirectory,
    visitor: RecordVisitor<'a>,
    /// The record whose last part was not read yet.
    incomplete: Option<IncompleteRecord>,
}

struct IncompleteRecord {
    /// Sequence number of the first part.
    position: Position,
    extents: Vec<Extent>,
}

impl<'a> RecordAssembly<'a> {
    pub fn new(directory: &'a RingDirectory, visitor: RecordVisitor<'a>) -> Self {
        Self { directory, visitor, incomplete: None }
    }

    /// Adds the next part of the chain, whose sequence number is `sequence` and which stands at `extent`.
    pub fn add(
        &mut self,
        sequence: u64,
        part: RecordPart,
        extent: Extent,
        content: &[u8],
    ) -> Result<(), StorageError> {
        let incomplete = if part.is_first() {
            Some(IncompleteRecord { position: Position(sequence), extents: Vec::new() })
        } else {
            self.incomplete.take()
        };
        self.incomplete = None;
        let Some(mut record) = incomplete else { return Ok(()) };
        record.extents.push(extent);
        if !part.is_last() {
            self.incomplete = Some(record);
            return Ok(());
        }
        let location = RecordLocation::new(record.position, record.extents);
        let recovered = match part {
            RecordPart::Complete => RecoveredRecord::complete(location, content),
            _ => RecoveredRecord::in_parts(location, self.directory),
        };
        (self.visitor)(recovered)
    }
}
