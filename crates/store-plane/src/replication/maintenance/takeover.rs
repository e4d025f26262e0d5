//! Takeover: claims batch jobs whose owner failed or handed them over, and releases ownerships whose lease
//! has expired.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, OwnershipPhase};
use state::View;
use tokio::time::Instant;

use super::super::messages::TakeoverRequest;
use super::super::node::StoreNode;
use super::super::placement::replica_ids;
use super::super::state::{OwnedEntry, ReplicationState, OWNER_TIMEOUT};
use super::MAX_CLAIMS_PER_ROUND;

/// Additional time that each replica waits compared with the one before it in the order of [`replica_ids`],
/// so that usually only one claims a batch job.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(350);
/// Time without progress after which a claim without the promises of a majority is released.
pub(in super::super) const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time without the acknowledgement of a majority after which an owner releases its ownership.
const LEASE_TIMEOUT: Duration = Duration::from_secs(3);

impl StoreNode {
    /// Releases claims that have timed out, and ownerships whose lease has expired.
    pub fn release_stale_ownerships(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        for job in state.ownerships.jobs_where(|owned| self.is_stale(owned, now)) {
            // Delays the next claim of this store, so that the claim of another store can succeed.
            state.job_status.record_owner_contact(&job, now);
            state.ownerships.release(&job);
        }
    }

    /// Returns whether to release an ownership. A leading ownership is also released if its log is still
    /// empty, since then the batch job doesn't exist or its submission was not completed.
    ///
    /// An ownership that is `Superseded` at this point was superseded by
    /// [`NO_OWNER`](super::super::state::NO_OWNER), that is, by a newer store set, which this store has not
    /// received yet. Ownerships superseded by another store were released when the rejection arrived.
    fn is_stale(&self, owned: &OwnedEntry, now: Instant) -> bool {
        let since_claim = now.saturating_duration_since(owned.last_claim_progress);
        let is_lease_expired = !owned.ownership.holds_lease(self.lease_time(now), LEASE_TIMEOUT);
        match owned.ownership.phase() {
            OwnershipPhase::Preparing => since_claim > CLAIM_TIMEOUT,
            OwnershipPhase::Leading => {
                since_claim > LEASE_TIMEOUT && (is_lease_expired || owned.is_leading_empty_log())
            }
            OwnershipPhase::Superseded(_) => is_lease_expired,
        }
    }

    /// Claims batch jobs whose owner has timed out.
    pub fn take_over_expired(self: &Arc<Self>, view: &View) {
        let expired = self.jobs_with_expired_owner(&self.lock(), view);
        for job in expired {
            self.acquire(&job);
        }
    }

    /// Returns the batch jobs to claim: those whose owner has timed out and, without delay, those that this
    /// store owned before it was restarted.
    fn jobs_with_expired_owner(&self, state: &ReplicationState, view: &View) -> Vec<JobId> {
        let now = Instant::now();
        let logs = state.replicas.logs().filter(|(_, log)| !log.entries.is_empty());
        let unowned = logs.filter(|(job, _)| !state.ownerships.contains(job));
        let expired = unowned.filter(|(job, log)| {
            let was_owned_before_restart =
                log.promised.owner == self.id() && state.job_status.get(job).owner_last_contact.is_none();
            was_owned_before_restart
                || self.rank(view, job).is_some_and(|rank| {
                    let timeout = OWNER_TIMEOUT + TAKEOVER_STAGGER * rank;
                    state.job_status.time_since_owner_contact(job, self.started, now) > timeout
                })
        });
        expired.map(|(job, _)| Arc::clone(job)).take(MAX_CLAIMS_PER_ROUND).collect()
    }

    /// Returns the index of this store among the replicas of a batch job, starting at 0; `None` if it is not
    /// one of them.
    pub fn rank(&self, view: &View, job: &str) -> Option<u32> {
        let replicas = replica_ids(&view.control.stores, job);
        let rank = replicas.iter().position(|store| *store == self.id())?;
        u32::try_from(rank).ok()
    }

    /// Handles the request of another store to take a batch job over: claims the batch job unless it has a
    /// live owner.
    pub fn on_takeover_request(self: &Arc<Self>, job: &JobId, request: TakeoverRequest) {
        if !request.is_from_owner && self.delete_at_former_replica(job, request.from) {
            return;
        }
        let has_live_owner = {
            let mut state = self.lock();
            let owner = state.replicas.log(job).map(|log| log.promised.owner);
            if request.is_from_owner && owner == Some(request.from) {
                state.job_status.clear_owner_contact(job);
            }
            state.job_status.has_live_owner(job)
        };
        if !has_live_owner {
            self.acquire(job);
        }
    }
}
