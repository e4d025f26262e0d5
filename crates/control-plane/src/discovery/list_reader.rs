//! Reading of the platform's server list: which process reads it, and how often.

use std::sync::Arc;
use std::time::Duration;

use state::ServerListVersion;
use tokio::time::Instant;

use super::ListSource;
use crate::{Leadership, ViewCell};

/// Interval at which the leader reads the list.
const LEADER_INTERVAL: Duration = Duration::from_millis(900);
/// Time after which the leader gives the list a new version even if it is unchanged, so that it replaces
/// lists that other processes have read for themselves.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// Pause, before jitter, after the platform rejected a call or returned no list. The platform limits the rate
/// of the calls of all nodes together.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Interval at which the reader checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum random addition to a pause or to the age of a stale list, as a fraction of it.
const JITTER: f64 = 0.5;

/// Task that reads the platform's server list.
pub struct ListReader {
    /// Source of the complete server list.
    pub platform: Arc<dyn ListSource>,
    /// Leadership of this process, which yields the fencing token while this process is the leader.
    pub leadership: Arc<Leadership>,
    /// View that adopts the list.
    pub view: Arc<ViewCell>,
    /// Age, before jitter, from which a list counts as stale. A process that is not the leader then reads the
    /// platform's list itself.
    pub stale_after: Duration,
}

impl ListReader {
    /// Reads the list at regular intervals while this process is the leader, and otherwise only if the list
    /// has become too old. Runs until the process ends.
    pub async fn run(self) {
        let mut renewed_at = Instant::now();
        let mut stale_age = with_jitter(self.stale_after);
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if !self.is_due(stale_age) {
                continue;
            }
            let started_at = Instant::now();
            match self.platform.read(ServerListVersion::default()).await {
                Ok(list) => {
                    stale_age = with_jitter(self.stale_after);
                    let renew = renewed_at.elapsed() > RENEW_INTERVAL;
                    if self.view.adopt_platform_list(list, started_at, self.leadership.fence(), renew) {
                        renewed_at = started_at;
                    }
                }
                Err(error) => {
                    log::warn!("{error}");
                    tokio::time::sleep(with_jitter(RETRY_PAUSE)).await;
                }
            }
        }
    }

    /// Returns whether the list is old enough to be read again. A leader reads at the check that is closest
    /// to the end of its interval.
    fn is_due(&self, stale_age: Duration) -> bool {
        let is_leader = self.leadership.fence().is_some();
        let max_age = if is_leader { LEADER_INTERVAL.saturating_sub(CHECK_INTERVAL / 2) } else { stale_age };
        self.view.servers_age().is_none_or(|age| age >= max_age)
    }
}

fn with_jitter(pause: Duration) -> Duration {
    pause + pause.mul_f64(fastrand::f64() * JITTER)
}
