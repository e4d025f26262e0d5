//! The ring itself: calls of the disk one after the other, without threads.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::format::{append_record, ChainEnd, SegmentHeader, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::recovery::{recover, RingEnd, Visitor};
use crate::{File, FileSystem, StorageError};

/// A buffer that is larger than this is not kept for the next append.
const KEPT_BUFFER_BYTES: usize = 256 * 1024;
/// The first record has this sequence number.
const FIRST_SEQUENCE: u64 = 1;

/// The shape of a ring. It can't be changed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingOptions {
    /// The size of each file. A record must fit into one.
    pub segment_bytes: u64,
    /// The number of files, two at least. They are made when they are first needed.
    pub segments: usize,
}

impl RingOptions {
    /// The longest record that fits.
    pub fn record_limit(&self) -> usize {
        (self.segment_bytes as usize).saturating_sub(SEGMENT_HEADER_BYTES + RECORD_HEADER_BYTES)
    }

    fn check(&self) -> Result<(), StorageError> {
        let is_usable = self.segments >= 2
            && self.record_limit() > 0
            && u32::try_from(self.segments).is_ok()
            && u32::try_from(self.segment_bytes).is_ok();
        is_usable.then_some(()).ok_or(StorageError::InvalidOptions)
    }
}

/// The place of a record; later records have greater ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position(pub u64);

/// How full a ring is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes of the segments that can't be used again yet.
    pub used_bytes: u64,
    /// Bytes of all segments.
    pub capacity_bytes: u64,
}

/// What a start of a ring tells besides its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingIdentity {
    /// A random number, drawn when the ring was made.
    pub incarnation: u64,
    /// Whether the ring was made by this start.
    pub fresh: bool,
}

/// A ring of files. Its calls wait for the disk; [`Journal`](crate::Journal) runs them on a thread.
pub struct Ring {
    file_system: Arc<dyn FileSystem>,
    directory: PathBuf,
    options: RingOptions,
    incarnation: u64,
    /// Oldest first.
    segments: VecDeque<LiveSegment>,
    tail: Tail,
    /// Where the durable records end.
    chain: ChainEnd,
    /// Drawn anew at each start and after each failure, so that what a failed write left is never read as a
    /// successor of what is written over it.
    generation: u64,
    released: Position,
    staged: Staged,
}

struct LiveSegment {
    index: u64,
    first_sequence: u64,
}

/// The newest segment.
struct Tail {
    file: Box<dyn File>,
    offset: u64,
    /// The next segment may have been begun on the disk: nothing may be added to this one.
    is_sealed: bool,
}

/// Records that are about to be written together.
struct Staged {
    bytes: Vec<u8>,
    count: usize,
    chain: ChainEnd,
}

impl Ring {
    /// Opens or makes a ring; hands its records to `visitor`, oldest first.
    pub fn open(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
        visitor: Visitor<'_>,
    ) -> Result<(Self, RingIdentity), StorageError> {
        options.check()?;
        file_system.create_directory(directory)?;
        let found = recover(file_system.as_ref(), directory, options, visitor)?;
        let fresh = found.is_none();
        let end = match found {
            Some(end) => end,
            None => create(file_system.as_ref(), directory, options)?,
        };
        file_system.sync_directory(directory)?;
        let identity = RingIdentity { incarnation: end.incarnation, fresh };
        Ok((Self::at(file_system, directory, options, end), identity))
    }

    fn at(file_system: Arc<dyn FileSystem>, directory: &Path, options: RingOptions, end: RingEnd) -> Self {
        let segments = end.segments.into_iter();
        let mut ring = Self {
            generation: file_system.random(),
            file_system,
            directory: directory.to_owned(),
            options,
            incarnation: end.incarnation,
            segments: segments.map(|(index, first_sequence)| LiveSegment { index, first_sequence }).collect(),
            tail: Tail { file: end.file, offset: end.offset, is_sealed: false },
            chain: end.chain,
            released: Position(0),
            staged: Staged { bytes: Vec::new(), count: 0, chain: end.chain },
        };
        ring.release(Position(end.released));
        ring
    }

    /// Appends records and makes them durable; tells the outcome of each, in their order. After a failure of the
    /// disk, the rest of the records fails too.
    pub fn append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Vec<Result<Position, StorageError>> {
        let mut outcomes = Vec::with_capacity(records.len());
        let mut failure = None;
        for record in records {
            let outcome = match &failure {
                Some(error) => Err(StorageError::clone(error)),
                None => self.stage(record.as_ref(), &mut outcomes, &mut failure),
            };
            outcomes.push(outcome);
        }
        // A failure is told through the outcomes.
        let _ = self.flush(&mut outcomes);
        outcomes
    }

    /// Tells that the records before `position` are no longer needed.
    pub fn release(&mut self, position: Position) {
        self.released = self.released.max(position);
        while self.segments.get(1).is_some_and(|second| second.first_sequence <= self.released.0) {
            self.segments.pop_front();
        }
    }

    /// How full the ring is.
    pub fn usage(&self) -> Usage {
        let segment_bytes = self.options.segment_bytes;
        let full = self.segments.len().saturating_sub(1) as u64;
        Usage {
            used_bytes: full * segment_bytes + self.tail.offset,
            capacity_bytes: self.options.segments as u64 * segment_bytes,
        }
    }

