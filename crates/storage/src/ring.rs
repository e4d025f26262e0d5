//! [`Ring`] appends records to a ring of files. It calls the disk itself, one call after the other, without threads.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::Arc;

use crate::format::{append_record, ChainEnd, RECORD_HEADER_BYTES, SEGMENT_HEADER_BYTES};
use crate::layout::{Position, RingDirectory, RingOptions};
use crate::recovery::{recover, LiveSegment, RecordVisitor, RingState};
use crate::{File, FileSystem, StorageError};

/// A buffer that is larger than this is shrunk before the next append.
const MAX_RETAINED_BUFFER_BYTES: usize = 256 * 1024;
/// The sequence number of the first record.
const FIRST_SEQUENCE: u64 = 1;

/// The position of a record, once it is durable.
pub(crate) type AppendOutcome = Result<Position, StorageError>;

/// How full a ring is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RingUsage {
    /// Bytes of the segments that can't be reused yet.
    pub used_bytes: u64,
    /// Bytes of all segments.
    pub capacity_bytes: u64,
}

/// Which ring was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingIdentity {
    /// A random number, drawn when the ring was created.
    pub incarnation: u64,
    /// Whether the ring was created when it was opened.
    pub is_new: bool,
}

/// A ring of files. Its calls block on the disk; [`Journal`](crate::Journal) runs them on a thread.
pub struct Ring {
    directory: RingDirectory,
    incarnation: u64,
    /// Oldest first.
    segments: VecDeque<LiveSegment>,
    tail: Tail,
    /// Where the durable records end.
    chain: ChainEnd,
    /// Drawn again at each start and after each failure, so that what a failed write left behind is never read as a
    /// successor of what is written over it.
    generation: u64,
    released: Position,
    staged: StagedRecords,
}

/// The newest segment.
struct Tail {
    file: Box<dyn File>,
    /// Offset of the next record.
    offset: u64,
    /// The next segment may have been begun on the disk: nothing may be added to this one.
    is_sealed: bool,
}

impl Tail {
    /// A segment that holds no records yet.
    fn empty(file: Box<dyn File>) -> Self {
        Self { file, offset: SEGMENT_HEADER_BYTES as u64, is_sealed: false }
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        self.file.write_at(self.offset, bytes)?;
        self.file.sync()?;
        self.offset += bytes.len() as u64;
        Ok(())
    }
}

/// Records that are about to be written together.
struct StagedRecords {
    bytes: Vec<u8>,
    count: usize,
    /// Where the chain ends after them.
    chain: ChainEnd,
}

impl StagedRecords {
    fn new(chain: ChainEnd) -> Self {
        Self { bytes: Vec::new(), count: 0, chain }
    }

    fn push(&mut self, generation: u64, record: &[u8]) {
        self.chain = append_record(&mut self.bytes, self.chain, generation, record);
        self.count += 1;
    }

    fn clear(&mut self, chain: ChainEnd) {
        self.chain = chain;
        self.count = 0;
        self.bytes.clear();
        self.bytes.shrink_to(MAX_RETAINED_BUFFER_BYTES);
    }
}

/// Progress of one call of [`Ring::append`].
struct AppendBatch {
    /// Of the records so far, in their order.
    outcomes: Vec<AppendOutcome>,
    /// A failure of the disk, after which no further record is written.
    failure: Option<StorageError>,
}

impl AppendBatch {
    fn with_capacity(records: usize) -> Self {
        Self { outcomes: Vec::with_capacity(records), failure: None }
    }

    /// Turns the last `count` successes, which were staged but not written, into failures.
    fn fail_staged(&mut self, count: usize, error: &StorageError) {
        let staged = self.outcomes.iter_mut().rev().filter(|outcome| outcome.is_ok()).take(count);
        for outcome in staged {
            *outcome = Err(error.clone());
        }
    }
}

impl Ring {
    /// Opens or creates a ring; hands its records to `visitor`, oldest first.
    ///
    /// # Errors
    ///
    /// If the options can't be used or differ from those of the ring, if records are missing that were durable, or if
    /// the disk fails.
    pub fn open(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
        visitor: RecordVisitor<'_>,
    ) -> Result<(Self, RingIdentity), StorageError> {
        let directory = RingDirectory::create(file_system, directory, options)?;
        let recovered = recover(&directory, visitor)?;
        let is_new = recovered.is_none();
        let state = match recovered {
            Some(state) => state,
            None => create(&directory)?,
        };
        directory.sync()?;
        let identity = RingIdentity { incarnation: state.incarnation, is_new };
        Ok((Self::from_state(directory, state), identity))
    }

