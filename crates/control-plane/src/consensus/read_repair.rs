//! Periodic confirmation that the known committed value is the newest (read repair).

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Proposer;
use crate::ViewCell;

/// The interval between two confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// The shortest pause after a confirmation, however long it took.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Confirms the committed value with a majority at regular intervals, for as long as the process runs. A newer value is
/// adopted; one that is accepted somewhere and not provably committed is committed by a proposal.
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
