//! Tracks which records of a store are durable, which are queued, which could not be written, and which part
//! of the journal is still needed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use batch::{Entry, JobId, LogEntry, Record};
use storage::{RecordLocation, RecordSource};
use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::{mpsc, oneshot};

use super::super::record_layout::RecordLayout;
use super::entry_cache::EntryCache;

/// Records that are written to the journal as one record, so that either all of them are durable or none.
pub(crate) struct WriteRequest {
    pub records: Arc<Vec<Record>>,
    /// Whether the records are snapshots of a compaction, which frees more space than it takes.
    pub is_compaction: bool,
    /// Sender that is notified when these records and all records queued before them are durable. Dropped if
    /// a write failed.
    pub done: oneshot::Sender<()>,
}

/// The newest epoch whose record is durable, so that owners of older epochs are still rejected after a
/// restart. Ordered by epoch, then by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct DurableEpoch {
    epoch: u64,
    /// Position of the record in the journal.
    position: u64,
}

/// Which part of the journal is needed to recover the batch jobs.
#[derive(Default)]
pub(crate) struct DurablePositions {
    /// Position of the oldest record that is needed to recover each batch job.
    oldest: BTreeMap<JobId, u64>,
    epoch: DurableEpoch,
}

impl DurablePositions {
    /// Updates the oldest needed positions and the epoch after `records` became durable at `position`.
    pub fn record(&mut self, records: &[Record], position: u64) {
        for record in records {
            match record {
                Record::Epoch(epoch) => {
                    let written = DurableEpoch { epoch: *epoch, position };
                    self.epoch = self.epoch.max(written);
                }
                Record::Delete { job } => drop(self.oldest.remove(job)),
                Record::Snapshot { job, .. } => {
                    self.oldest.insert(Arc::clone(job), position);
                }
                Record::Promise { job, .. } | Record::Append { job, .. } => {
                    self.oldest.entry(Arc::clone(job)).or_insert(position);
                }
            }
        }
    }
}

/// The state of a store's records on the disk and in the write queue.
pub(crate) struct Durability {
    /// Number of queued records by batch job; batch jobs without queued records have no entry.
    pending_writes: BTreeMap<JobId, usize>,
    /// Size of the entries of queued appends, which are in memory until they are durable.
    pending_append_bytes: usize,
    /// Batch jobs of which a record could not be written. The next write for each of them is a snapshot.
    failed_writes: BTreeSet<JobId>,
    positions: DurablePositions,
    /// Source from which the entries of durable records are read again.
    source: Arc<dyn RecordSource>,
    /// The durable entries whose contents are in memory as well.
    cache: EntryCache,
    /// Receiver that is notified when the snapshots of the present round of compaction are durable; `None` if there
    /// is no round.
    compaction: Option<oneshot::Receiver<()>>,
    write_queue: mpsc::UnboundedSender<WriteRequest>,
}

impl Durability {
    /// Creates the state after a recovery. `cache_bytes` bounds the durable entries in memory.
    pub fn new(
        positions: DurablePositions,
        source: Arc<dyn RecordSource>,
        cache_bytes: usize,
        write_queue: mpsc::UnboundedSender<WriteRequest>,
    ) -> Self {
        Self {
            pending_writes: BTreeMap::new(),
            pending_append_bytes: 0,
            failed_writes: BTreeSet::new(),
            positions,
            source,
            cache: EntryCache::new(cache_bytes),
            compaction: None,
            write_queue,
        }
    }

    /// Returns the newest epoch whose record is durable; 0 if there is none.
    pub fn epoch(&self) -> u64 {
        self.positions.epoch.epoch
    }

    /// Queues records. The receiver is notified when these and all records queued before them are durable; it
    /// is closed if a write failed.
    pub fn persist(&mut self, records: Vec<Record>) -> oneshot::Receiver<()> {
        self.queue(records, false)
    }

    /// Queues the snapshots of a round of compaction, which may take the space that is reserved for it.
    pub fn persist_compacted(&mut self, records: Vec<Record>) -> oneshot::Receiver<()> {
        self.queue(records, true)
    }

