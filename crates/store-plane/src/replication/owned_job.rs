//! A batch job that this store owns, as the runner of its items sees it.

use std::sync::Arc;
use std::time::Duration;

use batch::{ItemResult, Job, JobId, StoreId};
use futures_util::future::BoxFuture;
use tokio::sync::watch;

/// Another store owns the batch job now, or it was ended: none of its items may be run here any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Whether items of a batch job are to be run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// They are.
    Open,
    /// The trainer ended the batch job.
    Ended,
    /// This store no longer owns the batch job.
    OwnershipLost,
}

/// A batch job whose items are to be run here.
#[derive(Debug)]
pub struct OwnedJob<Log = ReplicatedLog> {
    /// Its id.
    pub id: JobId,
    /// The batch job.
    pub job: Arc<Job>,
    /// The `Host` header that it was submitted with.
    pub host: Arc<str>,
    /// The path that it was submitted to.
    pub path: Arc<str>,
    /// A lower bound of the time between its submission and the moment when this store became its owner.
    pub age: Duration,
    /// Results that earlier owners committed.
    pub committed_results: Vec<ItemResult>,
    /// Its log.
    pub log: Log,
}

impl OwnedJob {
    /// Appends results to the log; see [`ReplicatedLog::append`].
    ///
    /// # Errors
    ///
    /// When this store no longer owns the batch job, or the trainer ended it.
    pub async fn append(&self, results: Vec<ItemResult>) -> Result<(), OwnershipLost> {
        self.log.append(results).await
    }

    /// The store that owns the batch job.
    #[must_use]
    pub fn owner(&self) -> StoreId {
        self.log.owner.id()
    }

    /// Whether its items are to be run.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<JobState> {
        self.log.state()
    }
}

/// The part of a store that appends results to the logs of batch jobs that the store owns.
pub(super) trait JobOwner: Send + Sync {
    /// The store.
    fn id(&self) -> StoreId;

    /// Appends results under the ownership that `token` identifies; ready when they are committed.
    fn append_results(
        self: Arc<Self>,
        job: JobId,
        token: u64,
        results: Vec<ItemResult>,
    ) -> BoxFuture<'static, Result<(), OwnershipLost>>;
}

/// The replicated log of a batch job, for as long as this store owns it.
pub struct ReplicatedLog {
    pub(super) job: JobId,
    /// Identifies the ownership; see [`super::state::OwnedEntry::token`].
    pub(super) token: u64,
    pub(super) state: watch::Receiver<JobState>,
    pub(super) owner: Arc<dyn JobOwner>,
}

impl ReplicatedLog {
    /// Appends results, except those of items that have one already; ready when they are committed and can be read.
    ///
    /// # Errors
    ///
    /// When this store no longer owns the batch job, or the trainer ended it.
    pub async fn append(&self, results: Vec<ItemResult>) -> Result<(), OwnershipLost> {
        let owner = Arc::clone(&self.owner);
        owner.append_results(Arc::clone(&self.job), self.token, results).await
    }

    /// Whether items of the batch job are to be run.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<JobState> {
        self.state.clone()
    }
}
