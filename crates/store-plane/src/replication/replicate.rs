//! Sends the requests of owners to replicas, and executes those that this store receives as a replica.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, ReplicaReply, ReplicaRequest, StoreId};
use tokio::time::Instant;

use super::maintenance::CLAIM_TIMEOUT;
use super::messages::{AddressedRequest, ReplicateReply, REPLICATE_PATH};
use super::node::StoreNode;
use super::state::{ReplicationState, NO_OWNER};

/// Timeout of a request to another store, if the request contains no entries.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that a claim waits for the end of another owner's lease. It is well below
/// [`REPLICATE_TIMEOUT`], so that the reply still arrives in time.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(350);
/// Timeout of a request whose reply contains entries. A claim that makes no progress for longer is released.
const FETCH_TIMEOUT: Duration = CLAIM_TIMEOUT;
/// Extra time for each byte of the entries in a request.
const REPLICATE_TIMEOUT_PER_BYTE: Duration = Duration::from_nanos(500);

impl StoreNode {
    /// Sends a request to a store, which may be this one. Returns the reply and the time at which the request
    /// was sent; `None` if there is no reply: the store is not a member, could not be reached, or could not make
    /// the request durable.
    pub async fn send_request(
        &self,
        store: StoreId,
        job: &JobId,
        request: ReplicaRequest,
    ) -> Option<(ReplicateReply, Instant)> {
        if store == self.id() {
            let sent = Instant::now();
            return Some((self.replicate(job, request).await?, sent));
        }
        let address = self.address_of(store)?;
        let timeout = timeout_of(&request);
        let _share = self.budgets.acquire_for_sending(store, request.size_bytes()).await?;
        let request = self.load_request(request).await?;
        let request = AddressedRequest { to: store, job: Arc::clone(job), request };
        let encoded = rpc::encode(&request);
        // A long request is in memory once while it is sent.
        drop(request);
        let sent = Instant::now();
        let reply = self.rpc.call_encoded(&address, REPLICATE_PATH, encoded, timeout).await;
        if reply.is_err() {
            self.lock().peers.set_reachable(store, false);
        }
        Some((reply.ok()?, sent))
    }

    /// Executes the request of another store. Returns `None`, which means no reply, as [`Self::replicate`] does,
    /// or if this store has no memory for it or cannot read the entries of the reply.
    pub async fn replicate_for_other(&self, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        if !self.lock().may_stage(job, &request, self.budgets.staged_bytes) {
            return None;
        }
        let ReplicateReply { reply, age_ms } = self.replicate(job, request).await?;
        Some(ReplicateReply { reply: self.load_reply(reply).await?, age_ms })
    }

    /// Executes a request of an owner or claimant; returns `None`, which means no reply, if it could not be
    /// made durable, or if the journal has no space for it.
    ///
    /// A claim waits until the read lease of another owner has ended. If that owner keeps making contact with
    /// this store, so that its lease lasts beyond [`MAX_LEASE_WAIT`], the claim gets no reply either. The
    /// claimant repeats it in later maintenance rounds until its claim times out.
    pub async fn replicate(&self, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        if let ReplicaRequest::Prepare { term, .. } = &request {
            if !self.wait_for_lease_end(job, term.owner).await {
                return None;
            }
        }
        if !self.has_space_to_write(job, &request) {
            return None;
        }
        let (reply, durable, age) = {
            let mut state = self.lock();
            let now = Instant::now();
            let is_from_owner = is_from_owner(&request);
            let (reply, durable) = state.handle(job, request, now);
            if is_from_owner && !matches!(reply, ReplicaReply::Rejected { .. }) {
                state.job_status.record_owner_contact(job, now);
            }
            if matches!(reply, ReplicaReply::Deleted { .. }) {
                state.job_status.remove(job);
            }
            (reply, durable, state.job_status.age(job, now))
        };
        if let Some(durable) = durable {
            durable.await.ok()?;
        }
        Some(ReplicateReply::new(reply, age))
    }

    /// Waits until no owner except `claimant` can still hold a read lease based on a contact with this store.
    /// Returns `false` as soon as it is certain that the lease does not end within [`MAX_LEASE_WAIT`].
    async fn wait_for_lease_end(&self, job: &JobId, claimant: StoreId) -> bool {
        let deadline = Instant::now() + MAX_LEASE_WAIT;
        loop {
            // A separate statement, so that the lock is released before waiting.
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
    /// Returns the latest end of a read lease that an owner other than `claimant` may hold because of its
    /// contacts with this store; `None` if there is no such lease any more. `own_id` is the id of this store
    /// and `started` the time at which it started. This store itself holds a read lease only while it owns
    /// the batch job.
    fn other_owner_lease_end(
        &self,
        job: &JobId,
        claimant: StoreId,
        own_id: StoreId,
        started: Instant,
    ) -> Option<Instant> {
        let owner = self.replicas.log(job)?.promised.owner;
        if owner == NO_OWNER || owner == claimant || (owner == own_id && !self.ownerships.contains(job)) {
            return None;
        }
        let now = Instant::now();
        Some(now + self.job_status.owner_lease_remaining(job, started, now)?)
    }
}

/// Returns the timeout of a request to another store, which depends on the entries in the request or its reply.
fn timeout_of(request: &ReplicaRequest) -> Duration {
    match request {
        ReplicaRequest::Append { .. } | ReplicaRequest::Stage { .. } => {
            let bytes = u32::try_from(request.size_bytes()).unwrap_or(u32::MAX);
            REPLICATE_TIMEOUT + REPLICATE_TIMEOUT_PER_BYTE * bytes
        }
        ReplicaRequest::Fetch { .. } => FETCH_TIMEOUT,
        ReplicaRequest::Prepare { .. } | ReplicaRequest::Query | ReplicaRequest::Delete { .. } => {
            REPLICATE_TIMEOUT
        }
    }
}

/// Whether the sender of a request claims or owns the batch job.
fn is_from_owner(request: &ReplicaRequest) -> bool {
    match request {
        ReplicaRequest::Prepare { .. }
        | ReplicaRequest::Append { .. }
        | ReplicaRequest::Stage { .. }
        | ReplicaRequest::Fetch { .. } => true,
        ReplicaRequest::Query | ReplicaRequest::Delete { .. } => false,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/owner_lease.rs"]
mod owner_lease;
