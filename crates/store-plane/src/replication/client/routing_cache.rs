//! Caches what the earlier calls of a traffic node showed: the owners of batch jobs, and the stores that
//! failed to answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, StoreId};
use tokio::time::Instant;

/// Time during which a store that failed to answer is called after the other replicas.
const SUSPECT_TTL: Duration = Duration::from_secs(2);
/// Maximum number of cached owners; when it is reached, all are removed.
const MAX_CACHED_OWNERS: usize = 4096;

/// The last known owners of batch jobs, and the stores that failed to answer. The entries are only hints: a
/// wrong owner costs one more attempt.
#[derive(Default)]
pub(super) struct RoutingCache {
    owners: HashMap<JobId, StoreId>,
    /// Time at which each store last failed to answer. The entry of a store is removed when it answers.
    suspects: HashMap<StoreId, Instant>,
}

impl RoutingCache {
    /// Returns the last known owner of a batch job.
    pub fn owner(&self, job: &str) -> Option<StoreId> {
        self.owners.get(job).copied()
    }

    /// Caches the owner of a batch job, which has answered a call.
    pub fn record_owner(&mut self, job: &JobId, owner: StoreId) {
        if self.owners.len() >= MAX_CACHED_OWNERS {
            self.owners.clear();
        }
        self.owners.insert(Arc::clone(job), owner);
    }

    /// Returns whether a store failed to answer less than [`SUSPECT_TTL`] ago and has not answered since.
    pub fn is_suspect(&self, store: StoreId) -> bool {
        self.suspects.get(&store).is_some_and(|since| since.elapsed() < SUSPECT_TTL)
    }

    /// Records that a store has answered a call.
    pub fn on_answer(&mut self, store: StoreId) {
        self.suspects.remove(&store);
    }

    /// Records that a call to a store about a batch job has failed. Also removes the cached owner of the
    /// batch job.
    pub fn on_failure(&mut self, store: StoreId, job: &str) {
        self.suspects.insert(store, Instant::now());
        self.owners.remove(job);
    }
}
