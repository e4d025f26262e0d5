//! [`StoreNode`]: the state of a store, its journal and its connections. The other modules of the replication
//! implement further methods of it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use batch::{ReplicaSet, StoreId};
use register::Member;
use state::View;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::journal::RecordJournal;
use super::memory_budgets::MemoryBudgets;
use super::owned_job::OwnedJob;
use super::placement::{replica_ids, store_sets};
use super::state::ReplicationState;
use super::store_limits::StoreLimits;

/// One store. Several tasks share it: request handlers, the maintenance, and the journal writer.
pub(super) struct StoreNode {
    /// Name, incarnation and address of this store.
    pub member: Member,
    pub rpc: rpc::Client,
    /// The newest view of the control plane, which contains the store sets and the addresses of stores.
    pub view: watch::Receiver<Arc<View>>,
    pub limits: StoreLimits,
    pub budgets: MemoryBudgets,
    /// Time at which this store was opened; [`Self::lease_time`] is counted from it.
    pub started: Instant,
    pub journal: Arc<dyn RecordJournal>,
    /// Channel to the runner for the batch jobs that this store owns.
    pub owned_jobs: mpsc::UnboundedSender<OwnedJob>,
    pub state: Mutex<ReplicationState>,
}

impl StoreNode {
    /// Returns the id of this store, which is its incarnation: a store with a new disk has a new id.
    pub fn id(&self) -> StoreId {
        self.member.incarnation.0
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, ReplicationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Converts an instant to the time since this store was opened. [`batch::Ownership`] has no clock and
    /// takes times in this form.
    pub fn lease_time(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    pub fn current_view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the address of a store; `None` if it is not a member of the present or the previous store set.
    pub fn address_of(&self, store: StoreId) -> Option<String> {
        let view = self.current_view();
        let mut members = store_sets(&view.control).flat_map(|set| &set.members);
        let found = members.find(|candidate| candidate.member.incarnation.0 == store);
        found.map(|store| store.member.address.clone())
    }

    /// Returns the replicas of a batch job under `view`; `None` if this store is not one of the present
    /// replicas.
    pub fn replica_set(&self, view: &View, job: &str) -> Option<ReplicaSet> {
        let present = replica_ids(&view.control.stores, job);
        let previous_stores = view.control.previous_stores.as_ref();
        let previous = previous_stores.map(|set| replica_ids(set, job)).unwrap_or_default();
        present.contains(&self.id()).then_some(ReplicaSet { current: present, previous })
    }
}
