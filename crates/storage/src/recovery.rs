//! Reads the records of a ring when it is opened.

use crate::format::{ChainEnd, SegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::layout::{RingDirectory, RingOptions};
use crate::read_ahead::ReadAheadBuffer;
use crate::{File, Position, StorageError};

/// Receives the records as they are read, oldest first.
pub(crate) type RecordVisitor<'a> = &'a mut dyn FnMut(Position, Vec<u8>);

/// A segment that holds records which may not be released yet.
#[derive(Clone, Copy)]
pub(crate) struct LiveSegment {
    pub index: u64,
    /// Sequence number of the first record.
    pub first_sequence: u64,
}

/// The state in which a ring is opened: where the next record goes.
pub(crate) struct RingState {
    pub incarnation: u64,
    /// Oldest first; never empty.
    pub segments: Vec<LiveSegment>,
    pub chain: ChainEnd,
    /// Offset of the next record in the newest segment.
    pub offset: u64,
    /// Records below this sequence number are released.
    pub released: u64,
    /// The newest segment.
    pub file: Box<dyn File>,
}

/// Reads the ring in a folder; `None` if there is none.
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
    let mut chain = live[0].chain;
    for pair in live.windows(2) {
        let mut file = directory.open_segment(pair[0].index)?;
        let mut scan = SegmentScan::new(file.as_mut(), chain, options);
        scan.run(Some(pair[1].chain.next_sequence), visitor)?;
        chain = scan.chain;
        if chain != pair[1].chain {
            return Err(StorageError::Corrupt { segment: pair[0].index });
        }
    }
    let mut file = directory.open_segment(newest.index)?;
    let mut scan = SegmentScan::new(file.as_mut(), chain, options);
    scan.run(None, visitor)?;
    let (chain, offset) = (scan.chain, scan.offset);
    // Records of a process that was killed may not be durable yet. Older segments were synced before this one.
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

/// The segments up to the newest that may contain records that were not released, oldest first.
///
/// Only the file that is used next may be without a valid header: it was about to be overwritten.
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

/// A scan of the records of one segment.
struct SegmentScan<'a> {
    buffer: ReadAheadBuffer<'a>,
    /// Where the chain ends after the records that were read.
    chain: ChainEnd,
    /// Offset behind the records that were read.
    offset: u64,
}

impl<'a> SegmentScan<'a> {
    /// `chain` is where the chain of records ends before this segment.
    fn new(file: &'a mut dyn File, chain: ChainEnd, options: RingOptions) -> Self {
        let buffer = ReadAheadBuffer::new(file, options.segment_bytes);
        Self { buffer, chain, offset: SEGMENT_HEADER_BYTES as u64 }
    }

    /// Reads records up to the sequence number `until`, or as far as the chain goes.
    fn run(&mut self, until: Option<u64>, visitor: RecordVisitor<'_>) -> Result<(), StorageError> {
        while until != Some(self.chain.next_sequence) && self.read_record(visitor)? {}
        Ok(())
    }

    /// Reads the next record of the chain; false if there is none, or if its checksum is wrong: then its write was not
    /// complete when the process ended, or the disk has damaged it.
    fn read_record(&mut self, visitor: RecordVisitor<'_>) -> Result<bool, StorageError> {
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
        visitor(Position(sequence), content.to_vec());
        self.offset = content_offset + u64::from(header.length);
        self.chain = ChainEnd { next_sequence: sequence + 1, generation: header.generation };
        Ok(true)
    }
}
