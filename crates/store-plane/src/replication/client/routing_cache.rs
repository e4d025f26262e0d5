//! What a traffic node remembers about stores between its calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, StoreId};
use tokio::time::Instant;

/// A store that did not answer is called last for this long.
const SUSPECT_TTL: Duration = Duration::from_secs(2);
/// Owners that are remembered; when there are more, all are forgotten.
const MAX_CACHED_OWNERS: usize = 4096;

/// The last known owners of batch jobs, and the stores that failed to answer. Only hints: a wrong one costs a redirect.
#[derive(Default)]
pub(super) struct RoutingCache {
    owners: HashMap<JobId, StoreId>,
    /// When a store last failed to answer.
    suspects: HashMap<StoreId, Instant>,
}

impl RoutingCache {
    pub fn owner(&self, job: &str) -> Option<StoreId> {
        self.owners.get(job).copied()
    }

    pub fn record_owner(&mut self, job: &JobId, owner: StoreId) {
        if self.owners.len() >= MAX_CACHED_OWNERS {
            self.owners.clear();
        }
        self.owners.insert(Arc::clone(job), owner);
    }

    pub fn is_suspect(&self, store: StoreId) -> bool {
        self.suspects.get(&store).is_some_and(|since| since.elapsed() < SUSPECT_TTL)
    }

    pub fn on_answer(&mut self, store: StoreId) {
        self.suspects.remove(&store);
    }

    /// A call about a batch job to a store failed.
    pub fn on_failure(&mut self, store: StoreId, job: &str) {
        self.suspects.insert(store, Instant::now());
        self.owners.remove(job);
    }
}
