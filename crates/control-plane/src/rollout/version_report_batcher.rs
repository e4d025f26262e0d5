//! Versions that servers reported to the leader and that the platform's list, which lags, does not contain yet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rollout::{ModelName, ServerId, ServerReport};
use state::ServerList;

use crate::{Leadership, ViewCell};

/// Reports that arrive within this time are distributed together.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Collects reported versions for the next server list.
#[derive(Default)]
pub(super) struct VersionReportBatcher {
    reported: BTreeMap<ServerId, BTreeMap<ModelName, u64>>,
    due_at: Option<Duration>,
}

impl VersionReportBatcher {
    /// Adds the report of a server.
    pub(super) fn add(&mut self, now: Duration, server: &ServerId, report: &ServerReport) {
        self.reported.insert(Arc::clone(server), report.versions());
        self.due_at = self.due_at.or(Some(now + BATCH_INTERVAL));
    }

    /// When the batch is to be published; `None` while it is empty.
    pub(super) fn due_at(&self) -> Option<Duration> {
        self.due_at
    }

    /// Publishes the batch, once it is due, as a newer server list of the leader. Dropped where this process is not the
    /// leader any more.
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
            view.adopt_servers(newer);
        }
    }
}
