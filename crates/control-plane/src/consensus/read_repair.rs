//! Read repair: periodic confirmation that the committed value of this process is the newest.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Proposer;
use crate::ViewCell;

/// Interval between the starts of two confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum pause after a confirmation, even if it took longer than the interval.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Confirms the committed value with a majority at regular intervals. Adopts a newer committed value, and
/// commits by a proposal a newer value that is accepted but not provably committed. Runs until the process
/// ends.
pub async fn run_read_repair(view: Arc<ViewCell>, proposer: Arc<Proposer>) {
    loop {
        let started_at = Instant::now();
        if let Some(known) = view.committed() {
            proposer.contacts().begin_round(&known.value.acceptors);
            proposer.confirm(known, started_at).await;
        }
        let pause = CONFIRM_INTERVAL.saturating_sub(started_at.elapsed());
        tokio::time::sleep(pause.max(MIN_PAUSE)).await;
    }
}
