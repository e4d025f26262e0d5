//! The replication progress of one replica, as the owner tracks it.

use std::time::Duration;

use super::log::LogEnd;
use super::term::OwnershipTerm;

/// The last reported state of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerProgress {
    /// Whether the replica has promised the owner's term.
    pub has_promised: bool,
    /// Whether the replica has deleted the batch job under the owner's term.
    pub has_deleted: bool,
    /// Whether a request to the replica has neither been answered nor failed.
    pub is_request_in_flight: bool,
    /// End of the replica's log according to its reports, see [`Self::observe_log_end`]; `None` until the
    /// replica has reported one.
    log_end: Option<LogEnd>,
    /// Number of entries that the replica has if those that it has staged are counted; `None` if it has staged
    /// none under the owner's term.
    pub staged_length: Option<usize>,
    /// Send time, on the caller's clock, of the latest message that the replica acknowledged; `None` if there
    /// is none.
    last_acknowledged: Option<Duration>,
}

impl PeerProgress {
    /// Records that the replica acknowledged a message that was sent at `sent_at`.
    pub fn acknowledge(&mut self, sent_at: Duration) {
        self.last_acknowledged = self.last_acknowledged.max(Some(sent_at));
    }

    /// Whether the replica acknowledged a message that was sent within `window` before `now`.
    pub fn acknowledged_within(&self, window: Duration, now: Duration) -> bool {
        self.last_acknowledged.is_some_and(|sent_at| sent_at.saturating_add(window) >= now)
    }

    /// Records a reported log end. Replies may arrive out of order. Once the replica has accepted entries
    /// under the owner's `term`, its log only grows, so lower reports are ignored; before that, each report
    /// replaces the last.
    pub fn observe_log_end(&mut self, term: OwnershipTerm, reported: LogEnd) {
        self.log_end = match self.log_end {
            Some(previous) if previous.accepted == term => {
                let is_current = reported.accepted == term;
                let length = if is_current { previous.length.max(reported.length) } else { previous.length };
                Some(LogEnd { accepted: term, length })
            }
            _ => Some(reported),
        };
    }

    /// Returns the number of entries of the replica's log if it was last written under the owner's `term`;
    /// otherwise `None`.
    pub fn length_under(&self, term: OwnershipTerm) -> Option<usize> {
        self.log_end.filter(|end| end.accepted == term).map(|end| end.length)
    }

    /// Whether the replica has reported a log that is more advanced than one with the end `other`.
    pub fn is_ahead_of(&self, other: LogEnd) -> bool {
        self.log_end.is_some_and(|end| end > other)
    }

    /// Returns the index of the first entry that the replica may lack, neither in its log nor staged. The
    /// owner of `term` adopted a log with the end `adopted`.
    pub fn next_index(&self, term: OwnershipTerm, adopted: LogEnd) -> usize {
        match self.log_end {
            Some(end) if end.accepted == term => end.length,
            _ if self.staged_length.is_some() => self.staged_length.unwrap_or_default(),
            Some(end) if end.accepted == adopted.accepted => end.length.min(adopted.length),
            Some(_) => 0,
            None => adopted.length,
        }
    }
}
