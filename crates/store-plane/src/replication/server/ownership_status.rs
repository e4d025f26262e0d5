//! Determines whether this store may answer requests about a batch job. Only the owner may, while it holds
//! the read lease of a majority.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, ReplicaReply, ReplicaRequest, StoreId};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{timeout_at, Instant};

use super::super::messages::OwnerReply;
use super::super::node::StoreNode;
use super::super::placement::{replica_ids, store_sets};
use super::super::state::{OwnedEntry, NO_OWNER, READ_LEASE};
use super::OWNERSHIP_TIMEOUT;

/// Timeout of the query whether other stores have a batch job.
const QUERY_TIMEOUT: Duration = Duration::from_millis(350);

/// Reason why a store does not answer a request about a batch job itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotOwner {
    /// No store has the batch job.
    NoSuchJob,
    /// It could not be determined whether the batch job exists, or which store owns it.
    Unknown,
    /// The store with this id owns the batch job, or has its log and can redirect further.
    Redirect(StoreId),
}

impl NotOwner {
    /// Returns a redirect to `owner`, or `Unknown` if no owner is known.
    fn redirect_to(owner: Option<StoreId>) -> Self {
        owner.map_or(Self::Unknown, Self::Redirect)
    }
}

impl<T> From<Result<T, NotOwner>> for OwnerReply<T> {
    fn from(answer: Result<T, NotOwner>) -> Self {
        match answer {
            Ok(value) => Self::Success(value),
            Err(NotOwner::NoSuchJob) => Self::NoSuchJob,
            Err(NotOwner::Unknown) => Self::Unknown,
            Err(NotOwner::Redirect(store)) => Self::Redirect(store),
        }
    }
}

impl StoreNode {
    /// Succeeds if the batch job exists and this store owns it and holds its read lease. Claims the batch job
    /// first if no other store seems to own it.
    pub(super) async fn confirm_ownership(self: &Arc<Self>, id: &JobId) -> Result<(), NotOwner> {
        let is_known = self.lock().is_known(id);
        if !is_known {
            return Err(self.query_replicas(id).await);
        }
        self.acquire_unless_owned_elsewhere(id).map_err(NotOwner::redirect_to)?;
        // `Some` once it is certain whether the batch job exists. It is not certain while the log has entries
        // but none of them is committed.
        let job_exists = |owned: &mut OwnedEntry| {
            let is_leased = owned.ownership.holds_lease(self.lease_time(Instant::now()), READ_LEASE);
            let is_decided = owned.ownership.is_established() && is_leased;
            let is_empty = owned.ownership.log().is_empty();
            let has_job = !owned.ownership.committed().is_empty();
            (is_decided && (is_empty || has_job)).then_some(has_job)
        };
        match self.wait_for_ownership(id, Instant::now() + OWNERSHIP_TIMEOUT, job_exists).await {
            Some(true) => Ok(()),
            Some(false) => Err(NotOwner::NoSuchJob),
            None => Err(NotOwner::redirect_to(self.live_owner_elsewhere(id))),
        }
    }

    /// Claims a batch job unless another store owns it. The error is the owner, or `None` if no owner is
    /// known and this store cannot own the batch job.
    pub(super) fn acquire_unless_owned_elsewhere(
        self: &Arc<Self>,
        id: &JobId,
    ) -> Result<(), Option<StoreId>> {
        if self.lock().ownerships.contains(id) {
            return Ok(());
        }
        if let Some(owner) = self.live_owner_elsewhere(id) {
            return Err(Some(owner));
        }
        self.acquire(id).then_some(()).ok_or(None)
    }

    /// Returns the owner of a batch job, if it is another store that has not timed out.
    pub(super) fn live_owner_elsewhere(&self, id: &JobId) -> Option<StoreId> {
        let state = self.lock();
        let promised = state.replicas.log(id).map(|log| log.promised);
        let highest = promised.max(state.job_status.get(id).highest_rejection)?;
        let is_other = highest.owner != self.id() && highest.owner != NO_OWNER;
        (state.job_status.has_live_owner(id) && is_other).then_some(highest.owner)
    }

    /// Queries the replicas of a batch job that this store doesn't have. Returns `NoSuchJob` only if, under
    /// each store set, a majority of the replicas reports an empty log.
    async fn query_replicas(&self, id: &JobId) -> NotOwner {
        let view = self.current_view();
        let replica_sets: Vec<Vec<StoreId>> =
            store_sets(&view.control).map(|set| replica_ids(set, id)).collect();
        let mut stores = replica_sets.concat();
        stores.sort_unstable();
        stores.dedup();
        let query = |store| async move { (store, self.send_request(store, id, ReplicaRequest::Query).await) };
        let mut replies: FuturesUnordered<_> = stores.into_iter().map(query).collect();
        let deadline = Instant::now() + QUERY_TIMEOUT;
        let mut without_job = Vec::new();
        while let Ok(Some((store, reply))) = timeout_at(deadline, replies.next()).await {
            let Some(ReplicaReply::Status { promised, length }) = reply.map(|(reply, _)| reply.reply) else {
                continue;
            };
            if promised.epoch > view.control.stores.epoch {
                // The batch job may be on stores of a newer store set, which this store has not received yet.
                return NotOwner::Unknown;
            }
            if length > 0 {
                return NotOwner::Redirect(store);
            }
            without_job.push(store);
            if replica_sets.iter().all(|set| is_majority(set, &without_job)) {
                return NotOwner::NoSuchJob;
            }
        }
        NotOwner::Unknown
    }

    /// Waits until `find` returns a value for a batch job that this store owns or claims. Returns `None` once
    /// the deadline has passed or this store neither owns nor claims the batch job any more.
    pub(super) async fn wait_for_ownership<T>(
        &self,
        id: &JobId,
        deadline: Instant,
        mut find: impl FnMut(&mut OwnedEntry) -> Option<T>,
    ) -> Option<T> {
        loop {
            let mut progress = {
                let mut state = self.lock();
                let owned = state.ownerships.get_mut(id)?;
                if let Some(value) = find(owned) {
                    return Some(value);
                }
                owned.progress.subscribe()
            };
            timeout_at(deadline, progress.changed()).await.ok()?.ok()?;
        }
    }
}

/// Returns whether `stores` contains a majority of `set`; `false` if `set` is empty.
fn is_majority(set: &[StoreId], stores: &[StoreId]) -> bool {
    let count = set.iter().filter(|store| stores.contains(store)).count();
    !set.is_empty() && count > set.len() / 2
}
