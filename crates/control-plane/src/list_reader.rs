//! Who reads the platform's list, and when.

use std::sync::Arc;
use std::time::Duration;

use state::ServerListVersion;
use tokio::time::Instant;

use crate::{Leadership, ListSource, ViewCell};

/// How often the leader reads.
const LEADER_EVERY: Duration = Duration::from_millis(900);
/// The leader gives the list a new version after this time, changed or not, so that what others read for
/// themselves gives way.
const RENEW_AFTER: Duration = Duration::from_secs(5);
/// Pause after the platform refused a call or gave no list; all nodes together may make few calls.
const FAILED_PAUSE: Duration = Duration::from_millis(700);
/// How often is looked whether it is time to read.
const TICK: Duration = Duration::from_millis(150);

/// Reads the list while this process leads; otherwise only where nothing was heard of it for `own_after`.
pub async fn run_list_reader(
    platform: Arc<dyn ListSource>,
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    own_after: Duration,
) {
    let mut renewed_at = Instant::now();
    let mut own_wait = own_after + jitter(own_after);
    loop {
        tokio::time::sleep(TICK).await;
        let fence = leadership.fence();
        let age = view.servers_age();
        let due = if fence.is_some() { LEADER_EVERY.saturating_sub(TICK / 2) } else { own_wait };
        if age.is_some_and(|age| age < due) {
            continue;
        }
        let began = Instant::now();
        match platform.read(ServerListVersion::default()).await {
            Ok(list) => {
                own_wait = own_after + jitter(own_after);
                let renews = renewed_at.elapsed() > RENEW_AFTER;
                if view.adopt_reading(list, began, leadership.fence(), renews) {
                    renewed_at = began;
                }
            }
            Err(error) => {
                log::warn!("{error}");
                tokio::time::sleep(FAILED_PAUSE + jitter(FAILED_PAUSE)).await;
            }
        }
    }
}

fn jitter(most: Duration) -> Duration {
    most.mul_f64(fastrand::f64() * 0.5)
}