    fn from_state(directory: RingDirectory, state: RingState) -> Self {
        let mut ring = Self {
            generation: directory.random(),
            directory,
            incarnation: state.incarnation,
            segments: state.segments.into(),
            tail: Tail { file: state.file, offset: state.offset, is_sealed: false },
            chain: state.chain,
            released: Position(0),
            staged: StagedRecords::new(state.chain),
        };
        ring.release(Position(state.released));
        ring
    }

    /// Appends records and makes them durable; returns the outcome of each, in their order. After a failure of the
    /// disk, the remaining records fail too.
    pub fn append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Vec<Result<Position, StorageError>> {
        let mut batch = AppendBatch::with_capacity(records.len());
        for record in records {
            let outcome = match &batch.failure {
                Some(error) => Err(error.clone()),
                None => self.stage(record.as_ref(), &mut batch),
            };
            batch.outcomes.push(outcome);
        }
        // A failure is reported by the outcomes.
        let _ = self.flush(&mut batch);
        batch.outcomes
    }

    /// Declares that the records before `position` are no longer needed.
    pub fn release(&mut self, position: Position) {
        self.released = self.released.max(position);
        while self.segments.get(1).is_some_and(|second| second.first_sequence <= self.released.0) {
            self.segments.pop_front();
        }
    }

    /// How full the ring is.
    pub fn usage(&self) -> RingUsage {
        let options = self.directory.options();
        let full_segments = self.segments.len().saturating_sub(1) as u64;
        RingUsage {
            used_bytes: full_segments * options.segment_bytes + self.tail.offset,
            capacity_bytes: options.segments as u64 * options.segment_bytes,
        }
    }

    /// Stages a record; what was staged before is written first if they don't fit into one segment.
    fn stage(&mut self, record: &[u8], batch: &mut AppendBatch) -> AppendOutcome {
        let limit = self.directory.options().max_record_bytes();
        if record.len() > limit {
            return Err(StorageError::RecordTooLarge { length: record.len(), limit });
        }
        if !self.record_fits(record.len()) {
            let begun = self.flush(batch).and_then(|()| self.begin_segment());
            begun.inspect_err(|error| batch.failure = Some(error.clone()))?;
        }
        let position = Position(self.staged.chain.next_sequence);
        self.staged.push(self.generation, record);
        Ok(position)
    }

    fn record_fits(&self, length: usize) -> bool {
        let end = self.tail.offset + (self.staged.bytes.len() + RECORD_HEADER_BYTES + length) as u64;
        !self.tail.is_sealed && end <= self.directory.options().segment_bytes
    }

    /// Writes what is staged; on failure, the outcomes of the staged records become failures.
    fn flush(&mut self, batch: &mut AppendBatch) -> Result<(), StorageError> {
        if self.staged.count == 0 {
            return Ok(());
        }
        let written = self.tail.write(&self.staged.bytes);
        match &written {
            Ok(()) => self.chain = self.staged.chain,
            Err(error) => {
                self.generation = self.directory.random();
                batch.fail_staged(self.staged.count, error);
            }
        }
        self.staged.clear(self.chain);
        written
    }

    /// Goes on to the next file. Its header is durable before a record is written to it, and so are all records
    /// before it.
    fn begin_segment(&mut self) -> Result<(), StorageError> {
        if self.segments.len() >= self.directory.options().segments {
            return Err(StorageError::RingFull);
        }
        self.tail.is_sealed = true;
        let index = self.segments.back().map_or(0, |newest| newest.index + 1);
        let header = self.directory.header(self.incarnation, index, self.chain, self.released.0);
        let file = self.directory.begin_segment(&header)?;
        self.segments.push_back(LiveSegment { index, first_sequence: self.chain.next_sequence });
        self.tail = Tail::empty(file);
        self.release(self.released);
        Ok(())
    }
}

/// Creates the first segment of a new ring.
fn create(directory: &RingDirectory) -> Result<RingState, StorageError> {
    let chain = ChainEnd { next_sequence: FIRST_SEQUENCE, generation: 0 };
    let header = directory.header(directory.random(), 0, chain, 0);
    let file = directory.begin_segment(&header)?;
    Ok(RingState {
        incarnation: header.incarnation,
        segments: vec![LiveSegment { index: header.index, first_sequence: FIRST_SEQUENCE }],
        chain,
        offset: SEGMENT_HEADER_BYTES as u64,
        released: header.released,
        file,
    })
}
