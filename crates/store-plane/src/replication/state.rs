//! What a store keeps in memory of the batch jobs, and the order in which it becomes durable.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use batch::{
    Entry, ItemResult, Job, JobId, Ownership, OwnershipTerm, Record, ReplicaReply, ReplicaRequest, Replicas,
    StoreId, SubmittedJob,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::owned::JobState;
use super::writer::WriteRequest;

/// A batch job that this store owns or claims.
pub(super) struct Owned {
    /// Distinguishes this ownership from earlier ones of this process; kept over changes of the store set.
    pub token: u64,
    pub ownership: Ownership,
    pub since: Instant,
    /// The parsed batch job, once its log was adopted.
    pub job: Option<Arc<Job>>,
    pub state: watch::Sender<JobState>,
    /// Told of each change of the ownership.
    pub progress: Arc<watch::Sender<()>>,
}

/// All that changes.
pub(super) struct State {
    pub replica: Replicas,
    /// The process is about to end: it owns nothing any more.
    pub is_leaving: bool,
    pub owned: BTreeMap<JobId, Owned>,
    /// When another owner of a batch job was last heard of.
    pub heard: BTreeMap<JobId, Instant>,
    /// Since when a batch job is known to this process, put back by what other stores told.
    pub first_seen: BTreeMap<JobId, Instant>,
    /// Epoch under which the owner of a batch job has committed its log.
    pub settled: BTreeMap<JobId, u64>,
    /// The highest term that a claim was rejected for.
    pub rejected: BTreeMap<JobId, OwnershipTerm>,
    /// Batch jobs of which a record was lost: they are written whole the next time.
    pub tainted: BTreeSet<JobId>,
    /// Writes on their way to the disk, by batch job.
    pub undurable: BTreeMap<JobId, usize>,
    /// Position of the oldest record that a batch job needs.
    pub oldest: BTreeMap<JobId, u64>,
    /// Stores that did not answer the last time.
    pub unreachable: BTreeSet<StoreId>,
    /// Stores that a heartbeat is on its way to.
    pub beating: BTreeSet<StoreId>,
    /// The epoch that is durably refused to fall below, and the position of its record.
    pub epoch: (u64, u64),
    pub next_token: u64,
    writer: mpsc::UnboundedSender<WriteRequest>,
}

impl State {
    pub fn recover(
        recovered: impl IntoIterator<Item = (u64, Vec<u8>)>,
        writer: mpsc::UnboundedSender<WriteRequest>,
    ) -> Self {
        let mut state = Self {
            replica: Replicas::default(),
            is_leaving: false,
            owned: BTreeMap::new(),
            heard: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            settled: BTreeMap::new(),
            rejected: BTreeMap::new(),
            tainted: BTreeSet::new(),
            undurable: BTreeMap::new(),
            oldest: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            beating: BTreeSet::new(),
            epoch: (0, 0),
            next_token: 0,
            writer,
        };
        let mut all = Vec::new();
        for (position, bytes) in recovered {
            let Ok(records) = rpc::decode::<Vec<Record>>(&bytes) else {
                log::error!("batch jobs: a record of the journal cannot be read");
                continue;
            };
            state.note_positions(&records, position);
            all.extend(records);
        }
        state.replica = Replicas::recover(all);
        state
    }

    /// Keeps note of the oldest record that each batch job needs.
    pub fn note_positions(&mut self, records: &[Record], position: u64) {
        for record in records {
            match record {
                Record::Epoch(epoch) => self.epoch = self.epoch.max((*epoch, position)),
                Record::Delete { job } => drop(self.oldest.remove(job)),
                Record::Snapshot { job, .. } => drop(self.oldest.insert(Arc::clone(job), position)),
                Record::Promise { job, .. } | Record::Append { job, .. } => {
                    self.oldest.entry(Arc::clone(job)).or_insert(position);
                }
            }
        }
    }

