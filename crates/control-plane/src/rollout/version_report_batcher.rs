//! Batches of model versions that servers have reported to the leader. The platform's list lags behind the
//! servers and may not contain these versions yet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rollout::{ModelName, ServerId, ServerReport};
use state::ServerList;

use crate::{Leadership, ViewCell};

/// Minimum time for which reports are collected before they are distributed together.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which reports are collected, for each listed server. In a large fleet reports arrive continuously
/// and each list costs every process more, so lists are distributed less often.
const BATCH_INTERVAL_PER_SERVER: Duration = Duration::from_micros(120);
/// Maximum time for which reports are collected before they are distributed together.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(450);

/// Batch of reported versions for the next server list.
#[derive(Default)]
pub(super) struct VersionReportBatcher {
    reported: BTreeMap<ServerId, BTreeMap<ModelName, u64>>,
    due_at: Option<Duration>,
}

impl VersionReportBatcher {
    /// Adds the report of a server; `listed` is the number of servers in the server list, which determines
    /// how long the batch is collected.
    pub(super) fn add(&mut self, now: Duration, server: &ServerId, report: &ServerReport, listed: usize) {
        self.reported.insert(Arc::clone(server), report.versions());
        self.due_at = self.due_at.or(Some(now + batch_interval(listed)));
    }

    /// Returns the time at which the batch is to be published, or `None` if it is empty.
    pub(super) fn due_at(&self) -> Option<Duration> {
        self.due_at
    }

    /// Publishes the batch, once it is due, as a newer server list of the leader. Drops the batch if this
    /// process is no longer the leader.
    pub(super) fn publish(&mut self, now: Duration, view: &ViewCell, leadership: &Leadership) {
        if self.due_at.is_none_or(|due_at| now < due_at) {
            return;
        }
        self.due_at = None;
        let reported = std::mem::take(&mut self.reported);
        let present = Arc::clone(&view.view().servers);
        let Some(version) = leadership.fence().and_then(|fence| present.version.next_of_leader(fence)) else {
            return;
        };
        let mut newer = ServerList { version, ..(*present).clone() };
        newer.raise_versions(&reported);
        if !newer.has_same_servers(&present) {
            view.adopt_servers(Arc::new(newer));
        }
    }
}

/// Returns the time for which reports are collected in a fleet of this many servers.
fn batch_interval(servers: usize) -> Duration {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    BATCH_INTERVAL_PER_SERVER.saturating_mul(servers).clamp(MIN_BATCH_INTERVAL, MAX_BATCH_INTERVAL)
}
