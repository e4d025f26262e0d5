//! The runner of the batch jobs that a [`JobStore`](crate::JobStore) owns.

use std::sync::Arc;

use batch::ItemResult;
use data_plane::Forwarder;
use tokio::sync::{mpsc, watch};

use crate::runner::ports::{JobLog, JobState, OwnershipLost, RunnableJob};
use crate::runner::sender::SenderExecutor;
use crate::runner::{Runner, RunnerSettings};
use crate::OwnedJob;

impl JobLog for OwnedJob {
    async fn append(&self, results: Vec<ItemResult>) -> Result<(), OwnershipLost> {
        Self::append(self, results).await
    }

    fn state(&self) -> watch::Receiver<JobState> {
        Self::state(self)
    }
}

impl From<OwnedJob> for RunnableJob<OwnedJob> {
    fn from(mut owned: OwnedJob) -> Self {
        Self {
            id: Arc::clone(&owned.id),
            job: Arc::clone(&owned.job),
            host: Arc::clone(&owned.host),
            path: Arc::clone(&owned.path),
            age: owned.age,
            committed_results: std::mem::take(&mut owned.committed_results),
            log: owned,
        }
    }
}

/// Runs the items of all batch jobs that come from `owned` by `sender`, until there can come no more.
pub async fn run_owned_jobs(
    mut owned: mpsc::UnboundedReceiver<OwnedJob>,
    forwarder: Forwarder,
    settings: RunnerSettings,
) {
    let (runner, handle) = Runner::new(Arc::new(SenderExecutor::new(forwarder)), settings);
    let forward = async {
        while let Some(job) = owned.recv().await {
            handle.take_over(job.into());
        }
    };
    tokio::select! {
        () = runner.run() => {}
        () = forward => {}
    }
}
