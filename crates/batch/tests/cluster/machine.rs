//! A machine of the simulated cluster: a store with its disk, and an owner that may run on it.

use std::ops::Range;
use std::sync::Arc;

use batch::{
    Entry, JobId, LoadError, Ownership, OwnershipPhase, OwnershipTerm, Record, ReplicaSet, Replicas, StoreId,
    StoredEntry,
};
use fastrand::Rng;

use super::message::Message;

/// The store set and its epoch, as last received by a machine.
#[derive(Clone, Default)]
pub struct View {
    pub epoch: u64,
    pub replicas: ReplicaSet,
}

/// Records that are not on the disk yet, and the reply that is sent once they are.
pub struct PendingWrite {
    pub records: Vec<Record>,
    pub reply: Option<Message>,
}

/// The content of an entry on a disk.
struct DiskEntry(Entry);

impl StoredEntry for DiskEntry {
    fn load(&self) -> Result<Entry, LoadError> {
        Ok(self.0.clone())
    }

    fn read(&self, _range: Range<u64>) -> Result<Vec<u8>, LoadError> {
        Err(LoadError("parts of entries are not read here".to_owned()))
    }

    fn encoded_form(&self) -> (u64, u32) {
        (0, 0)
    }
}

/// Returns records that have reached the disk: the contents of their entries are no longer in memory.
fn on_disk(records: Vec<Record>) -> Vec<Record> {
    for entry in records.iter().flat_map(Record::entries) {
        let content = entry.load().expect("it is in memory or on the disk");
        entry.set_stored(Arc::new(DiskEntry((*content).clone())));
        entry.evict();
    }
    records
}

/// A store, and the owner that may run on the same machine.
pub struct Machine {
    /// Identity of the disk, and so of the store.
    pub id: StoreId,
    pub replicas: Replicas,
    pub disk: Vec<Record>,
    pub pending_writes: Vec<PendingWrite>,
    pub owner: Option<Ownership>,
    /// The highest epoch in which an owner reported that it has committed its complete log.
    pub committed_epoch: u64,
    /// The highest term that a store returned when it rejected a request of this machine.
    pub rejected: OwnershipTerm,
    pub view: View,
}

impl Machine {
    pub fn new(id: StoreId) -> Self {
        Self {
            id,
            replicas: Replicas::default(),
            disk: Vec::new(),
            pending_writes: Vec::new(),
            owner: None,
            committed_epoch: 0,
            rejected: OwnershipTerm::default(),
            view: View::default(),
        }
    }

    pub fn leads(&self) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.phase() == OwnershipPhase::Leading)
    }

    pub fn established_owner(&self) -> Option<&Ownership> {
        self.owner.as_ref().filter(|owner| owner.is_established())
    }

    pub fn owner_of(&mut self, term: OwnershipTerm) -> Option<&mut Ownership> {
        self.owner.as_mut().filter(|owner| owner.term() == term)
    }

    /// Completes a random number of the pending writes in their order, and returns their replies.
    pub fn flush(&mut self, random: &mut Rng) -> Vec<Message> {
        let count = random.usize(0..=self.pending_writes.len());
        let mut replies = Vec::new();
        for write in self.pending_writes.drain(..count) {
            self.disk.extend(on_disk(write.records));
            replies.extend(write.reply);
        }
        replies
    }

    /// Restarts the machine from its disk. A random number of the pending writes, in their order, still
    /// reaches the disk.
    pub fn crash(&mut self, random: &mut Rng) {
        let written = random.usize(0..=self.pending_writes.len());
        for write in self.pending_writes.drain(..).take(written) {
            self.disk.extend(on_disk(write.records));
        }
        self.replicas = Replicas::default();
        self.disk.iter().cloned().for_each(|record| self.replicas.replay(record));
        self.owner = None;
        self.committed_epoch = 0;
        self.rejected = OwnershipTerm::default();
    }

    /// Adopts the current store set. An owner of an earlier epoch ends.
    pub fn update_view(&mut self, view: &View) {
        if self.view.epoch < view.epoch {
            self.owner = None;
        }
        self.view = view.clone();
        if let Some(record) = self.replicas.raise_epoch(view.epoch) {
            self.pending_writes.push(PendingWrite { records: vec![record], reply: None });
        }
    }

    /// Whether the store durably rejects owners of epochs before `epoch`, and all entries of its log are
    /// committed in `epoch` or later.
    pub fn has_migrated(&self, job: &JobId, epoch: u64) -> bool {
        let rejects_older =
            self.disk.iter().any(|record| matches!(record, Record::Epoch(raised) if *raised >= epoch));
        let is_committed = self.replicas.log(job).is_none_or(|log| {
            log.entries.is_empty() || (log.accepted.epoch >= epoch && self.committed_epoch >= epoch)
        });
        rejects_older && is_committed
    }
}
