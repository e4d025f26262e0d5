//! Collects the text of an item event by event, and checks that the events are consecutive and of allowed versions.

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::streaming::StreamEvent;

/// What has been collected of the text of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// The data of each event, in order.
    pub events: Vec<Bytes>,
    /// The id of the last event; `None` before the first.
    pub last_event_id: Option<u64>,
    /// The versions of the weights that made the events.
    pub versions: BTreeSet<u64>,
}

/// Which events the collector accepts.
#[derive(Clone, Copy, Debug)]
pub(super) struct CollectorRules {
    /// The oldest version that may make an event; 0 for a text that is made without a model.
    pub(super) oldest_version: u64,
    /// Whether one version must make all of the text.
    pub(super) single_version: bool,
}

/// Why an event was rejected, which ends the run of the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventRejection {
    /// The event does not follow the last one, or its version is unknown or too old.
    InvalidEvent,
    /// A second version would contribute to a text that must be made by one.
    MixedVersions,
}

/// Collects the events of one run.
pub(super) struct EventCollector {
    pub(super) progress: ItemProgress,
    rules: CollectorRules,
    /// The version that makes the next event, if it is known.
    version: Option<u64>,
}

impl EventCollector {
    /// Continues after `progress`; `version` is known to be the one that the server runs.
    pub(super) fn new(progress: ItemProgress, rules: CollectorRules, version: Option<u64>) -> Self {
        Self { progress, rules, version }
    }

    /// Adds an event to the text.
    pub(super) fn add(&mut self, event: &StreamEvent) -> Result<(), EventRejection> {
        if event.is_comment() {
            return Ok(());
        }
        let id = event.id.ok_or(EventRejection::InvalidEvent)?;
        let version = event.version.or(self.version);
        if !self.is_next(id) || !self.is_new_enough(version) {
            return Err(EventRejection::InvalidEvent);
        }
        self.version = version;
        self.progress.versions.extend(version);
        if self.rules.single_version && self.progress.versions.len() > 1 {
            return Err(EventRejection::MixedVersions);
        }
        self.progress.last_event_id = Some(id);
        self.progress.events.push(event.data.clone());
        Ok(())
    }

    fn is_next(&self, id: u64) -> bool {
        match self.progress.last_event_id {
            Some(last) => id == last + 1,
            None => id <= 1,
        }
    }

    fn is_new_enough(&self, version: Option<u64>) -> bool {
        let oldest = self.rules.oldest_version;
        version.map_or(oldest == 0, |version| version >= oldest)
    }
}