    /// Queues records; ready when they, and all before them, are durable.
    pub fn persist(&mut self, records: Vec<Record>) -> oneshot::Receiver<()> {
        for job in records.iter().filter_map(Record::job) {
            *self.undurable.entry(Arc::clone(job)).or_default() += 1;
        }
        let (done, durable) = oneshot::channel();
        // The receiver is only gone when the process ends; then nothing is acknowledged.
        let _ = self.writer.send(WriteRequest { records, done });
        durable
    }

    pub fn settle_write(&mut self, records: &[Record]) {
        for job in records.iter().filter_map(Record::job) {
            if let Some(count) = self.undurable.get_mut(job) {
                *count -= 1;
                if *count == 0 {
                    self.undurable.remove(job);
                }
            }
        }
    }

    /// Carries out a request of an owner.
    pub fn handle(
        &mut self,
        job: &JobId,
        request: ReplicaRequest,
        now: Instant,
    ) -> (ReplicaReply, Option<oneshot::Receiver<()>>) {
        if request != ReplicaRequest::Query {
            self.first_seen.entry(Arc::clone(job)).or_insert(now);
        }
        let (reply, mut records) = self.replica.handle(job, request);
        if self.tainted.remove(job) {
            // The reply may rest on a record that was lost.
            records = vec![Record::Epoch(self.replica.epoch()), self.replica.snapshot(job)];
        }
        let must_wait = !records.is_empty() || self.undurable.contains_key(job);
        let durable = must_wait.then(|| self.persist(records));
        (reply, durable)
    }
}

impl State {
    /// What is held of each batch job and who owns it, one line each.
    pub fn describe(&self) -> String {
        let logs = self.replica.logs().map(|(job, log)| {
            let owned = self.owned.get(job).map(|owned| (owned.ownership.phase(), owned.ownership.term()));
            let (promised, accepted) = (log.promised, log.accepted);
            let settled = self.settled.get(job);
            let held = log.entries.len();
            format!("{job}: {held} entries, promised {promised:?}, accepted {accepted:?}, settled {settled:?}, {owned:?}")
        });
        logs.collect::<Vec<_>>().join("\n")
    }

    /// Gives up an ownership.
    pub fn depose(&mut self, job: &JobId) {
        if let Some(owned) = self.owned.remove(job) {
            owned.state.send_replace(JobState::OwnershipLost);
            owned.progress.send_replace(());
        }
    }
}

impl Owned {
    /// Adds those entries that the log lacks, if entries may be added.
    pub fn append_missing(&mut self, entries: &[Arc<Entry>]) {
        if !self.ownership.is_established() {
            return;
        }
        for entry in entries {
            if !contains(self.ownership.log(), entry) {
                self.ownership.append([Arc::clone(entry)]);
            }
        }
    }
}

/// The results among entries.
pub(super) fn results(entries: &[Arc<Entry>]) -> impl Iterator<Item = &ItemResult> {
    entries.iter().filter_map(|entry| match &**entry {
        Entry::Result(result) => Some(result),
        Entry::Job(_) | Entry::End => None,
    })
}

/// The batch job as it was handed in: the first entry of its log.
pub(super) fn handed_in(entries: &[Arc<Entry>]) -> Option<&SubmittedJob> {
    match &**entries.first()? {
        Entry::Job(handed_in) => Some(handed_in),
        Entry::Result(_) | Entry::End => None,
    }
}

/// Whether the trainer ended the batch job.
pub(super) fn has_end(entries: &[Arc<Entry>]) -> bool {
    entries.last().is_some_and(|entry| matches!(**entry, Entry::End))
}

pub(super) fn contains(log: &[Arc<Entry>], wanted: &Entry) -> bool {
    match wanted {
        Entry::Result(result) => results(log).any(|listed| listed.id == result.id),
        Entry::End => has_end(log),
        Entry::Job(_) => !log.is_empty(),
    }
}

pub(super) fn is_of(job: &Job, entry: &Entry) -> bool {
    match entry {
        Entry::Result(result) => job.items.iter().any(|item| item.id == result.id),
        Entry::Job(_) | Entry::End => true,
    }
}
