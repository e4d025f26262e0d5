//! The progress of one server: which versions it has, and which order it carries out.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::actions::{OrderReply, UpdateMethod};
use crate::pacing::Pacing;
use crate::report_schedule::ReportSchedule;
use crate::server::{ModelName, RolloutServer};
use crate::wire::ServerReport;

/// After so many failed calls in a row a server no longer counts as loading, so that others may load.
const MAX_COUNTED_FAILURES: u32 = 2;
/// Retry delays double at most so often; far more often than the maximum delay allows.
const MAX_RETRY_DOUBLINGS: u32 = 8;

/// A version that a server is to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LoadGoal {
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    pub(crate) method: UpdateMethod,
}

/// What a server does about orders, as far as known.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OrderState {
    /// Nothing is known about this incarnation: an earlier holder of the lease may have sent it an order.
    Unknown,
    /// The server carries out no order.
    Idle,
    /// The order was sent at `since`, and its outcome is awaited.
    InFlight { goal: LoadGoal, since: Duration },
    /// The server carries out the order, which was accepted at `since`, or became indeterminate then and was confirmed by a
    /// report. While it is draining, running requests complete before the load starts.
    Loading { goal: LoadGoal, since: Duration, is_draining: bool },
    /// The order was sent and has no usable response, which was known at `since`: the server may carry it out.
    Indeterminate { goal: LoadGoal, since: Duration },
    /// The server carries out an order of another sender, or an earlier one of ours, as it last said at `since`.
    Busy { since: Duration },
    /// Another server has the address.
    Replaced,
}

/// What the planner knows about one incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerProgress {
    pub(crate) server: RolloutServer,
    /// Number of requests that run at the server, as far as known.
    pub(crate) running: u64,
    pacing: Pacing,
    /// The newest version of each model that was seen. An incarnation never goes back to a lower version.
    versions: BTreeMap<ModelName, u64>,
    state: OrderState,
    report: ReportSchedule,
    /// Calls that failed since the last one that succeeded.
    consecutive_failures: u32,
    /// No order is sent before this time.
    retry_at: Duration,
}

impl ServerProgress {
    /// A server that was just listed.
    pub(crate) fn new(server: RolloutServer, pacing: &Pacing) -> Self {
        Self {
            versions: server.models.clone(),
            server,
            running: 0,
            pacing: *pacing,
            state: OrderState::Unknown,
            report: ReportSchedule::new(pacing),
            consecutive_failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Takes over what a newer list shows.
    pub(crate) fn update_server(&mut self, server: RolloutServer) {
        for (model, version) in &server.models {
            self.record_version(model, *version);
        }
        self.server = server;
    }

    /// The newest version of the model that the server is known to have; `None` if it does not run the model.
    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model).copied()
    }

    /// Records a version that was seen, which may complete the order in progress. Lower versions than known before
    /// are outdated and change nothing.
    pub(crate) fn record_version(&mut self, model: &ModelName, version: u64) {
        let known = self.versions.entry(ModelName::clone(model)).or_insert(version);
        *known = version.max(*known);
        if self.goal().is_some_and(|goal| goal.model == *model && goal.version <= version) {
            self.become_idle();
        }
    }

    /// Whether an order may be sent now.
    pub(crate) fn can_receive_order(&self, now: Duration) -> bool {
        self.state == OrderState::Idle && self.retry_at <= now && !self.server.is_closing
    }

    /// Whether the server must report before it may get its first order.
    pub(crate) fn needs_first_report(&self) -> bool {
        self.state == OrderState::Unknown && !self.server.is_closing
    }

    /// Whether the server counts as loading.
    pub(crate) fn is_loading(&self, now: Duration) -> bool {
        self.loading_until().is_some_and(|until| now < until)
    }

    /// Until when the server counts as loading, unless it is known to have completed before.
    pub(crate) fn loading_until(&self) -> Option<Duration> {
        if self.server.is_closing || self.consecutive_failures >= MAX_COUNTED_FAILURES {
            return None;
        }
        match &self.state {
            OrderState::Unknown | OrderState::Idle | OrderState::Replaced => None,
            OrderState::InFlight { since, .. } => Some(*since + self.pacing.call_timeout),
            OrderState::Loading { since, is_draining: true, .. } => Some(*since + self.pacing.max_drain_time),
            OrderState::Loading { since, .. }
            | OrderState::Indeterminate { since, .. }
            | OrderState::Busy { since } => Some(*since + self.pacing.load_duration),
        }
    }

    /// An order is sent now.
    pub(crate) fn on_order_sent(&mut self, now: Duration, goal: LoadGoal) {
        self.state = OrderState::InFlight { goal, since: now };
        self.report.cancel();
    }

    /// Handles the outcome of the order in flight. Outcomes of other orders change nothing.
    pub(crate) fn on_order_reply(&mut self, now: Duration, reply: OrderReply) {
        let OrderState::InFlight { goal, .. } = &self.state else { return };
        let goal = goal.clone();
        match reply {
            OrderReply::Accepted => self.start_loading(now, goal),
            OrderReply::AlreadyLoaded => self.record_version(&goal.model, goal.version),
            OrderReply::Busy => self.await_report(now, OrderState::Busy { since: now }),
            OrderReply::Indeterminate => {
                self.await_report(now, OrderState::Indeterminate { goal, since: now });
            }
            OrderReply::WrongServer => {
                self.state = OrderState::Replaced;
                self.report.cancel();
            }
            OrderReply::Fenced | OrderReply::Invalid | OrderReply::NotAccepted => {
                let delay = self.record_failure();
                self.state = OrderState::Idle;
                self.retry_at = now + delay;
            }
        }
    }

