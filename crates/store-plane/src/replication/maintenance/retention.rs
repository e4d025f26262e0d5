//! Retention: deletes batch jobs whose results need no longer be readable.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, ReplicaRequest, StoreId};
use tokio::time::Instant;

use super::super::node::StoreNode;
use super::super::state::{OwnedEntry, ReplicationState};

/// Divisor that gives the margin of the retention: an ended batch job is retained for the time during which
/// its results must be readable, plus that time divided by this number.
const RETENTION_MARGIN_DIVISOR: u32 = 2;
/// Retention of a batch job that has all results but was not ended by its trainer, as a multiple of the
/// retention of an ended one.
const UNENDED_RETENTION_FACTOR: u32 = 8;

/// A batch job to delete, with the request to its replicas.
struct ExpiredJob {
    job: JobId,
    replicas: Vec<StoreId>,
    delete: ReplicaRequest,
}

impl StoreNode {
    /// Releases expired batch jobs and asks their replicas to delete them.
    pub fn delete_expired(self: &Arc<Self>) {
        let result_retention = self.limits.result_retention;
        let retention = result_retention + result_retention / RETENTION_MARGIN_DIVISOR;
        let expired = self.lock().expired_jobs(retention);
        for ExpiredJob { job, replicas, delete } in expired {
            self.lock().ownerships.release(&job);
            for store in replicas {
                let (node, job, delete) = (Arc::clone(self), Arc::clone(&job), delete.clone());
                tokio::spawn(async move { node.send_request(store, &job, delete).await });
            }
        }
    }
}

impl ReplicationState {
    /// Returns the owned batch jobs that have expired; `retention` is the retention of ended ones.
    fn expired_jobs(&self, retention: Duration) -> Vec<ExpiredJob> {
        let now = Instant::now();
        let owned_jobs = self.ownerships.iter();
        let expired =
            owned_jobs.filter(|(job, owned)| is_expired(owned, self.job_status.age(job, now), retention));
        let to_delete = expired.map(|(job, owned)| ExpiredJob {
            job: Arc::clone(job),
            replicas: owned.ownership.replicas().current.clone(),
            delete: ReplicaRequest::Delete { term: owned.ownership.term() },
        });
        to_delete.collect()
    }
}

/// Returns whether a batch job of this age may be deleted. A batch job that lacks results and was not ended
/// is never deleted because of its age.
fn is_expired(owned: &OwnedEntry, age: Duration, retention: Duration) -> bool {
    let is_ended_and_old = owned.is_ended() && age > retention;
    is_ended_and_old || (owned.has_all_results() && age > retention * UNENDED_RETENTION_FACTOR)
}
