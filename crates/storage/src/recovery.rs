//! Recovery: reads the records of a ring when it is opened and determines where appends continue.

use crate::format::{ChainEnd, SegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::layout::{RingDirectory, RingOptions};
use crate::read_ahead::ReadAheadBuffer;
use crate::record_assembly::RecordAssembly;
use crate::record_location::Extent;
use crate::recovered_record::RecordVisitor;
use crate::{File, StorageError};

/// A segment whose file cannot be reused, because it may contain records that were not released.
#[derive(Clone, Copy)]
pub(crate) struct LiveSegment {
    /// Number of the segment, counted from the first one ever written.
    pub index: u64,
    /// Sequence number of the first record of the segment.
    pub first_sequence: u64,
}

/// State of a ring after its recovery or creation, from which appends continue.
pub(crate) struct RingState {
    /// Random number drawn when the ring was created.
    pub incarnation: u64,
    /// Segments that cannot be reused yet, oldest first; never empty.
    pub segments: Vec<LiveSegment>,
    /// End of the chain of recovered records.
    pub chain: ChainEnd,
    /// Offset of the next record in the newest segment.
    pub offset: u64,
    /// Records below this sequence number are released, according to the header of the newest segment.
    pub released: u64,
    /// File of the newest segment.
    pub file: Box<dyn File>,
}

/// Reads the ring in a directory and makes all its records durable; returns `None` if there is no ring.
pub(crate) fn recover(
    directory: &RingDirectory,
    visitor: RecordVisitor<'_>,
) -> Result<Option<RingState>, StorageError> {
    let options = directory.options();
    let headers = directory.read_headers()?;
    let Some(newest) = headers.iter().flatten().max_by_key(|header| header.index).copied() else {
        return Ok(None);
    };
    check_options(&newest, options)?;
    let live = live_segments(&headers, &newest, options)?;
    let mut assembly = RecordAssembly::new(directory, visitor);
    let mut chain = live[0].chain;
    for pair in live.windows(2) {
        let mut file = directory.open_segment(pair[0].index)?;
        let mut scan = SegmentScan::new(file.as_mut(), pair[0].index, chain, options);
        scan.run(Some(pair[1].chain.next_sequence), &mut assembly)?;
        chain = scan.chain;
        if chain != pair[1].chain {
            return Err(StorageError::Corrupt { segment: pair[0].index });
        }
    }
    let mut file = directory.open_segment(newest.index)?;
    let mut scan = SegmentScan::new(file.as_mut(), newest.index, chain, options);
    scan.run(None, &mut assembly)?;
    let (chain, offset) = (scan.chain, scan.offset);
    // The process that wrote these records may have been killed before it synced them. The older segments
    // were synced before this one was begun.
    file.sync()?;
    let segment = |header: &SegmentHeader| LiveSegment {
        index: header.index,
        first_sequence: header.chain.next_sequence,
    };
    let segments = live.iter().map(segment).collect();
    let (incarnation, released) = (newest.incarnation, newest.released);
    Ok(Some(RingState { incarnation, segments, chain, offset, released, file }))
}

fn check_options(header: &SegmentHeader, options: RingOptions) -> Result<(), StorageError> {
    let segments = u64::from(header.segments);
    if header.segment_bytes == options.segment_bytes && segments == options.segments as u64 {
        return Ok(());
    }
    Err(StorageError::OptionsChanged { segment_bytes: header.segment_bytes, segments })
}

/// Returns the headers of all segments that may contain records that were not released, oldest first and up
/// to the newest segment.
///
/// A header may be missing only in the file that is used next, because a write of the next header may have
/// been interrupted. Any other missing header means that durable records are missing.
fn live_segments(
    headers: &[Option<SegmentHeader>],
    newest: &SegmentHeader,
    options: RingOptions,
) -> Result<Vec<SegmentHeader>, StorageError> {
    let count = options.segments as u64;
    let mut live = vec![*newest];
    let mut oldest = *newest;
    while oldest.index > 0 && oldest.chain.next_sequence > newest.released {
        let index = oldest.index - 1;
        let header = headers[(index % count) as usize];
        match header.filter(|header| header.index == index && header.incarnation == newest.incarnation) {
            Some(header) => oldest = header,
            None if index + count <= newest.index + 1 => break,
            None => return Err(StorageError::Corrupt { segment: index }),
        }
        live.push(oldest);
    }
    live.reverse();
    Ok(live)
}

/// Sequential scan of the records of one segment.
struct SegmentScan<'a> {
    buffer: ReadAheadBuffer<'a>,
    /// Number of the segment.
    segment: u64,
    /// End of the chain after the records read so far.
    chain: ChainEnd,
    /// Offset of the next record to read.
    offset: u64,
}

impl<'a> SegmentScan<'a> {
    /// Creates a scan from the first record. `chain` is the end of the chain before this segment.
    fn new(file: &'a mut dyn File, segment: u64, chain: ChainEnd, options: RingOptions) -> Self {
        let buffer = ReadAheadBuffer::new(file, options.segment_bytes);
        Self { buffer, segment, chain, offset: SEGMENT_HEADER_BYTES as u64 }
    }

    /// Reads records until the sequence number of the next one is `until`, or until the chain ends.
    fn run(&mut self, until: Option<u64>, assembly: &mut RecordAssembly<'_>) -> Result<(), StorageError> {
        while until != Some(self.chain.next_sequence) && self.read_record(assembly)? {}
        Ok(())
    }

    /// Reads the next record, or part of one, of the chain; returns false if there is none, if its length
    /// reaches beyond the segment or if its checksum is wrong. A wrong length or checksum means that the write
    /// was interrupted or that the bytes on the disk are damaged.
    fn read_record(&mut self, assembly: &mut RecordAssembly<'_>) -> Result<bool, StorageError> {
        let header = self.buffer.read_record_header(self.offset)?;
        let Some(header) = header.filter(|header| header.continues(self.chain)) else {
            return Ok(false);
        };
        let sequence = self.chain.next_sequence;
        let content_offset = self.offset + RECORD_HEADER_BYTES as u64;
        let content = self.buffer.read(content_offset, header.length as usize)?;
        let Some(content) = content.filter(|content| header.verifies(content)) else {
            log::warn!(sequence, bytes = header.length; "dropped a torn record");
            return Ok(false);
        };
        let length = u64::from(header.length);
        let extent = Extent { segment: self.segment, offset: content_offset, length };
        assembly.add(sequence, header.part, extent, content)?;
        self.offset = content_offset + length;
        self.chain = ChainEnd { next_sequence: sequence + 1, generation: header.generation };
        Ok(true)
    }
}
