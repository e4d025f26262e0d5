//! Requests of owners to replicas: sending them, and carrying them out.

use std::sync::Arc;
use std::time::Duration;

use batch::{Entry, JobId, ReplicaReply, ReplicaRequest, StoreId};
use tokio::time::Instant;

use super::messages::{AddressedRequest, ReplicateReply, REPLICATE_PATH};
use super::node::StoreNode;

/// Timeout of a request to another store.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);
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
    pub async fn replicate(&self, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        let (reply, durable, age) = {
            let mut state = self.lock();
            let now = Instant::now();
            let is_of_owner =
                matches!(request, ReplicaRequest::Prepare { .. } | ReplicaRequest::Append { .. });
            let (reply, durable) = state.handle(job, request, now);
            if is_of_owner && !matches!(reply, ReplicaReply::Rejected { .. }) {
                state.jobs.record_owner_contact(job, now);
            }
            if matches!(reply, ReplicaReply::Deleted { .. }) {
                state.jobs.forget(job);
            }
            (reply, durable, state.jobs.age(job, now))
        };
        if let Some(durable) = durable {
            durable.await.ok()?;
        }
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(0);
        Some(ReplicateReply { reply, age_ms })
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
