//! Sequential reads of a segment in large blocks.

use crate::format::{RecordHeader, RECORD_HEADER_BYTES};
use crate::{File, StorageError};

/// Minimum number of bytes that one read of the file requests, unless fewer are left in the segment.
const READ_AHEAD_BYTES: usize = 32 * 1024;

/// Buffer for a part of a segment. The offsets that are read must not decrease.
pub(crate) struct ReadAheadBuffer<'a> {
    file: &'a mut dyn File,
    segment_bytes: u64,
    /// Offset of the first byte of `bytes` in the segment.
    start: u64,
    bytes: Vec<u8>,
}

impl<'a> ReadAheadBuffer<'a> {
    pub fn new(file: &'a mut dyn File, segment_bytes: u64) -> Self {
        Self { file, segment_bytes, start: 0, bytes: Vec::new() }
    }

    /// Returns the record header at `offset` without verifying its checksum; `None` if the segment ends
    /// before the end of the header.
    pub fn read_record_header(&mut self, offset: u64) -> Result<Option<RecordHeader>, StorageError> {
        let bytes = self.read(offset, RECORD_HEADER_BYTES)?;
        let bytes = bytes.and_then(|bytes| bytes.first_chunk::<RECORD_HEADER_BYTES>());
        Ok(bytes.map(RecordHeader::decode))
    }

    /// Returns the `length` bytes at `offset`; `None` if they reach beyond the end of the segment.
    pub fn read(&mut self, offset: u64, length: usize) -> Result<Option<&[u8]>, StorageError> {
        let end = offset + length as u64;
        if end > self.segment_bytes {
            return Ok(None);
        }
        if end > self.start + self.bytes.len() as u64 {
            self.discard_before(offset);
            self.fill(length)?;
        }
        let start = (offset - self.start) as usize;
        Ok(self.bytes.get(start..start + length))
    }

    fn discard_before(&mut self, offset: u64) {
        let passed = (offset - self.start) as usize;
        self.bytes.drain(..passed.min(self.bytes.len()));
        self.start = offset;
    }

    fn fill(&mut self, length: usize) -> Result<(), StorageError> {
        let buffered = self.bytes.len();
        let offset = self.start + buffered as u64;
        let remaining = (self.segment_bytes - offset) as usize;
        let requested = length.saturating_sub(buffered).max(READ_AHEAD_BYTES).min(remaining);
        self.bytes.resize(buffered + requested, 0);
        let count = self.file.read_at(offset, &mut self.bytes[buffered..])?;
        self.bytes.truncate(buffered + count);
        Ok(())
    }
}
