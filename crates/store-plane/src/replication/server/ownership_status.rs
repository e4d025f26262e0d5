//! Whether a store may answer about a batch job: only its owner may, while it holds the lease of a majority.

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

/// How long other stores may take to report whether they hold a batch job.
const QUERY_TIMEOUT: Duration = Duration::from_millis(350);

/// Why a store does not answer a request about a batch job itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotOwner {
    /// No store holds the batch job.
    NoSuchJob,
    /// Whether it exists, or who owns it, could not be determined.
    Unknown,
    /// The store of this id owns it, or is likely to know who does.
    Redirect(StoreId),
}

impl NotOwner {
    /// A redirect to `owner`, if one is known.
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
    /// Succeeds if this store owns a batch job, holds its read lease, and the batch job exists. Claims it if no other
    /// store seems to own it.
    pub(super) async fn confirm_ownership(self: &Arc<Self>, id: &JobId) -> Result<(), NotOwner> {
        let is_known = self.lock().is_known(id);
        if !is_known {
            return Err(self.query_replicas(id).await);
        }
        self.acquire_unless_owned_elsewhere(id).map_err(NotOwner::redirect_to)?;
        // `Some` once it is certain whether the batch job exists. An entry that is not committed yet leaves it open.
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

    /// Claims a batch job unless another store owns it. The error is that store, `None` if none is known and this one
    /// cannot own it.
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

    /// The owner of a batch job, if it is another store that has not timed out.
    pub(super) fn live_owner_elsewhere(&self, id: &JobId) -> Option<StoreId> {
        let state = self.lock();
        let promised = state.replica.log(id).map(|log| log.promised);
        let highest = promised.max(state.jobs.get(id).highest_rejection)?;
        let is_other = highest.owner != self.id() && highest.owner != NO_OWNER;
        (state.jobs.has_live_owner(id) && is_other).then_some(highest.owner)
    }

    /// Asks the replicas of a batch job that this store doesn't hold. `NoSuchJob` takes a majority of each store set.
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
            let Some(ReplicaReply::Status { promised, length }) = reply.map(|reply| reply.reply) else {
                continue;
            };
            if promised.epoch > view.control.stores.epoch {
                // The batch job may be on stores of a newer store set, which this one does not know yet.
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

    /// Waits until `find` returns a value for a batch job that this store owns. `None` once the deadline has passed or
    /// the ownership is lost.
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

/// Whether `some` holds a majority of `set`, which must not be empty.
fn is_majority(set: &[StoreId], stores: &[StoreId]) -> bool {
    let count = set.iter().filter(|store| stores.contains(store)).count();
    !set.is_empty() && count > set.len() / 2
}
