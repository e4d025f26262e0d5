//! Connects a [`JobStore`](crate::JobStore) to the runner: runs the batch jobs that the store owns.

use std::sync::Arc;

use batch::{Item, ItemOutline, ItemResult, LoadError};
use data_plane::Forwarder;
use tokio::sync::{mpsc, watch};

use super::forwarder_executor::ForwarderExecutor;
use super::ports::{JobLog, JobState, OwnershipLost};
use super::{Runner, RunnerSettings};
use crate::{OwnedJob, ReplicatedLog};

impl JobLog for ReplicatedLog {
    async fn append(&self, results: Vec<ItemResult>) -> Result<(), OwnershipLost> {
        Self::append(self, results).await
    }

    async fn load_item(&self, item: &ItemOutline) -> Result<Item, LoadError> {
        Self::load_item(self, item).await
    }

    fn state(&self) -> watch::Receiver<JobState> {
        Self::state(self)
    }
}

/// Runs the items of all batch jobs received from `owned_jobs`, through `forwarder`, until the channel is
/// closed.
pub async fn run_owned_jobs(
    mut owned_jobs: mpsc::UnboundedReceiver<OwnedJob>,
    forwarder: Forwarder,
    settings: RunnerSettings,
) {
    let (runner, handle) = Runner::new(Arc::new(ForwarderExecutor::new(forwarder)), settings);
    let forward = async {
        while let Some(job) = owned_jobs.recv().await {
            handle.run_job(job);
        }
    };
    tokio::select! {
        () = runner.run() => {}
        () = forward => {}
    }
}
