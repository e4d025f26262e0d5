//! The progress of one replica, from the point of view of the owner.

use std::time::Duration;

use super::log::LogEnd;
use super::term::OwnershipTerm;

/// The last reported state of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerProgress {
    /// It promised the owner's term.
    pub has_promised: bool,
    /// It deleted the batch job under the owner's term.
    pub has_deleted: bool,
    /// A request was sent to it and neither a reply nor a failure came back.
    pub is_request_in_flight: bool,
    /// The end of its log; `None` until it has reported one.
    log_end: Option<LogEnd>,
    /// When the latest request that it acknowledged was sent, on the caller's clock.
    last_acknowledged: Option<Duration>,
}

impl PeerProgress {
    /// Notes that it acknowledged a request that was sent at `sent_at`.
    pub fn acknowledge(&mut self, sent_at: Duration) {
        self.last_acknowledged = self.last_acknowledged.max(Some(sent_at));
    }

    /// Whether it acknowledged a request that was sent within `window` before `now`.
    pub fn acknowledged_within(&self, window: Duration, now: Duration) -> bool {
        self.last_acknowledged.is_some_and(|sent_at| sent_at.saturating_add(window) >= now)
    }

    /// Notes a reported log end. Replies may overtake each other: what the replica has under the owner's `term` only
    /// grows, while what it had before that is replaced by each report.
    pub fn observe_log_end(&mut self, term: OwnershipTerm, reported: LogEnd) {
        self.log_end = match self.log_end {
            Some(known) if known.accepted == term => {
                let is_current = reported.accepted == term;
                let length = if is_current { known.length.max(reported.length) } else { known.length };
                Some(LogEnd { accepted: term, length })
            }
            _ => Some(reported),
        };
    }

    /// Number of entries that it has under the owner's `term`; `None` if it accepted none yet.
    pub fn length_under(&self, term: OwnershipTerm) -> Option<usize> {
        self.log_end.filter(|end| end.accepted == term).map(|end| end.length)
    }

    /// Index of the first entry that it may lack, if the owner of `term` adopted a log with the end `adopted`.
    pub fn next_index(&self, term: OwnershipTerm, adopted: LogEnd) -> usize {
        match self.log_end {
            Some(end) if end.accepted == term => end.length,
            Some(end) if end.accepted == adopted.accepted => end.length.min(adopted.length),
            Some(_) => 0,
            None => adopted.length,
        }
    }
}
