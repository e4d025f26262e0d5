//! What the runner needs of the parts around it: something that carries out requests, and the log of a batch job.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use batch::{Item, ItemResult, Job, RewardRequest};
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant;

pub use crate::replication::{JobState, OwnedJob, OwnershipLost};
pub use data_plane::{ItemOutcome, ItemProgress, RewardOutcome};

/// What the route of a batch job demands of its items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTerms {
    /// Answers of 500 after which an item may be given up.
    pub tries: u32,
    /// Whether one version of the weights must make a whole text.
    pub single_version: bool,
    /// All results are due this long after the hand-in.
    pub delivery_due: Duration,
    /// An item may be given up this long after the hand-in.
    pub shelf_life: Duration,
}

/// Identifies the batch job of a request, and with it the route that the request takes.
#[derive(Clone, Debug)]
pub struct JobAddress {
    /// The host that the batch job was handed in for.
    pub host: Arc<str>,
    /// The path that it was handed in at.
    pub path: Arc<str>,
    /// The model that makes the texts.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may make an event.
    pub oldest_version: u64,
}

/// One run of an item at a server.
#[derive(Clone, Debug)]
pub struct ItemAttempt {
    /// Where it belongs.
    pub address: JobAddress,
    /// The batch job that holds the item.
    pub job: Arc<Job>,
    /// The item's place in the batch job.
    pub index: usize,
    /// The decoded body.
    pub body: Bytes,
    /// The events to go on from; empty to start anew.
    pub progress: ItemProgress,
    /// The run is interrupted at this time.
    pub deadline: Instant,
}

impl ItemAttempt {
    /// The item.
    #[must_use]
    pub fn item(&self) -> &Item {
        &self.job.items[self.index]
    }
}

/// Carries out requests at servers.
pub trait ItemExecutor: Send + Sync + 'static {
    /// The terms of the route in force; `None` where no route matches.
    fn terms(&self, host: &str, path: &str) -> Option<RouteTerms>;

    /// Items that could start at once.
    fn room(&self, address: &JobAddress) -> usize;

    /// Items that could run at once if all servers were idle.
    fn places(&self, address: &JobAddress) -> usize;

    /// Whether a server can go on with a text whose events were made by `versions`.
    fn can_continue(&self, address: &JobAddress, versions: &BTreeSet<u64>) -> bool;

    /// Runs an item at one server. Dropping the future closes the connection, which stops the server.
    fn run_item(&self, attempt: ItemAttempt) -> impl Future<Output = ItemOutcome> + Send;

    /// Makes a reward call.
    fn reward(
        &self,
        request: RewardRequest,
        body: Bytes,
        deadline: Duration,
    ) -> impl Future<Output = RewardOutcome> + Send;
}

/// The replicated log of a batch job, as its owner uses it.
pub trait JobLog: Send + Sync + 'static {
    /// Lists results; returns when they are committed.
    fn append(&self, results: Vec<ItemResult>) -> impl Future<Output = Result<(), OwnershipLost>> + Send;

    /// Whether the batch job may still be run.
    fn state(&self) -> watch::Receiver<JobState>;
}
