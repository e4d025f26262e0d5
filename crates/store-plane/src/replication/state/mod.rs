//! The state of a store in memory, divided by the modules that write it.
//!
//! - [`OwnershipTable`]: batch jobs that this store owns or claims; written by `ownership` and `maintenance`.
//! - [`JobStatusTable`]: reports of other stores about batch jobs; written where their messages arrive.
//! - [`Durability`]: the records that are queued or durable, or that could not be written; updated by
//!   `writer` and where records are queued.
//! - [`PeerLiveness`]: the stores that do not answer; written by `heartbeat` and where calls fail.

mod description;
mod durability;
mod job_status;
mod ownership_table;
mod peer_liveness;

use batch::{JobId, Record, ReplicaReply, ReplicaRequest, Replicas, StoreId};
use rpc::DecodeError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

pub(super) use durability::{Durability, WriteRequest};
pub(super) use job_status::{JobStatusTable, OWNER_TIMEOUT, READ_LEASE};
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
}

/// Checks that a record of a store's journal can be decoded.
///
/// # Errors
///
/// Fails if it cannot be decoded: a different build may have written it, or the disk may have corrupted it.
pub fn check_store_record(bytes: &[u8]) -> Result<(), DecodeError> {
    rpc::decode::<Vec<Record>>(bytes).map(drop)
}

impl ReplicationState {
    /// Recovers the state from the records of the journal, which `recovered` contains with their positions,
    /// oldest first. New records are sent to `write_queue`. Records that cannot be decoded are logged and
    /// skipped; the process is expected to have set a journal with such records aside before, see
    /// [`check_store_record`].
    pub fn recover(
        recovered: impl IntoIterator<Item = (u64, Vec<u8>)>,
        write_queue: mpsc::UnboundedSender<WriteRequest>,
    ) -> Self {
        let mut durability = Durability::new(write_queue);
        let mut all_records = Vec::new();
        for (position, bytes) in recovered {
            let Ok(records) = rpc::decode::<Vec<Record>>(&bytes) else {
                log::error!(position; "failed to decode a journal record of batch jobs");
                continue;
            };
            durability.record_positions(&records, position);
            all_records.extend(records);
        }
        Self {
            replicas: Replicas::recover(all_records),
            ownerships: OwnershipTable::default(),
            job_status: JobStatusTable::default(),
            durability,
            peers: PeerLiveness::default(),
        }
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
