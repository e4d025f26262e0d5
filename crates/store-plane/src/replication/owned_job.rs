//! A batch job that this store owns, in the form that is passed to the runner.

use std::sync::Arc;
use std::time::Duration;

use batch::{Item, ItemId, ItemOutline, ItemResult, JobId, JobOutline, LoadError, LogEntry, StoreId};
use futures_util::future::BoxFuture;
use tokio::sync::watch;

/// Error of an append: this store no longer owns the batch job, or the trainer has ended it. Its items must
/// no longer be run by this store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLost;

/// Whether this store runs the items of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// This store owns the batch job and runs its items.
    Open,
    /// The trainer ended the batch job.
    Ended,
    /// This store no longer owns the batch job.
    OwnershipLost,
}

/// A batch job whose items this store runs.
#[derive(Debug)]
pub struct OwnedJob<Log = ReplicatedLog> {
    /// Id of the batch job.
    pub id: JobId,
    /// The batch job without the requests of its items; see [`OwnedJob::load_item`].
    pub job: Arc<JobOutline>,
    /// The `Host` header of the submission.
    pub host: Arc<str>,
    /// The path of the submission.
    pub path: Arc<str>,
    /// A lower bound of the time from the submission to the moment when this store became the owner.
    pub age: Duration,
    /// The items whose results are committed already, by earlier owners; they need not be run.
    pub items_with_results: Vec<ItemId>,
    /// The log that results are appended to.
    pub log: Log,
}

impl OwnedJob {
    /// Appends results to the log; see [`ReplicatedLog::append`].
    ///
    /// # Errors
    ///
    /// Fails if this store no longer owns the batch job, or the trainer ended it.
    pub async fn append(&self, results: Vec<ItemResult>) -> Result<(), OwnershipLost> {
        self.log.append(results).await
    }

    /// Returns an item; see [`ReplicatedLog::load_item`].
    ///
    /// # Errors
    ///
    /// Fails if the item cannot be read.
    pub async fn load_item(&self, item: &ItemOutline) -> Result<Item, LoadError> {
        self.log.load_item(item).await
    }

    /// Returns the id of the store that owns the batch job, which is the store that passed it to the runner.
    #[must_use]
    pub fn owner(&self) -> StoreId {
        self.log.owner.id()
    }

    /// Returns a receiver of the state, which shows whether this store still runs items of the batch job.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<JobState> {
        self.log.state()
    }
}

/// The part of a store that accesses the logs of batch jobs that the store owns.
pub(super) trait JobOwner: Send + Sync {
    /// Returns the id of the store.
    fn id(&self) -> StoreId;

    /// Appends results under the ownership that `token` identifies; completes when they are committed.
    fn append_results(
        self: Arc<Self>,
        job: JobId,
        token: u64,
        results: Vec<ItemResult>,
    ) -> BoxFuture<'static, Result<(), OwnershipLost>>;

    /// Returns an item of a batch job that was submitted with the entry `submission`.
    fn load_item(
        self: Arc<Self>,
        job: JobId,
        submission: LogEntry,
        item: ItemOutline,
    ) -> BoxFuture<'static, Result<Item, LoadError>>;
}

/// The replicated log of a batch job, for as long as this store owns it.
pub struct ReplicatedLog {
    pub(super) job: JobId,
    /// Identity of the ownership; see [`super::state::OwnedEntry::token`].
    pub(super) token: u64,
    /// The first entry of the log.
    pub(super) submission: LogEntry,
    pub(super) state: watch::Receiver<JobState>,
    /// The store that owns the batch job.
    pub(super) owner: Arc<dyn JobOwner>,
}

impl ReplicatedLog {
    /// Appends results, except for items that have a result already. Completes when the results are committed
    /// and can be read.
    ///
    /// # Errors
    ///
    /// Fails if this store no longer owns the batch job, or the trainer ended it.
    pub async fn append(&self, results: Vec<ItemResult>) -> Result<(), OwnershipLost> {
        let owner = Arc::clone(&self.owner);
        owner.append_results(Arc::clone(&self.job), self.token, results).await
    }

    /// Returns an item, which is read from the disk if what was submitted is not in memory.
    ///
    /// # Errors
    ///
    /// Fails if the item cannot be read.
    pub async fn load_item(&self, item: &ItemOutline) -> Result<Item, LoadError> {
        let owner = Arc::clone(&self.owner);
        owner.load_item(Arc::clone(&self.job), self.submission.clone(), item.clone()).await
    }

    /// Returns a receiver of the state, which shows whether this store still runs items of the batch job.
    #[must_use]
    pub fn state(&self) -> watch::Receiver<JobState> {
        self.state.clone()
    }
}
