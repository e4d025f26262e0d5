//! Migration of batch jobs to a new store set: owners claim them again, and stores that are no longer
//! replicas pass them on to present replicas.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, Record, ReplicaRequest, StoreId};
use state::View;

use super::super::messages::{AddressedRequest, MigrationStatus, TakeoverRequest, TAKEOVER_PATH};
use super::super::node::StoreNode;
use super::super::placement::replica_ids;
use super::super::state::ReplicationState;
use super::MAX_CLAIMS_PER_ROUND;

/// Timeout of a request to another store to take a batch job over.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(500);

impl StoreNode {
    /// Rejects owners of older epochs from now on. Renews the claims of the batch jobs that this store owns
    /// under an older store set.
    pub fn adopt_store_set(self: &Arc<Self>, view: &View) {
        let epoch = view.control.stores.epoch;
        let mut state = self.lock();
        state.replicas.raise_epoch(epoch);
        if state.replicas.epoch() > state.durability.epoch() {
            let record = Record::Epoch(state.replicas.epoch());
            drop(state.durability.persist(vec![record]));
        }
        for job in state.ownerships.jobs_where(|owned| owned.ownership.term().epoch < epoch) {
            self.claim_again(&mut state, view, &job);
        }
    }

    /// Claims a batch job that this store owns once more, under the present store set; releases it if this
    /// store is no longer one of its replicas.
    fn claim_again(&self, state: &mut ReplicationState, view: &View, job: &JobId) {
        let replicas = self.replica_set(view, job);
        let claim = replicas.and_then(|replicas| self.new_claim(state, view, job, replicas));
        match (claim, state.ownerships.get_mut(job)) {
            (Some(claim), Some(owned)) => owned.claim_again(claim),
            _ => state.ownerships.release(job),
        }
    }

    /// Asks present replicas to take over the batch jobs of older store sets whose logs this store still
    /// keeps although it is no longer one of their replicas.
    pub fn notify_new_replicas(self: &Arc<Self>, view: &View) {
        let requests = self.takeover_requests(&self.lock(), view);
        for (job, store) in requests {
            let node = Arc::clone(self);
            tokio::spawn(async move {
                let address = node.address_of(store)?;
                let request = TakeoverRequest { from: node.id(), is_from_owner: false };
                let request = AddressedRequest { to: store, job, request };
                node.rpc.call::<_, ()>(&address, TAKEOVER_PATH, &request, TAKEOVER_TIMEOUT).await.ok()
            });
        }
    }

    /// Returns the batch jobs to pass on, each with a present replica drawn at random.
    fn takeover_requests(&self, state: &ReplicationState, view: &View) -> Vec<(JobId, StoreId)> {
        let epoch = view.control.stores.epoch;
        let to_pass_on = state.replicas.logs().filter(|(job, log)| {
            !log.entries.is_empty() && log.accepted.epoch < epoch && self.rank(view, job).is_none()
        });
        let requests = to_pass_on.take(MAX_CLAIMS_PER_ROUND).filter_map(|(job, _)| {
            let replicas = replica_ids(&view.control.stores, job);
            let successor = replicas.get(fastrand::usize(..replicas.len().max(1)))?;
            Some((Arc::clone(job), *successor))
        });
        requests.collect()
    }

    /// Asks the store `from`, if it is no longer a replica, to delete its log of a batch job which this
    /// store owns and has committed. Returns whether the request was sent. Without it, a store that missed
    /// the migration would keep the log and never report its own migration as complete.
    pub fn delete_at_former_replica(self: &Arc<Self>, job: &JobId, from: StoreId) -> bool {
        let term = {
            let state = self.lock();
            let Some(owned) = state.ownerships.get(job) else { return false };
            let is_replica = owned.ownership.replicas().current.contains(&from);
            if is_replica || !owned.ownership.is_established() || owned.ownership.committed().is_empty() {
                return false;
            }
            owned.ownership.term()
        };
        let (node, job) = (Arc::clone(self), Arc::clone(job));
        tokio::spawn(async move { node.send_request(from, &job, ReplicaRequest::Delete { term }).await });
        true
    }

    /// Returns the progress of this store in migrating its batch jobs to the present store set.
    pub fn migration_status(&self) -> MigrationStatus {
        let epoch = self.current_view().control.stores.epoch;
        let state = self.lock();
        let is_complete = state.durability.epoch() >= epoch && state.is_migrated(epoch);
        MigrationStatus { store: self.id(), epoch: state.durability.epoch(), is_complete }
    }
}

impl ReplicationState {
    /// Returns whether all logs that this store keeps are committed under `epoch` or a later one.
    fn is_migrated(&self, epoch: u64) -> bool {
        let is_committed = |job: &JobId| {
            let is_owned = self.ownerships.get(job).is_some_and(|owned| owned.ownership.is_established());
            is_owned || self.job_status.get(job).committed_epoch.is_some_and(|committed| committed >= epoch)
        };
        let mut logs = self.replicas.logs();
        logs.all(|(job, log)| log.entries.is_empty() || (log.accepted.epoch >= epoch && is_committed(job)))
    }
}
