//! Which records of a store are durable: what is queued, what was lost, and which part of the journal is still needed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use batch::{JobId, Record};
use tokio::sync::{mpsc, oneshot};

/// Records to be made durable as one.
pub(crate) struct WriteRequest {
    pub records: Vec<Record>,
    /// Notified when the records, and all that were queued before them, are durable. Dropped if that failed.
    pub done: oneshot::Sender<()>,
}

/// The newest epoch whose record is durable; owners of older epochs stay rejected after a restart. Ordered by epoch,
/// then position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct DurableEpoch {
    epoch: u64,
    /// Position of the record in the journal.
    position: u64,
}

/// The state of a store's records on the disk and in the write queue.
pub(crate) struct Durability {
    /// Number of queued writes by batch job; a batch job without any has no entry.
    pending_writes: BTreeMap<JobId, usize>,
    /// Batch jobs of which a record could not be written. The next write of each is a snapshot.
    records_lost: BTreeSet<JobId>,
    /// Position of the oldest record that is needed to recover a batch job.
    oldest_positions: BTreeMap<JobId, u64>,
    durable_epoch: DurableEpoch,
    write_queue: mpsc::UnboundedSender<WriteRequest>,
}

impl Durability {
    pub fn new(write_queue: mpsc::UnboundedSender<WriteRequest>) -> Self {
        Self {
            pending_writes: BTreeMap::new(),
            records_lost: BTreeSet::new(),
            oldest_positions: BTreeMap::new(),
            durable_epoch: DurableEpoch::default(),
            write_queue,
        }
    }

    /// The newest epoch whose record is durable.
    pub fn epoch(&self) -> u64 {
        self.durable_epoch.epoch
    }

    /// Queues records. The receiver is notified when they, and all that were queued before, are durable.
    pub fn persist(&mut self, records: Vec<Record>) -> oneshot::Receiver<()> {
        for job in records.iter().filter_map(Record::job) {
            *self.pending_writes.entry(Arc::clone(job)).or_default() += 1;
        }
        let (done, durable) = oneshot::channel();
        // The writer stops only when the process exits; then nothing is acknowledged.
        let _ = self.write_queue.send(WriteRequest { records, done });
        durable
    }

    /// Queued records are durable; `position` is theirs in the journal, `None` if there was nothing to write.
    pub fn on_durable(&mut self, records: &[Record], position: Option<u64>) {
        self.remove_pending(records);
        if let Some(position) = position {
            self.record_positions(records, position);
        }
    }

    /// Queued records could not be written.
    pub fn on_lost(&mut self, records: &[Record]) {
        self.remove_pending(records);
        let jobs = records.iter().filter_map(|record| record.job().cloned());
        self.records_lost.extend(jobs);
    }

    fn remove_pending(&mut self, records: &[Record]) {
        for job in records.iter().filter_map(Record::job) {
            if let Some(count) = self.pending_writes.get_mut(job) {
                *count -= 1;
                if *count == 0 {
                    self.pending_writes.remove(job);
                }
            }
        }
    }

    /// Updates the position of the oldest record that each batch job needs, after `records` became durable at
    /// `position`.
    pub fn record_positions(&mut self, records: &[Record], position: u64) {
        for record in records {
            match record {
                Record::Epoch(epoch) => {
                    let written = DurableEpoch { epoch: *epoch, position };
                    self.durable_epoch = self.durable_epoch.max(written);
                }
                Record::Delete { job } => drop(self.oldest_positions.remove(job)),
                Record::Snapshot { job, .. } => {
                    self.oldest_positions.insert(Arc::clone(job), position);
                }
                Record::Promise { job, .. } | Record::Append { job, .. } => {
                    self.oldest_positions.entry(Arc::clone(job)).or_insert(position);
                }
            }
        }
    }

    pub fn has_pending_writes(&self, job: &str) -> bool {
        self.pending_writes.contains_key(job)
    }

    /// Whether the disk has all records of a batch job.
    pub fn is_durable(&self, job: &str) -> bool {
        !self.has_pending_writes(job) && !self.records_lost.contains(job)
    }

    /// Whether a record of a batch job was lost since the last call. The caller must write a snapshot if so.
    pub fn take_records_lost(&mut self, job: &str) -> bool {
        self.records_lost.remove(job)
    }

    /// The batch jobs with the oldest records, oldest first, at most `limit`.
    pub fn jobs_with_oldest_records(&self, limit: usize) -> Vec<JobId> {
        let mut jobs: Vec<(u64, &JobId)> =
            self.oldest_positions.iter().map(|(job, position)| (*position, job)).collect();
        jobs.sort_unstable();
        jobs.into_iter().take(limit).map(|(_, job)| Arc::clone(job)).collect()
    }

    /// The position of the oldest record that is still needed.
    pub fn oldest_needed_position(&self) -> u64 {
        let oldest_of_jobs = self.oldest_positions.values().copied().min().unwrap_or(u64::MAX);
        oldest_of_jobs.min(self.durable_epoch.position)
    }
}
