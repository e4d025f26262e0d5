//! Requests of owners to replicas: sending them, and carrying them out.

use std::sync::Arc;
use std::time::Duration;

use batch::{Entry, JobId, ReplicaReply, ReplicaRequest, StoreId};
use tokio::time::Instant;

use super::messages::{AddressedRequest, ReplicateReply, REPLICATE_PATH};
use super::node::StoreNode;
use super::state::{ReplicationState, NO_OWNER};

/// Timeout of a request to another store.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);
/// A claim waits at most this long for the end of another owner's lease; well below [`REPLICATE_TIMEOUT`].
const MAX_LEASE_WAIT: Duration = Duration::from_millis(350);
/// Added to the timeout for each byte of the entries.
const REPLICATE_TIMEOUT_PER_BYTE: Duration = Duration::from_nanos(500);

impl StoreNode {
    /// Sends a request to a store, which may be this one. `None` if there is no reply: the store is not a member, could
    /// not be reached, or could not make the request durable.
    pub async fn send_request(
        &self,
        store: StoreId,
        job: &JobId,
        request: ReplicaRequest,
    ) -> Option<ReplicateReply> {
        if store == self.id() {
            return self.replicate(job, request).await;
        }
        let address = self.address_of(store)?;
        let timeout = REPLICATE_TIMEOUT + REPLICATE_TIMEOUT_PER_BYTE * bytes_of_entries(&request);
        let request = AddressedRequest { to: store, job: Arc::clone(job), request };
        let reply = self.rpc.call(&address, REPLICATE_PATH, &request, timeout).await;
        if reply.is_err() {
            self.lock().peers.set_reachable(store, false);
        }
        reply.ok()
    }

    /// Carries out a request of an owner; `None` if it could not be made durable.
    ///
    /// A claim waits until the read lease of another owner has ended. It gets no reply either if that owner goes on to
    /// make contact here: the claimant repeats it in a later round, and gives up after some.
    pub async fn replicate(&self, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        if let ReplicaRequest::Prepare { term, .. } = &request {
            if !self.wait_for_lease_end(job, term.owner).await {
                return None;
            }
        }
        let (reply, durable, age) = {
            let mut state = self.lock();
            let now = Instant::now();
            let is_from_owner =
                matches!(request, ReplicaRequest::Prepare { .. } | ReplicaRequest::Append { .. });
            let (reply, durable) = state.handle(job, request, now);
            if is_from_owner && !matches!(reply, ReplicaReply::Rejected { .. }) {
                state.jobs.record_owner_contact(job, now);
            }
            if matches!(reply, ReplicaReply::Deleted { .. }) {
                state.jobs.remove(job);
            }
            (reply, durable, state.jobs.age(job, now))
        };
        if let Some(durable) = durable {
            durable.await.ok()?;
        }
        Some(ReplicateReply::new(reply, age))
    }

    /// Waits until no owner but `claimant` may have a read lease with the help of this store; returns whether that came
    /// in time.
    async fn wait_for_lease_end(&self, job: &JobId, claimant: StoreId) -> bool {
        let deadline = Instant::now() + MAX_LEASE_WAIT;
        loop {
            // In a statement of its own, so that the lock is released while waiting.
            let lease_end = self.lock().other_owner_lease_end(job, claimant, self.id(), self.started);
            match lease_end {
                None => return true,
                Some(end) if end > deadline => return false,
                Some(end) => tokio::time::sleep_until(end).await,
            }
        }
    }
}

impl ReplicationState {
    /// When the read lease of an owner other than `claimant` ends, as far as the contacts with this store, `own_id`, have
    /// given it one; `None` once it has ended. This store itself holds one only while it owns the batch job.
    fn other_owner_lease_end(
        &self,
        job: &JobId,
        claimant: StoreId,
        own_id: StoreId,
        started: Instant,
    ) -> Option<Instant> {
        let owner = self.replica.log(job)?.promised.owner;
        if owner == NO_OWNER || owner == claimant || (owner == own_id && !self.ownerships.contains(job)) {
            return None;
        }
        let now = Instant::now();
        Some(now + self.jobs.owner_lease_remaining(job, started, now)?)
    }
}

fn bytes_of_entries(request: &ReplicaRequest) -> u32 {
    let ReplicaRequest::Append { entries, .. } = request else { return 0 };
    let sizes = entries.iter().map(|entry| match &**entry {
        Entry::Job(submitted) => submitted.body.len(),
        Entry::Result(result) => result.text.len(),
        Entry::End => 0,
    });
    u32::try_from(sizes.sum::<usize>()).unwrap_or(u32::MAX)
}

#[cfg(test)]
#[path = "../../tests/unit/owner_lease.rs"]
mod owner_lease;
