//! [`StoreNode`]: the state of a store and what it does I/O with. The other modules of the replication add methods to
//! it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use batch::{ReplicaSet, StoreId};
use register::Member;
use state::View;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::journal::RecordJournal;
use super::owned_job::OwnedJob;
use super::placement::{replica_ids, store_sets};
use super::state::ReplicationState;
use super::store_limits::StoreLimits;

/// One store. Its parts run in several tasks, which share it.
pub(super) struct StoreNode {
    pub member: Member,
    pub rpc: rpc::Client,
    /// The newest view of the control plane: store sets and addresses.
    pub view: watch::Receiver<Arc<View>>,
    pub limits: StoreLimits,
    /// The zero of [`Self::lease_time`].
    pub started: Instant,
    pub journal: Arc<dyn RecordJournal>,
    /// Takes the batch jobs whose items are to be run here.
    pub owned_jobs: mpsc::UnboundedSender<OwnedJob>,
    pub state: Mutex<ReplicationState>,
}

impl StoreNode {
    pub fn id(&self) -> StoreId {
        self.member.incarnation.0
    }

    /// Locks the state. The guard must not be kept across an await.
    pub fn lock(&self) -> MutexGuard<'_, ReplicationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An instant as a [`batch::Ownership`], which reads no clock, is told it: the time since this store started.
    pub fn lease_time(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    pub fn current_view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// The address of a store; `None` if it is not a member.
    pub fn address_of(&self, store: StoreId) -> Option<String> {
        let view = self.current_view();
        let mut members = store_sets(&view.control).flat_map(|set| &set.members);
        let found = members.find(|candidate| candidate.member.incarnation.0 == store);
        found.map(|store| store.member.address.clone())
    }

    /// The stores that an owner calls under `view`; `None` if this store is not to keep the batch job.
    pub fn replica_set(&self, view: &View, job: &str) -> Option<ReplicaSet> {
        let present = replica_ids(&view.control.stores, job);
        let previous_stores = view.control.previous_stores.as_ref();
        let previous = previous_stores.map(|set| replica_ids(set, job)).unwrap_or_default();
        present.contains(&self.id()).then_some(ReplicaSet { present, previous })
    }
}
