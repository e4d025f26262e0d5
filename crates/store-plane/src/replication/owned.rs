//! A batch job that this store owns, as the runner of its items sees it.

use std::sync::Arc;
use std::time::Duration;

use batch::{ItemResult, Job, JobId, StoreId};
use tokio::sync::watch;

use super::store::Shared;

/// Another store owns the batch job now, or it was ended: nothing more of it is to be run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Whether items of a batch job are to be run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// They are.
    Open,
    /// The trainer ended it.
    Ended,
    /// This store does not own it any more.
    OwnershipLost,
}

/// A batch job that this store owns.
pub struct OwnedJob {
    /// Its id.
    pub id: JobId,
    /// The batch job.
    pub job: Arc<Job>,
    /// The `Host` that it was handed in with.
    pub host: Arc<str>,
    /// The path that it was handed in at.
    pub path: Arc<str>,
    /// How long ago it was handed in, at least, when this store began to own it. Never more than the truth.
    pub age: Duration,
    /// Results that are listed already.
    pub committed_results: Vec<ItemResult>,
    pub(super) token: u64,
    pub(super) state: watch::Receiver<JobState>,
    pub(super) shared: Arc<Shared>,
}

impl OwnedJob {
    /// Lists results, those of items that are listed already excepted; done when they can be read.
    ///
    /// # Errors
    ///
    /// When this store does not own the batch job any more, or it was ended.
    pub async fn append(&self, results: Vec<ItemResult>) -> Result<(), OwnershipLost> {
        self.shared.list(&self.id, self.token, results).await
    }

    /// The store that owns it.
    #[must_use]
    pub fn owner(&self) -> StoreId {
        self.shared.id()
    }

    /// Whether its items are to be run.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<JobState> {
        self.state.clone()
    }
}
