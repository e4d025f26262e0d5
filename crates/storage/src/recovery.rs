//! Finds the records that survive.

use std::path::Path;

use crate::format::{ChainEnd, RecordHeader, SegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::ring::{segment_name, segment_path, RingOptions};
use crate::{File, FileSystem, Position, StorageError};

/// How much is read at once.
const READ_BYTES: usize = 32 * 1024;

/// What a start found.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// The records that survive, oldest first. Some of them may have been released.
    pub records: Vec<(Position, Vec<u8>)>,
    /// A random number, drawn when the ring was made; a lost disk gives another.
    pub incarnation: u64,
    /// Whether the ring was made by this start.
    pub fresh: bool,
}

/// Takes the records as they are read.
pub(crate) type Visitor<'a> = &'a mut dyn FnMut(Position, Vec<u8>);

/// Where the ring goes on.
pub(crate) struct RingEnd {
    pub incarnation: u64,
    /// The segments that hold records, oldest first: index and first sequence number.
    pub segments: Vec<(u64, u64)>,
    pub chain: ChainEnd,
    /// Offset in the newest segment.
    pub offset: u64,
    pub released: u64,
    pub file: Box<dyn File>,
}

/// Reads the ring; `None` if there is none.
pub(crate) fn recover(
    file_system: &dyn FileSystem,
    directory: &Path,
    options: RingOptions,
    visitor: Visitor<'_>,
) -> Result<Option<RingEnd>, StorageError> {
    let headers = read_headers(file_system, directory, options)?;
    let Some(newest) = headers.iter().flatten().max_by_key(|header| header.index).copied() else {
        return Ok(None);
    };
    check_options(&newest, options)?;
    let live = live_segments(&headers, &newest, options)?;
    let mut chain = live[0].chain;
    for pair in live.windows(2) {
        let mut file = open_segment(file_system, directory, options, pair[0].index)?;
        let until = Some(pair[1].chain.next_sequence);
        (chain, _) = scan(file.as_mut(), chain, until, options, visitor)?;
        if chain != pair[1].chain {
            return Err(StorageError::Corrupt { segment: pair[0].index });
        }
    }
    let mut file = open_segment(file_system, directory, options, newest.index)?;
    let (chain, offset) = scan(file.as_mut(), chain, None, options, visitor)?;
    // Records of a process that was killed may not be durable yet. Older segments were synced before this one.
    file.sync()?;
    let segments = live.iter().map(|header| (header.index, header.chain.next_sequence)).collect();
    let (incarnation, released) = (newest.incarnation, newest.released);
    Ok(Some(RingEnd { incarnation, segments, chain, offset, released, file }))
}

fn open_segment(
    file_system: &dyn FileSystem,
    directory: &Path,
    options: RingOptions,
    index: u64,
) -> Result<Box<dyn File>, StorageError> {
    Ok(file_system.open(&segment_path(directory, options, index))?)
}

fn check_options(header: &SegmentHeader, options: RingOptions) -> Result<(), StorageError> {
    let segments = u64::from(header.segments);
    if header.segment_bytes == options.segment_bytes && segments == options.segments as u64 {
        return Ok(());
    }
    Err(StorageError::OptionsChanged { segment_bytes: header.segment_bytes, segments })
}

/// The header of each file, where there is a valid one.
fn read_headers(
    file_system: &dyn FileSystem,
    directory: &Path,
    options: RingOptions,
) -> Result<Vec<Option<SegmentHeader>>, StorageError> {
    let names = file_system.list(directory)?;
    let mut headers = Vec::with_capacity(options.segments);
    for slot in 0..options.segments {
        let name = segment_name(slot);
        let header = if names.contains(&name) {
            read_header(file_system.open(&directory.join(name))?.as_mut())?
        } else {
            None
        };
        headers.push(header);
    }
    Ok(headers)
}

fn read_header(file: &mut dyn File) -> Result<Option<SegmentHeader>, StorageError> {
    let mut bytes = [0; SEGMENT_HEADER_BYTES];
    let count = file.read_at(0, &mut bytes)?;
    Ok((count == SEGMENT_HEADER_BYTES).then(|| SegmentHeader::decode(&bytes)).flatten())
}

/// The segments up to the newest that may hold records that were not released, oldest first.
///
/// Only the oldest place of the ring may be without a valid header: it was about to be used again.
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

/// Reads the records of a segment up to the sequence number `until`, or as far as they go.
fn scan(
    file: &mut dyn File,
    mut chain: ChainEnd,
    until: Option<u64>,
    options: RingOptions,
    visitor: Visitor<'_>,
) -> Result<(ChainEnd, u64), StorageError> {
    let mut window = Window { file, segment_bytes: options.segment_bytes, start: 0, bytes: Vec::new() };
    let mut offset = SEGMENT_HEADER_BYTES as u64;
    while until != Some(chain.next_sequence) {
        let Some(header) = window.read_record_header(offset)?.filter(|header| header.continues(chain)) else {
            break;
        };
        let content_offset = offset + RECORD_HEADER_BYTES as u64;
        let content = window.read(content_offset, header.length as usize)?;
        let Some(content) = content.filter(|content| header.verifies(content)) else {
            log::warn!("dropped a torn record: sequence={} bytes={}", chain.next_sequence, header.length);
            break;
        };
        visitor(Position(chain.next_sequence), content.to_vec());
        offset = content_offset + u64::from(header.length);
        chain = ChainEnd { next_sequence: chain.next_sequence + 1, generation: header.generation };
    }
    Ok((chain, offset))
}

/// A part of a file in memory.
struct Window<'a> {
    file: &'a mut dyn File,
    segment_bytes: u64,
    start: u64,
    bytes: Vec<u8>,
}

impl Window<'_> {
    fn read_record_header(&mut self, offset: u64) -> Result<Option<RecordHeader>, StorageError> {
        let bytes = self.read(offset, RECORD_HEADER_BYTES)?;
        let bytes = bytes.and_then(|bytes| bytes.first_chunk::<RECORD_HEADER_BYTES>());
        Ok(bytes.map(RecordHeader::decode))
    }

    /// The bytes from `offset` on, if there are so many. Offsets only go forward.
    fn read(&mut self, offset: u64, length: usize) -> Result<Option<&[u8]>, StorageError> {
        let end = offset + length as u64;
        if end > self.segment_bytes {
            return Ok(None);
        }
        if end > self.start + self.bytes.len() as u64 {
            self.discard_before(offset);
            self.fill(length)?;
        }
        let from = (offset - self.start) as usize;
        Ok(self.bytes.get(from..from + length))
    }

    fn discard_before(&mut self, offset: u64) {
        let passed = (offset - self.start) as usize;
        self.bytes.drain(..passed.min(self.bytes.len()));
        self.start = offset;
    }

    fn fill(&mut self, length: usize) -> Result<(), StorageError> {
        let held = self.bytes.len();
        let from = self.start + held as u64;
        let left = (self.segment_bytes - from) as usize;
        let wanted = length.saturating_sub(held).max(READ_BYTES).min(left);
        self.bytes.resize(held + wanted, 0);
        let count = self.file.read_at(from, &mut self.bytes[held..])?;
        self.bytes.truncate(held + count);
        Ok(())
    }
}
