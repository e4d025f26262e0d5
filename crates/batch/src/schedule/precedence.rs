//! The order in which several batch jobs start their next items.

use std::time::Duration;

use super::ItemCandidate;

/// Results that the trainer reads within this time after the due time still have their full value.
const DUE_TOLERANCE: Duration = Duration::from_millis(700);

/// Priority class of an item. Items of a smaller class, in the derived order, start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The trainer waits for the item, and it can be finished in time.
    InTime,
    /// The trainer waits for the item, but it will miss the due time.
    Late,
    /// The trainer does not wait for the item.
    Surplus,
}

/// Remaining work of a batch job and estimates of when it will be finished. Times are on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobForecast {
    /// Time at which the batch job is due.
    pub due: Duration,
    /// Number of items that the trainer waits for and whose text is not complete.
    pub needed_remaining: usize,
    /// Number of items in the phase [`ItemPhase::Streaming`](super::ItemPhase::Streaming).
    pub streaming: usize,
    /// Estimated time at which an item that starts now will be finished.
    pub item_finished: Duration,
    /// Estimated time at which the last needed item will be finished if no other batch job runs.
    pub all_finished: Duration,
}

/// Sort key of the next items of several batch jobs; the smallest starts first. The derived order compares
/// the fields in the order of their declaration.
///
/// Of the items that are in time, those of batch jobs behind schedule start first, earliest due first. Among
/// batch jobs on schedule, the one with the fewest needed items goes first, so that trainers wait as briefly
/// as possible (shortest job first).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Priority class of the item.
    pub urgency: Urgency,
    /// Whether the item is in time and all needed items will be finished by the due time.
    pub on_schedule: bool,
    /// Number of needed items, if the batch job is on schedule; otherwise 0.
    pub remaining: usize,
    /// Time at which the batch job is due.
    pub due: Duration,
    /// Number of streaming items: of two otherwise equal batch jobs, the one with fewer streams goes first.
    pub streaming: usize,
}

impl Precedence {
    /// Returns the precedence of `candidate`, the next item of a batch job with this forecast.
    #[must_use]
    pub fn new(candidate: ItemCandidate, forecast: JobForecast) -> Self {
        let urgency = match candidate.needed {
            false => Urgency::Surplus,
            true if forecast.item_finished <= forecast.due + DUE_TOLERANCE => Urgency::InTime,
            true => Urgency::Late,
        };
        let on_schedule = urgency == Urgency::InTime && forecast.all_finished <= forecast.due;
        let remaining = if on_schedule { forecast.needed_remaining } else { 0 };
        Self { urgency, on_schedule, remaining, due: forecast.due, streaming: forecast.streaming }
    }
}
