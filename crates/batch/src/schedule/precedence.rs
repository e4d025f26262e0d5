//! Which of several batch jobs starts its next item first.

use std::time::Duration;

use super::ItemCandidate;

/// Results that are read within this time after the due time still earn their full value.
const DUE_TOLERANCE: Duration = Duration::from_millis(700);

/// The value of starting an item; the smaller class goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The trainer waits for it and it can still be in time.
    InTime,
    /// The trainer waits for it, but it will miss the due time.
    Late,
    /// The trainer does not wait for it.
    Surplus,
}

/// An estimate of what the rest of a batch job takes. Times are on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobForecast {
    /// When the batch job is due.
    pub due: Duration,
    /// Number of items that the trainer waits for and whose output is not complete.
    pub needed_remaining: usize,
    /// Number of items that are streaming already.
    pub streaming: usize,
    /// When an item that starts now will be finished.
    pub item_finished: Duration,
    /// When the last of the needed items will be finished, if nothing else is run.
    pub all_finished: Duration,
}

/// Orders the next items of several batch jobs; the smallest starts first. The derived order compares the fields in
/// their order.
///
/// Among batch jobs that are on schedule, the one with the fewest needed items goes first, since that lets trainers
/// go on soonest (shortest job first). Batch jobs that are behind schedule go before these, the earliest due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// The value of starting the item.
    pub urgency: Urgency,
    /// Whether all needed items will be finished by the due time.
    pub on_schedule: bool,
    /// Number of needed items, if the batch job is on schedule; otherwise 0.
    pub remaining: usize,
    /// When the batch job is due.
    pub due: Duration,
    /// Number of items that are streaming already: of two equal batch jobs, the one with fewer goes first.
    pub streaming: usize,
}

impl Precedence {
    /// The precedence of the next item of a batch job with this forecast.
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
