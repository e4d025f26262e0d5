//! The newest segment of a ring, and the records that are about to become durable in it.

use crate::format::{begin_record, finish_record, ChainEnd, RecordPart, SEGMENT_HEADER_BYTES};
use crate::{File, StorageError};

/// Capacity in bytes to which the buffer of staged records is shrunk after each write, so that the
/// memory of a large batch is freed.
const MAX_RETAINED_BUFFER_BYTES: usize = 256 * 1024;
/// The newest segment, to which records are added.
pub(crate) struct Tail {
    file: Box<dyn File>,
    /// Offset of the end of the durable records in the file.
    pub offset: u64,
    /// Number of bytes that were written behind the durable records and are not synced yet.
    pub unsynced: u64,
    /// Whether the header of the next segment may be on the disk. This segment must then not be extended.
    pub is_sealed: bool,
}

impl Tail {
    /// Creates the state of a segment that contains only its header.
    pub fn empty(file: Box<dyn File>) -> Self {
        Self::new(file, SEGMENT_HEADER_BYTES as u64)
    }

    /// Creates the state of a segment whose durable records end at `offset`.
    pub fn new(file: Box<dyn File>, offset: u64) -> Self {
        Self { file, offset, unsynced: 0, is_sealed: false }
    }

    /// Returns the offset of the next record in the file.
    pub fn end(&self) -> u64 {
        self.offset + self.unsynced
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        self.file.write_at(self.end(), bytes)?;
        self.unsynced += bytes.len() as u64;
        Ok(())
    }

    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.file.sync()?;
        self.offset += std::mem::take(&mut self.unsynced);
        Ok(())
    }
}

/// Records and parts of records that are about to become durable together.
pub(crate) struct StagedRecords {
    /// Those that are not written yet.
    pub bytes: Vec<u8>,
    /// Number of records that end in what is not durable yet.
    pub count: usize,
    /// End of the chain after the staged records.
    pub chain: ChainEnd,
}

impl StagedRecords {
    pub fn new(chain: ChainEnd) -> Self {
        Self { bytes: Vec::new(), count: 0, chain }
    }

    /// Begins a record or part, whose content is then appended to `bytes`. Returns its start.
    pub fn begin(&mut self) -> usize {
        let start = self.bytes.len();
        begin_record(&mut self.bytes);
        start
    }

    /// Completes the record or part that begins at `start`.
    pub fn finish(&mut self, start: usize, generation: u64, part: RecordPart) {
        self.chain = finish_record(&mut self.bytes, start, self.chain, generation, part);
        self.count += usize::from(part.is_last());
    }

    pub fn clear(&mut self, chain: ChainEnd) {
        self.chain = chain;
        self.count = 0;
        self.clear_bytes();
    }

    pub fn clear_bytes(&mut self) {
        self.bytes.clear();
        self.bytes.shrink_to(MAX_RETAINED_BUFFER_BYTES);
    }
}
