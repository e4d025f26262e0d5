//! The state of a store in memory, divided by the modules that write it.
//!
//! - [`OwnershipTable`]: batch jobs that this store owns or claims; written by `ownership` and `maintenance`.
//! - [`JobStatusTable`]: reports of other stores about batch jobs; written where their messages arrive.
//! - [`Durability`]: the records that are queued or durable, or that could not be written; updated by
//!   `writer` and where records are queued.
//! - [`PeerLiveness`]: the stores that do not answer; written by `heartbeat` and where calls fail.
//! - [`LogTransfers`]: the logs that are sent or fetched in several messages; written by `ownership`.

mod description;
mod durability;
mod entry_cache;
mod job_status;
mod log_transfers;
mod ownership_table;
mod peer_liveness;

use batch::{JobId, Record, ReplicaReply, ReplicaRequest, Replicas, StoreId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::recovery::StoreRecovery;

pub(super) use durability::{Durability, DurablePositions, WriteRequest};
pub(super) use job_status::{JobStatusTable, OWNER_TIMEOUT, READ_LEASE};
pub(super) use log_transfers::LogTransfers;
pub(super) use ownership_table::{OwnedEntry, OwnershipTable};
pub(super) use peer_liveness::PeerLiveness;

/// The owner in a term that represents the start of an epoch instead of a claim; no store has this id.
pub(super) const NO_OWNER: StoreId = 0;

/// Mutable state of a store, guarded by the mutex of [`super::node::StoreNode`].
pub(super) struct ReplicationState {
    /// The replicated logs that this store keeps. They are ahead of the disk while writes are pending; a
    /// reply is sent only after the records that it depends on are durable.
    pub replicas: Replicas,
    pub ownerships: OwnershipTable,
    pub job_status: JobStatusTable,
    pub durability: Durability,
    pub peers: PeerLiveness,
    pub transfers: LogTransfers,
}

impl ReplicationState {
    /// Creates the state after a recovery. New records are sent to `write_queue`. `cache_bytes` bounds the memory
    /// of entries that are on the disk as well.
    pub fn recover(
        recovery: StoreRecovery,
        cache_bytes: usize,
        write_queue: mpsc::UnboundedSender<WriteRequest>,
    ) -> Self {
        let (replicas, positions, source) = recovery.into_parts();
        Self {
            replicas,
            ownerships: OwnershipTable::default(),
            job_status: JobStatusTable::default(),
            durability: Durability::new(positions, source, cache_bytes, write_queue),
            peers: PeerLiveness::default(),
            transfers: LogTransfers::default(),
        }
    }

    /// Whether the store may keep the entries of a request in memory that are sent ahead of an append:
    /// `max_bytes` bounds those of all batch jobs, but one log is always kept. Entries whose owner makes no
    /// contact any more are dropped for it.
    pub fn may_stage(&mut self, job: &JobId, request: &ReplicaRequest, max_bytes: usize) -> bool {
        if !matches!(request, ReplicaRequest::Stage { .. }) {
            return true;
        }
        let fits = |replicas: &Replicas| {
            let others = replicas.staged_bytes_of_others(job);
            others == 0 || others + request.size_bytes() <= max_bytes
        };
        if !fits(&self.replicas) {
            let job_status = &self.job_status;
            self.replicas.drop_staged(|other| other != job && !job_status.has_live_owner(other));
        }
        fits(&self.replicas)
    }

    /// Executes the request of an owner or claimant. If a receiver is returned, the reply may only be sent
    /// after it reports that the records are durable; it is closed if a write failed.
    pub fn handle(
        &mut self,
        job: &JobId,
        request: ReplicaRequest,
        now: Instant,
    ) -> (ReplicaReply, Option<oneshot::Receiver<()>>) {
        if request != ReplicaRequest::Query {
            self.job_status.record_known(job, now);
        }
        let (reply, mut records) = self.replicas.handle(job, request);
        if self.durability.take_failed_write(job) {
            // The reply may depend on the record that could not be written, so the complete state of the
            // batch job is written again.
            records = vec![Record::Epoch(self.replicas.epoch()), self.replicas.snapshot(job)];
        }
        let must_wait = !records.is_empty() || self.durability.has_pending_writes(job);
        let durable = must_wait.then(|| self.durability.persist(records));
        (reply, durable)
    }

    /// Returns whether this store has entries of a batch job, or owns or claims it.
    pub fn is_known(&self, job: &JobId) -> bool {
        let has_entries = self.replicas.log(job).is_some_and(|log| !log.entries.is_empty());
        has_entries || self.ownerships.contains(job)
    }
}
