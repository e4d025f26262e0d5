//! Which process reads the platform's list, and how often.

use std::sync::Arc;
use std::time::Duration;

use state::ServerListVersion;
use tokio::time::Instant;

use super::ListSource;
use crate::{Leadership, ViewCell};

/// How often the leader reads.
const LEADER_INTERVAL: Duration = Duration::from_millis(900);
/// The leader gives the list a new version after this time, even if unchanged, so that lists that other processes read
/// for themselves are replaced.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// The pause after the platform rejected a call or returned no list: all nodes together may make few calls.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// How often the reader checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// The longest random addition to a pause, as a fraction of it.
const JITTER: f64 = 0.5;

/// Reads the platform's list for this process.
pub struct ListReader {
    /// The platform.
    pub platform: Arc<dyn ListSource>,
    /// Whether this process is the leader.
    pub leadership: Arc<Leadership>,
    /// Where the list is adopted.
    pub view: Arc<ViewCell>,
    /// A process that is not the leader reads for itself once its list is older than this, with jitter.
    pub own_read_after: Duration,
}

impl ListReader {
    /// Reads the list at regular intervals while this process is the leader, and otherwise only when the list has become
    /// too old. Runs for as long as the process does.
    pub async fn run(self) {
        let mut renewed_at = Instant::now();
        let mut own_interval = with_jitter(self.own_read_after);
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if !self.is_due(own_interval) {
                continue;
            }
            let started_at = Instant::now();
            match self.platform.read(ServerListVersion::default()).await {
                Ok(list) => {
                    own_interval = with_jitter(self.own_read_after);
                    let renew = renewed_at.elapsed() > RENEW_INTERVAL;
                    if self.view.adopt_reading(list, started_at, self.leadership.fence(), renew) {
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

    /// Whether the list is too old. A leader reads at the check that is closest to its interval.
    fn is_due(&self, own_interval: Duration) -> bool {
        let is_leader = self.leadership.fence().is_some();
        let max_age =
            if is_leader { LEADER_INTERVAL.saturating_sub(CHECK_INTERVAL / 2) } else { own_interval };
        self.view.servers_age().is_none_or(|age| age >= max_age)
    }
}

fn with_jitter(pause: Duration) -> Duration {
    pause + pause.mul_f64(fastrand::f64() * JITTER)
}
