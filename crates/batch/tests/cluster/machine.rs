//! One machine of the simulated cluster: a store with its disk, and the owner that may run on it.

use batch::{JobId, Ownership, OwnershipPhase, OwnershipTerm, Record, ReplicaSet, Replicas, StoreId};
use fastrand::Rng;

use super::message::Message;

/// The store set as a machine knows it.
#[derive(Clone, Default)]
pub struct View {
    pub epoch: u64,
    pub replicas: ReplicaSet,
}

/// Records on their way to the disk, and the reply that waits for them.
pub struct PendingWrite {
    pub records: Vec<Record>,
    pub reply: Option<Message>,
}

pub struct Machine {
    pub id: StoreId,
    pub replicas: Replicas,
    pub disk: Vec<Record>,
    pub pending_writes: Vec<PendingWrite>,
    pub owner: Option<Ownership>,
    /// The highest epoch under which an owner reported that everything is committed.
    pub committed_epoch: u64,
    /// The highest term for which this machine's requests were rejected.
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

    /// The disk completes some of the pending writes, in their order; their replies are returned.
    pub fn flush(&mut self, random: &mut Rng) -> Vec<Message> {
        let count = random.usize(0..=self.pending_writes.len());
        let mut replies = Vec::new();
        for write in self.pending_writes.drain(..count) {
            self.disk.extend(write.records);
            replies.extend(write.reply);
        }
        replies
    }

    /// Memory is lost. The first of the pending writes may be on the disk all the same.
    pub fn crash(&mut self, random: &mut Rng) {
        let survives = random.usize(0..=self.pending_writes.len());
        for write in self.pending_writes.drain(..).take(survives) {
            self.disk.extend(write.records);
        }
        self.replicas = Replicas::recover(self.disk.clone());
        self.owner = None;
        self.committed_epoch = 0;
        self.rejected = OwnershipTerm::default();
    }

    pub fn update_view(&mut self, view: &View) {
        if self.view.epoch < view.epoch {
            self.owner = None;
        }
        self.view = view.clone();
        if let Some(record) = self.replicas.raise_epoch(view.epoch) {
            self.pending_writes.push(PendingWrite { records: vec![record], reply: None });
        }
    }

    /// Whether it rejects owners of older epochs, durably, and all that it has is committed under this one.
    pub fn has_migrated(&self, job: &JobId, epoch: u64) -> bool {
        let rejects_older = self.disk.iter().any(|record| matches!(record, Record::Epoch(e) if *e >= epoch));
        let is_committed = self.replicas.log(job).is_none_or(|log| {
            log.entries.is_empty() || (log.accepted.epoch >= epoch && self.committed_epoch >= epoch)
        });
        rejects_older && is_committed
    }
}
