//! Versions that servers reported to the leader and that the platform's list, which lags, does not show yet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rollout::{ModelName, ServerId, ServerReport};

use crate::{Leadership, ViewCell};

/// Reports within this time are told to the other processes together.
const GATHERED_FOR: Duration = Duration::from_millis(150);

/// Gathers reported versions for the list of servers.
#[derive(Default)]
pub(crate) struct VersionNews {
    reported: BTreeMap<ServerId, BTreeMap<ModelName, u64>>,
    due: Option<Duration>,
}

impl VersionNews {
    /// Notes the report of a server.
    pub(crate) fn note(&mut self, now: Duration, server: &ServerId, report: &ServerReport) {
        self.reported.insert(Arc::clone(server), report.versions());
        self.due = self.due.or(Some(now + GATHERED_FOR));
    }

    /// When the reports should be told, if there are any.
    pub(crate) fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Tells what was reported, once it is due, as a newer list of the holder of the lease.
    pub(crate) fn publish(&mut self, now: Duration, view: &ViewCell, leadership: &Leadership) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        self.due = None;
        let reported = std::mem::take(&mut self.reported);
        let known = Arc::clone(&view.view().servers);
        let Some(version) = leadership.fence().and_then(|fence| known.version.next_of_leader(fence)) else {
            return;
        };
        let mut newer = state::ServerList { version, ..(*known).clone() };
        newer.raise_versions(&reported);
        if !newer.has_same_servers(&known) {
            view.adopt_servers(newer);
        }
    }
}
