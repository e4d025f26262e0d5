//! Schedule of the report requests to one server.

use std::time::Duration;

use crate::pacing::Pacing;

/// Factor by which the interval between two reports about one order grows.
const INTERVAL_GROWTH: f64 = 1.5;

/// Schedule of the next report of one server. At most one report is scheduled or in flight at a time.
#[derive(Clone, Debug)]
pub(crate) struct ReportSchedule {
    state: ReportState,
    /// Delay between the next report and the one after it.
    interval: Duration,
}

/// State of the next report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    /// No report is scheduled or in flight.
    NotNeeded,
    /// A report is scheduled to be requested at this time.
    DueAt(Duration),
    /// A report was requested, and its outcome is pending.
    InFlight { requested_at: Duration },
}

impl ReportSchedule {
    /// Creates a schedule without a report.
    pub(crate) fn new(pacing: &Pacing) -> Self {
        Self { state: ReportState::NotNeeded, interval: pacing.initial_report_interval }
    }

    /// Schedules a report for `due`. It replaces one that is scheduled or in flight.
    pub(crate) fn schedule(&mut self, due: Duration) {
        self.state = ReportState::DueAt(due);
    }

    /// Schedules the first report about an order for `due`, and resets the interval to its initial value.
    pub(crate) fn schedule_first(&mut self, due: Duration, pacing: &Pacing) {
        self.interval = pacing.initial_report_interval;
        self.schedule(due);
    }

    /// Schedules a further report about the same order after the current interval, and increases the
    /// interval.
    pub(crate) fn schedule_next(&mut self, now: Duration, pacing: &Pacing) {
        self.schedule(now + self.interval);
        self.interval = self.interval.mul_f64(INTERVAL_GROWTH).min(pacing.max_report_interval);
    }

    /// Schedules a report for now unless one is scheduled or in flight.
    pub(crate) fn ensure_scheduled(&mut self, now: Duration) {
        if self.state == ReportState::NotNeeded {
            self.schedule(now);
        }
    }

    /// Cancels the report that is scheduled or in flight. Of a report that arrives later, only the versions
    /// are used.
    pub(crate) fn cancel(&mut self) {
        self.state = ReportState::NotNeeded;
    }

    /// Returns whether a report is due. If so, it counts as in flight, and the caller must request it
    /// immediately.
    pub(crate) fn take_due(&mut self, now: Duration) -> bool {
        let is_due = matches!(self.state, ReportState::DueAt(due) if due <= now);
        if is_due {
            self.state = ReportState::InFlight { requested_at: now };
        }
        is_due
    }

    /// Returns the time at which the report in flight was requested; `None` if none is in flight.
    pub(crate) fn in_flight_since(&self) -> Option<Duration> {
        match self.state {
            ReportState::InFlight { requested_at } => Some(requested_at),
            _ => None,
        }
    }

    /// Returns the time at which the next report is due or the one in flight times out; `None` if there is
    /// neither.
    pub(crate) fn next_deadline(&self, pacing: &Pacing) -> Option<Duration> {
        match self.state {
            ReportState::NotNeeded => None,
            ReportState::DueAt(due) => Some(due),
            ReportState::InFlight { requested_at } => Some(requested_at + pacing.report_timeout),
        }
    }
}
