//! When the report of a server is requested.

use std::time::Duration;

use crate::pacing::Pacing;

/// Factor by which the interval between two reports about one order grows.
const INTERVAL_GROWTH: f64 = 1.5;

/// The next report of one server, at most one at a time.
#[derive(Clone, Debug)]
pub(crate) struct ReportSchedule {
    state: ReportState,
    /// Delay before the report after the next.
    interval: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    /// Nothing has to be learned from the server.
    NotNeeded,
    /// A report is to be requested at this time.
    DueAt(Duration),
    /// A report was requested, and its outcome is awaited.
    InFlight { requested_at: Duration },
}

impl ReportSchedule {
    /// A schedule without a report.
    pub(crate) fn new(pacing: &Pacing) -> Self {
        Self { state: ReportState::NotNeeded, interval: pacing.initial_report_interval }
    }

    /// Schedules a report, instead of any other.
    pub(crate) fn schedule(&mut self, due: Duration) {
        self.state = ReportState::DueAt(due);
    }

    /// Schedules the first report about an order, after which intervals grow again from the initial one.
    pub(crate) fn schedule_first(&mut self, due: Duration, pacing: &Pacing) {
        self.interval = pacing.initial_report_interval;
        self.schedule(due);
    }

    /// Schedules a further report about the same order.
    pub(crate) fn schedule_next(&mut self, now: Duration, pacing: &Pacing) {
        self.schedule(now + self.interval);
        self.interval = self.interval.mul_f64(INTERVAL_GROWTH).min(pacing.max_report_interval);
    }

    /// Schedules a report for now, unless one is scheduled or in flight.
    pub(crate) fn ensure_scheduled(&mut self, now: Duration) {
        if self.state == ReportState::NotNeeded {
            self.schedule(now);
        }
    }

    /// Cancels any report. The reply to one in flight is no longer awaited.
    pub(crate) fn cancel(&mut self) {
        self.state = ReportState::NotNeeded;
    }

    /// Whether a report is due; if so, the caller requests it at once.
    pub(crate) fn take_due(&mut self, now: Duration) -> bool {
        let is_due = matches!(self.state, ReportState::DueAt(due) if due <= now);
        if is_due {
            self.state = ReportState::InFlight { requested_at: now };
        }
        is_due
    }

    /// When the report in flight was requested, if there is one.
    pub(crate) fn in_flight_since(&self) -> Option<Duration> {
        match self.state {
            ReportState::InFlight { requested_at } => Some(requested_at),
            _ => None,
        }
    }

    /// When the next report is due, or the one in flight times out.
    pub(crate) fn next_deadline(&self, pacing: &Pacing) -> Option<Duration> {
        match self.state {
            ReportState::NotNeeded => None,
            ReportState::DueAt(due) => Some(due),
            ReportState::InFlight { requested_at } => Some(requested_at + pacing.call_timeout),
        }
    }
}
