//! Substitute for the item runner of a store: generates the text of each item of a batch job after a random
//! time.

use std::time::Duration;

use batch::{ItemCondition, ItemResult};
use store_plane::{JobState, OwnedJob};
use tokio::sync::mpsc;

use crate::model_server::generated_text;

/// Divisor that gives the shortest run time of an item from the longest one.
const MIN_DURATION_DIVISOR: u64 = 10;

/// Pause before an item that could not be read is loaded again.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Runs each batch job of which the store becomes the owner. Runs of items take `max_item_duration` at most. Returns when the store has dropped the sender of
/// `owned`.
pub(crate) async fn run_jobs(mut owned: mpsc::UnboundedReceiver<OwnedJob>, max_item_duration: Duration) {
    while let Some(job) = owned.recv().await {
        tokio::spawn(run_job(job, max_item_duration));
    }
}

/// Runs the items without a committed result one after another and appends a result for each. Stops when the
/// batch job is no longer open or a result cannot be appended.
async fn run_job(owned: OwnedJob, max_item_duration: Duration) {
    let longest_ms = max_item_duration.as_millis() as u64;
    let duration_ms = longest_ms / MIN_DURATION_DIVISOR..longest_ms;
    let state = owned.state();
    let pending = owned.job.items.iter().filter(|item| !owned.items_with_results.contains(&item.id));
    for item in pending {
        tokio::time::sleep(Duration::from_millis(fastrand::u64(duration_ms.clone()))).await;
        if *state.borrow() != JobState::Open {
            return;
        }
        let item = loop {
            match owned.load_item(item).await {
                Ok(item) => break item,
                Err(_) => tokio::time::sleep(LOAD_RETRY_PAUSE).await,
            }
            if *state.borrow() != JobState::Open {
                return;
            }
        };
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