    fn stage(
        &mut self,
        record: &[u8],
        outcomes: &mut [Result<Position, StorageError>],
        failure: &mut Option<StorageError>,
    ) -> Result<Position, StorageError> {
        let limit = self.options.record_limit();
        if record.len() > limit {
            return Err(StorageError::RecordTooLarge { length: record.len(), limit });
        }
        if !self.has_room(record.len()) {
            let begun = self.flush(outcomes).and_then(|()| self.begin_segment());
            begun.inspect_err(|error| *failure = Some(error.clone()))?;
        }
        let position = Position(self.staged.chain.next_sequence);
        let staged = &mut self.staged;
        staged.chain = append_record(&mut staged.bytes, staged.chain, self.generation, record);
        staged.count += 1;
        Ok(position)
    }

    fn has_room(&self, length: usize) -> bool {
        let end = self.tail.offset + (self.staged.bytes.len() + RECORD_HEADER_BYTES + length) as u64;
        !self.tail.is_sealed && end <= self.options.segment_bytes
    }

    /// Writes what is staged; on failure, the last `staged.count` outcomes become failures.
    fn flush(&mut self, outcomes: &mut [Result<Position, StorageError>]) -> Result<(), StorageError> {
        if self.staged.count == 0 {
            return Ok(());
        }
        let written = self.write_staged();
        match &written {
            Ok(()) => {
                self.tail.offset += self.staged.bytes.len() as u64;
                self.chain = self.staged.chain;
            }
            Err(error) => {
                self.generation = self.file_system.random();
                fail_last(outcomes, self.staged.count, error);
            }
        }
        self.clear_staged();
        written
    }

    fn write_staged(&mut self) -> Result<(), StorageError> {
        self.tail.file.write_at(self.tail.offset, &self.staged.bytes)?;
        self.tail.file.sync()?;
        Ok(())
    }

    fn clear_staged(&mut self) {
        self.staged.chain = self.chain;
        self.staged.count = 0;
        self.staged.bytes.clear();
        self.staged.bytes.shrink_to(KEPT_BUFFER_BYTES);
    }

    /// Goes on to the next file. Its header is durable before a record is written to it, and so are all records
    /// before it.
    fn begin_segment(&mut self) -> Result<(), StorageError> {
        if self.segments.len() >= self.options.segments {
            return Err(StorageError::RingFull);
        }
        self.tail.is_sealed = true;
        let header = SegmentHeader {
            incarnation: self.incarnation,
            index: self.segments.back().map_or(0, |newest| newest.index + 1),
            chain: self.chain,
            released: self.released.0,
            segment_bytes: self.options.segment_bytes,
            segments: self.options.segments as u32,
        };
        let file = write_header(self.file_system.as_ref(), &self.directory, self.options, &header)?;
        self.segments
            .push_back(LiveSegment { index: header.index, first_sequence: self.chain.next_sequence });
        self.tail = Tail { file, offset: SEGMENT_HEADER_BYTES as u64, is_sealed: false };
        self.release(self.released);
        Ok(())
    }
}

/// Makes the first segment of a new ring.
fn create(
    file_system: &dyn FileSystem,
    directory: &Path,
    options: RingOptions,
) -> Result<RingEnd, StorageError> {
    let chain = ChainEnd { next_sequence: FIRST_SEQUENCE, generation: 0 };
    let header = SegmentHeader {
        incarnation: file_system.random(),
        index: 0,
        chain,
        released: 0,
        segment_bytes: options.segment_bytes,
        segments: options.segments as u32,
    };
    let file = write_header(file_system, directory, options, &header)?;
    Ok(RingEnd {
        incarnation: header.incarnation,
        segments: vec![(header.index, FIRST_SEQUENCE)],
        chain,
        offset: SEGMENT_HEADER_BYTES as u64,
        released: 0,
        file,
    })
}

/// Makes the file of a segment if need be, and makes its header durable.
fn write_header(
    file_system: &dyn FileSystem,
    directory: &Path,
    options: RingOptions,
    header: &SegmentHeader,
) -> Result<Box<dyn File>, StorageError> {
    let mut file = file_system.open(&segment_path(directory, options, header.index))?;
    let is_new = file.length()? != options.segment_bytes;
    if is_new {
        file.set_length(options.segment_bytes)?;
    }
    file.write_at(0, &header.encode())?;
    file.sync()?;
    if is_new {
        file_system.sync_directory(directory)?;
    }
    Ok(file)
}

fn fail_last(outcomes: &mut [Result<Position, StorageError>], count: usize, error: &StorageError) {
    let staged = outcomes.iter_mut().rev().filter(|outcome| outcome.is_ok()).take(count);
    for outcome in staged {
        *outcome = Err(error.clone());
    }
}

pub(crate) fn segment_name(slot: usize) -> String {
    format!("ring-{slot:03}")
}

pub(crate) fn segment_path(directory: &Path, options: RingOptions, index: u64) -> PathBuf {
    directory.join(segment_name((index % options.segments as u64) as usize))
}
