//! Collects the text of an item event by event. Checks that the events have consecutive ids and that an
//! allowed version of the weights generated each of them.

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::streaming::StreamEvent;

/// The part of an item's text that has been collected so far, over all of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// The data of each event, ordered by event id.
    pub events: Vec<Bytes>,
    /// The id of the last collected event; `None` if there is none. The next run resumes the stream after it.
    pub last_event_id: Option<u64>,
    /// The versions of the weights that generated the collected events.
    pub versions: BTreeSet<u64>,
}

/// The versions of the weights from which the collector accepts events.
#[derive(Clone, Copy, Debug)]
pub(super) struct CollectorRules {
    /// The oldest version that may generate an event; 0 allows all versions and events of unknown version.
    pub(super) oldest_version: u64,
    /// Whether a single version must generate the entire text.
    pub(super) single_version: bool,
}

/// Reason why an event was rejected. A rejection ends the run of the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventRejection {
    /// The event has no id or its id does not follow the last one, or its version is unknown or too old.
    InvalidEvent,
    /// The event comes from a second version, but a single version must generate the entire text.
    MixedVersions,
}

/// Collector of the events of one run of an item.
pub(super) struct EventCollector {
    pub(super) progress: ItemProgress,
    rules: CollectorRules,
    /// The version that generates the next event unless that event announces another; `None` if unknown.
    version: Option<u64>,
}

impl EventCollector {
    /// Creates a collector that continues after `progress`. `version` is the version that the server runs, if
    /// known.
    pub(super) fn new(progress: ItemProgress, rules: CollectorRules, version: Option<u64>) -> Self {
        Self { progress, rules, version }
    }

    /// Adds an event to the text. Comments are ignored.
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

    /// Whether `id` directly follows the last event. The first event may have the id 0 or 1.
    fn is_next(&self, id: u64) -> bool {
        match self.progress.last_event_id {
            Some(last) => id == last + 1,
            None => id <= 1,
        }
    }

    /// Whether the rules allow the version. An unknown version is only allowed if every version is.
    fn is_new_enough(&self, version: Option<u64>) -> bool {
        let oldest = self.rules.oldest_version;
        version.map_or(oldest == 0, |version| version >= oldest)
    }
}
