//! Substitute for the item runner of a store: generates the text of each item of a batch job after a random
//! time.

use std::time::Duration;

use batch::{ItemCondition, ItemResult};
use store_plane::{JobState, OwnedJob};
use tokio::sync::mpsc;

use crate::model_server::generated_text;

/// Range of the run time of an item, in milliseconds.
const ITEM_DURATION_MS: std::ops::Range<u64> = 20..200;

/// Runs each batch job of which the store becomes the owner. Returns when the store has dropped the sender of
/// `owned`.
pub(crate) async fn run_jobs(mut owned: mpsc::UnboundedReceiver<OwnedJob>) {
    while let Some(job) = owned.recv().await {
        tokio::spawn(run_job(job));
    }
}

/// Runs the items without a committed result one after another and appends a result for each. Stops when the
/// batch job is no longer open or a result cannot be appended.
async fn run_job(owned: OwnedJob) {
    let state = owned.state();
    let pending = owned.job.items.iter().filter(|item| !owned.items_with_results.contains(&item.id));
    for item in pending {
        tokio::time::sleep(Duration::from_millis(fastrand::u64(ITEM_DURATION_MS))).await;
        if *state.borrow() != JobState::Open {
            return;
        }
        let result = ItemResult {
            id: item.id.clone(),
            condition: ItemCondition::Delivered,
            text: generated_text(&item.id),
            versions: vec![1],
            grade: None,
        };
        if owned.append(vec![result]).await.is_err() {
            return;
        }
    }
}