    fn queue(&mut self, records: Vec<Record>, is_compaction: bool) -> oneshot::Receiver<()> {
        for job in records.iter().filter_map(Record::job) {
            *self.pending_writes.entry(Arc::clone(job)).or_default() += 1;
        }
        self.pending_append_bytes += append_bytes(&records);
        let (done, durable) = oneshot::channel();
        // Sending fails if the writer was dropped, which happens only when the process exits. The receiver is
        // closed then, so nothing is acknowledged.
        let _ = self.write_queue.send(WriteRequest { records: Arc::new(records), is_compaction, done });
        durable
    }

    /// Marks queued records as durable. `layout` contains where their entries stand in the journal record at
    /// `location`; the location is `None` if there were no records to write.
    pub fn on_durable(&mut self, records: &[Record], layout: RecordLayout, location: Option<RecordLocation>) {
        self.remove_pending(records);
        let Some(location) = location else { return };
        self.positions.record(records, location.position.0);
        for placed in layout.entries {
            if placed.set_stored(&self.source, &location) {
                self.cache.insert(placed.entry);
            }
        }
    }

    /// Keeps the content of a durable entry in memory that was loaded from the disk, as long as the cache has space.
    pub fn cache_loaded(&mut self, entry: LogEntry, content: Arc<Entry>) {
        if entry.keep_loaded(content) {
            self.cache.insert(entry);
        }
    }

    /// Marks the write of queued records as failed. The next write of each affected batch job must be a
    /// snapshot.
    pub fn on_write_failed(&mut self, records: &[Record]) {
        self.remove_pending(records);
        let jobs = records.iter().filter_map(|record| record.job().cloned());
        self.failed_writes.extend(jobs);
    }

    fn remove_pending(&mut self, records: &[Record]) {
        self.pending_append_bytes -= append_bytes(records);
        for job in records.iter().filter_map(Record::job) {
            if let Some(count) = self.pending_writes.get_mut(job) {
                *count -= 1;
                if *count == 0 {
                    self.pending_writes.remove(job);
                }
            }
        }
    }

    /// Returns the size of the entries that are in memory until they are durable, in bytes.
    pub fn pending_append_bytes(&self) -> usize {
        self.pending_append_bytes
    }

    /// Returns whether records of a batch job are queued.
    pub fn has_pending_writes(&self, job: &str) -> bool {
        self.pending_writes.contains_key(job)
    }

    /// Returns whether all records of a batch job are durable.
    pub fn is_durable(&self, job: &str) -> bool {
        !self.has_pending_writes(job) && !self.failed_writes.contains(job)
    }

    /// Returns whether a record of a batch job could not be written since the last call. If so, the caller
    /// must write a snapshot.
    pub fn take_failed_write(&mut self, job: &str) -> bool {
        self.failed_writes.remove(job)
    }

    /// Whether snapshots of the last round of compaction are neither durable nor have failed.
    pub fn is_compacting(&self) -> bool {
        self.compaction.is_some()
    }

    /// Ends the round of compaction once its snapshots are durable or have failed. Returns whether they have
    /// become durable.
    pub fn end_compaction(&mut self) -> bool {
        let outcome = self.compaction.as_mut().map(oneshot::Receiver::try_recv);
        if outcome != Some(Err(TryRecvError::Empty)) {
            self.compaction = None;
        }
        outcome == Some(Ok(()))
    }

    /// Records that a round of compaction has queued its snapshots. `durable` is notified when they are durable.
    pub fn set_compacting(&mut self, durable: oneshot::Receiver<()>) {
        self.compaction = Some(durable);
    }

    /// Returns the batch jobs by their oldest needed records, oldest first.
    pub fn jobs_by_oldest_record(&self) -> Vec<JobId> {
        let mut jobs: Vec<(u64, &JobId)> =
            self.positions.oldest.iter().map(|(job, position)| (*position, job)).collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, job)| Arc::clone(job)).collect()
    }

    /// Returns the position of the oldest record that is still needed; all records before it can be released.
    /// It is 0 while no epoch record is durable.
    pub fn oldest_needed_position(&self) -> u64 {
        let oldest_of_jobs = self.positions.oldest.values().copied().min().unwrap_or(u64::MAX);
        oldest_of_jobs.min(self.positions.epoch.position)
    }
}

/// Returns the size of the entries that `records` append, in bytes.
fn append_bytes(records: &[Record]) -> usize {
    let appends = records.iter().filter(|record| matches!(record, Record::Append { .. }));
    appends.map(Record::size_bytes).sum()
}