    /// Handles a report. One that is no longer awaited shows versions, and nothing else.
    pub(crate) fn on_report(&mut self, now: Duration, report: &ServerReport) {
        // Before the versions are recorded: they may complete the order, and so cancel the report.
        let in_flight_since = self.report.in_flight_since();
        for (model, version) in report.versions() {
            self.record_version(&model, version);
        }
        if let Some(requested_at) = in_flight_since {
            self.report.cancel();
            self.consecutive_failures = 0;
            self.running = report.running;
            self.apply_report(now, requested_at, report);
        }
    }

    /// The request for a report failed.
    pub(crate) fn on_report_failure(&mut self, now: Duration) {
        if self.report.in_flight_since().is_some() {
            let delay = self.record_failure();
            self.report.schedule(now + delay);
        }
    }

    /// Schedules a report for now, unless one is scheduled or in flight.
    pub(crate) fn ensure_report(&mut self, now: Duration) {
        self.report.ensure_scheduled(now);
    }

    /// Whether a report is due; if so, the caller requests it at once.
    pub(crate) fn take_due_report(&mut self, now: Duration) -> bool {
        !self.server.is_closing && self.report.take_due(now)
    }

    /// Turns calls without an outcome into failed ones.
    pub(crate) fn expire_calls(&mut self, now: Duration) {
        if let OrderState::InFlight { since, .. } = self.state {
            if since + self.pacing.call_timeout <= now {
                self.on_order_reply(now, OrderReply::Indeterminate);
            }
        }
        if let Some(requested_at) = self.report.in_flight_since() {
            if requested_at + self.pacing.call_timeout <= now {
                self.on_report_failure(now);
            }
        }
    }

    /// When something about this server is due next, apart from the end of its load.
    pub(crate) fn next_deadline(&self, now: Duration) -> Option<Duration> {
        if self.server.is_closing {
            return None;
        }
        let report = self.report.next_deadline(&self.pacing);
        let reply = match self.state {
            OrderState::InFlight { since, .. } => Some(since + self.pacing.call_timeout),
            _ => None,
        };
        let retry = (self.retry_at > now).then_some(self.retry_at);
        [report, reply, retry].into_iter().flatten().min()
    }

    /// What the server loads, or may load, because of an order of this planner.
    fn goal(&self) -> Option<&LoadGoal> {
        match &self.state {
            OrderState::InFlight { goal, .. }
            | OrderState::Loading { goal, .. }
            | OrderState::Indeterminate { goal, .. } => Some(goal),
            _ => None,
        }
    }

    /// No order is in progress any more; the next one may be sent at once.
    fn become_idle(&mut self) {
        self.state = OrderState::Idle;
        self.report.cancel();
        self.consecutive_failures = 0;
        self.retry_at = Duration::ZERO;
    }

    /// The server has accepted the order: a report is due once the load should have completed.
    fn start_loading(&mut self, now: Duration, goal: LoadGoal) {
        let is_draining = goal.method == UpdateMethod::Drain && self.running > 0;
        self.state = OrderState::Loading { goal, since: now, is_draining };
        self.consecutive_failures = 0;
        let due = now + self.pacing.load_duration + self.pacing.confirmation_delay;
        self.report.schedule_first(due, &self.pacing);
    }

    /// Enters a state in which only a report can tell what the server does.
    fn await_report(&mut self, now: Duration, state: OrderState) {
        self.state = state;
        self.report.schedule_first(now + self.pacing.max_report_age, &self.pacing);
    }

    /// Concludes from a report, requested at `requested_at`, whether an order is still in progress.
    fn apply_report(&mut self, now: Duration, requested_at: Duration, report: &ServerReport) {
        if self.state == OrderState::Replaced {
            return;
        }
        if report.occupied {
            self.on_occupied_report(now, report);
            return;
        }
        match &self.state {
            OrderState::Unknown => self.become_idle(),
            OrderState::Loading { since, .. }
            | OrderState::Indeterminate { since, .. }
            | OrderState::Busy { since } => {
                // An earlier report may show the server as it was before it accepted the order.
                if *since + self.pacing.max_report_age <= requested_at {
                    self.become_idle();
                } else {
                    self.report.schedule_next(now, &self.pacing);
                }
            }
            OrderState::Idle | OrderState::InFlight { .. } | OrderState::Replaced => {}
        }
    }

    /// The report shows that the server carries out an order: the one that was sent, where that is possible, otherwise one
    /// of another sender. Another report follows.
    fn on_occupied_report(&mut self, now: Duration, report: &ServerReport) {
        let is_draining_now = |goal: &LoadGoal| goal.method == UpdateMethod::Drain && report.running > 0;
        self.state = match std::mem::replace(&mut self.state, OrderState::Idle) {
            OrderState::Unknown | OrderState::Idle | OrderState::Busy { .. } => {
                OrderState::Busy { since: now }
            }
            OrderState::Indeterminate { goal, since } => {
                let is_draining = is_draining_now(&goal);
                OrderState::Loading { goal, since, is_draining }
            }
            OrderState::Loading { goal, since, is_draining } => {
                let is_draining = is_draining || is_draining_now(&goal);
                OrderState::Loading { goal, since, is_draining }
            }
            other => other,
        };
        if !matches!(self.state, OrderState::InFlight { .. }) {
            self.report.schedule_next(now, &self.pacing);
        }
    }

    /// Counts a failed call, and returns the delay before the next.
    fn record_failure(&mut self) -> Duration {
        let doublings = self.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
        self.consecutive_failures += 1;
        (self.pacing.initial_retry_delay * 2_u32.pow(doublings)).min(self.pacing.max_retry_delay)
    }
}
