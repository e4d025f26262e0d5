//! Rollout progress of one server: the versions that it has and the order that it is carrying out.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::actions::{OrderReply, UpdateMethod, VersionOrder};
use crate::pacing::Pacing;
use crate::report_schedule::ReportSchedule;
use crate::server::{ModelName, RolloutServer, ServerId};
use crate::wire::ServerReport;

/// Number of consecutive failed calls after which a server no longer counts as loading, so that other servers
/// may load.
const LOADING_FAILURE_LIMIT: u32 = 2;
/// Maximum number of times that the retry delay doubles. It keeps the computed delay from overflowing; the
/// delay reaches [`Pacing::max_retry_delay`] long before.
const MAX_RETRY_DOUBLINGS: u32 = 8;

/// Version that a server has to load, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LoadGoal {
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    pub(crate) method: UpdateMethod,
}

/// Known state of the orders of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OrderState {
    /// Nothing is known yet in this term: an earlier leader may have sent the server an order. A report must
    /// be received before the first order.
    Unknown,
    /// The server is carrying out no order.
    Idle,
    /// The order was sent at `since`, and its outcome is pending.
    InFlight { goal: LoadGoal, since: Duration },
    /// The server is carrying out the order. At `since` the order was accepted, or became indeterminate and
    /// was later confirmed by a report. While `is_draining`, running requests complete before the load
    /// starts.
    Loading { goal: LoadGoal, since: Duration, is_draining: bool },
    /// The order was sent, and at `since` it turned out to have no usable response: the server may be
    /// carrying it out.
    Indeterminate { goal: LoadGoal, since: Duration },
    /// The server is carrying out an order of another sender, or an earlier order of this planner. `since` is
    /// the time of the last response or report that showed this.
    Busy { since: Duration },
    /// Another server listens on the address; this incarnation gets no more calls.
    Replaced,
}

/// Rollout state of one incarnation of a server, as known to the planner.
#[derive(Clone, Debug)]
pub(crate) struct ServerProgress {
    pub(crate) server: RolloutServer,
    /// Last known number of requests that are running at the server.
    pub(crate) running: u64,
    pacing: Pacing,
    /// Newest observed version of each model. An incarnation never returns to a lower version.
    versions: BTreeMap<ModelName, u64>,
    state: OrderState,
    /// Number of orders that the server has accepted since its start; `None` before the first report.
    order_count: Option<u64>,
    report: ReportSchedule,
    /// Number of calls that failed since the last successful one.
    consecutive_failures: u32,
    /// Earliest time of the next order.
    retry_at: Duration,
}

impl ServerProgress {
    /// Creates the state of a server that the list contains for the first time in this term.
    pub(crate) fn new(server: RolloutServer, pacing: &Pacing) -> Self {
        Self {
            versions: server.models.clone(),
            server,
            running: 0,
            pacing: *pacing,
            state: OrderState::Unknown,
            order_count: None,
            report: ReportSchedule::new(pacing),
            consecutive_failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Replaces the list entry by that of a newer list, and records its versions.
    pub(crate) fn update_server(&mut self, server: RolloutServer) {
        for (model, version) in &server.models {
            self.record_version(model, *version);
        }
        self.server = server;
    }

    /// Returns the newest version of the model that the server is known to have; `None` if it does not run
    /// the model.
    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model).copied()
    }

    /// Records an observed version, which may complete the order in progress. A version lower than the known
    /// one is outdated and does not lower it.
    pub(crate) fn record_version(&mut self, model: &ModelName, version: u64) {
        let known = self.versions.entry(ModelName::clone(model)).or_insert(version);
        *known = version.max(*known);
        if self.goal().is_some_and(|goal| goal.model == *model && goal.version <= version) {
            if !matches!(self.state, OrderState::Loading { .. }) {
                self.count_accepted_order();
            }
            self.become_idle();
        }
    }

    /// Returns the order to load this version.
    pub(crate) fn order(&self, goal: LoadGoal) -> VersionOrder {
        let LoadGoal { model, version, method } = goal;
        VersionOrder {
            server: ServerId::clone(&self.server.id),
            address: self.server.address,
            model,
            version,
            method,
            expected_order_count: self.order_count,
        }
    }

    /// Returns whether an order may be sent to the server now.
    pub(crate) fn can_receive_order(&self, now: Duration) -> bool {
        self.state == OrderState::Idle && self.retry_at <= now && !self.server.is_closing
    }

    /// Returns whether a report of the server must be received before its first order may be sent.
    pub(crate) fn needs_first_report(&self) -> bool {
        self.state == OrderState::Unknown && !self.server.is_closing
    }

    /// Returns whether the server counts as loading now.
    pub(crate) fn is_loading(&self, now: Duration) -> bool {
        self.loading_until().is_some_and(|until| now < until)
    }

    /// Returns the time until which the server counts as loading, unless the load is known to complete
    /// earlier. Returns `None` if the server does not count as loading.
    pub(crate) fn loading_until(&self) -> Option<Duration> {
        if self.server.is_closing || self.consecutive_failures >= LOADING_FAILURE_LIMIT {
            return None;
        }
        match &self.state {
            OrderState::Unknown | OrderState::Idle | OrderState::Replaced => None,
            OrderState::InFlight { since, .. } => Some(*since + self.pacing.report_timeout),
            OrderState::Loading { since, is_draining: true, .. } => Some(*since + self.pacing.max_drain_time),
            OrderState::Loading { since, .. }
            | OrderState::Indeterminate { since, .. }
            | OrderState::Busy { since } => Some(*since + self.pacing.load_duration),
        }
    }

    /// Records that an order is sent now, and cancels any report.
    pub(crate) fn on_order_sent(&mut self, now: Duration, goal: LoadGoal) {
        self.state = OrderState::InFlight { goal, since: now };
        self.report.cancel();
    }

    /// Handles the outcome of an order. Ignored unless this order is in flight: a reply may arrive after the version
    /// was observed, when a further order has been sent.
    pub(crate) fn on_order_reply(&mut self, now: Duration, order: &VersionOrder, reply: OrderReply) {
        let OrderState::InFlight { goal, .. } = &self.state else { return };
        if goal.model == order.model && goal.version == order.version {
            let goal = goal.clone();
            self.finish_order(now, goal, reply);
        }
    }

    /// Updates the state by the outcome of the order in flight, which has this goal.
    fn finish_order(&mut self, now: Duration, goal: LoadGoal, reply: OrderReply) {
        match reply {
            OrderReply::Accepted => self.start_loading(now, goal),
            OrderReply::AlreadyLoaded => {
                self.become_idle();
                self.record_version(&goal.model, goal.version);
            }
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

    /// Handles a report. Of a report that was cancelled while in flight, only the versions are recorded.
    pub(crate) fn on_report(&mut self, now: Duration, report: &ServerReport) {
        // Read this before recording the versions: a version may complete the order, which cancels the
        // report.
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

    /// Handles a failed request for a report: schedules it again after a delay. Ignored if no report is in
    /// flight.
    pub(crate) fn on_report_failure(&mut self, now: Duration) {
        if self.report.in_flight_since().is_some() {
            let delay = self.record_failure();
            self.report.schedule(now + delay);
        }
    }

    /// Schedules a report for now unless one is scheduled or in flight.
    pub(crate) fn ensure_report(&mut self, now: Duration) {
        self.report.ensure_scheduled(now);
    }

    /// Returns whether a report is due. If so, it counts as in flight, and the caller must request it
    /// immediately.
    pub(crate) fn take_due_report(&mut self, now: Duration) -> bool {
        !self.server.is_closing && self.report.take_due(now)
    }

    /// Treats an order without an outcome after [`Pacing::order_timeout`] as indeterminate, and a request for a
    /// report without one after [`Pacing::report_timeout`] as failed.
    pub(crate) fn expire_calls(&mut self, now: Duration) {
        if let OrderState::InFlight { goal, since } = &self.state {
            if *since + self.pacing.order_timeout <= now {
                let goal = goal.clone();
                self.finish_order(now, goal, OrderReply::Indeterminate);
            }
        }
        if let Some(requested_at) = self.report.in_flight_since() {
            if requested_at + self.pacing.report_timeout <= now {
                self.on_report_failure(now);
            }
        }
    }

    /// Returns the time of the next event of this server: a report is due, a call times out, or an order may
    /// be retried. The end of its load is not included ([`Self::loading_until`]).
    pub(crate) fn next_deadline(&self, now: Duration) -> Option<Duration> {
        if self.server.is_closing {
            return None;
        }
        let report = self.report.next_deadline(&self.pacing);
        let reply = match self.state {
            OrderState::InFlight { since, .. } => Some(since + self.pacing.order_timeout),
            _ => None,
        };
        let retry = (self.retry_at > now).then_some(self.retry_at);
        [report, reply, retry].into_iter().flatten().min()
    }

    /// Returns the version that the server is loading, or may be loading, because of an order of this
    /// planner.
    fn goal(&self) -> Option<&LoadGoal> {
        match &self.state {
            OrderState::InFlight { goal, .. }
            | OrderState::Loading { goal, .. }
            | OrderState::Indeterminate { goal, .. } => Some(goal),
            _ => None,
        }
    }

    /// Counts an order that the server has accepted.
    fn count_accepted_order(&mut self) {
        self.order_count = self.order_count.map(|count| count + 1);
    }

    /// Records that no order is in progress. The next order may be sent immediately.
    fn become_idle(&mut self) {
        self.state = OrderState::Idle;
        self.report.cancel();
        self.consecutive_failures = 0;
        self.retry_at = Duration::ZERO;
    }

    /// Records that the server accepted the order, and schedules a report for the time when the load should
    /// have completed.
    fn start_loading(&mut self, now: Duration, goal: LoadGoal) {
        let is_draining = goal.method == UpdateMethod::Drain && self.running > 0;
        self.state = OrderState::Loading { goal, since: now, is_draining };
        self.count_accepted_order();
        self.consecutive_failures = 0;
        let due = now + self.pacing.load_duration + self.pacing.confirmation_delay;
        self.report.schedule_first(due, &self.pacing);
    }

    /// Enters a state that only a report can resolve, and schedules that report. It is requested late enough
    /// to show the state after the order.
    fn await_report(&mut self, now: Duration, state: OrderState) {
        self.state = state;
        self.report.schedule_first(now + self.pacing.max_report_age, &self.pacing);
    }

    /// Updates the order state by a report that was requested at `requested_at`.
    fn apply_report(&mut self, now: Duration, requested_at: Duration, report: &ServerReport) {
        if self.state == OrderState::Replaced {
            return;
        }
        if report.occupied {
            self.on_occupied_report(now, report);
            return;
        }
        match &self.state {
            OrderState::Unknown => {
                self.order_count = Some(report.orders_accepted);
                self.become_idle();
            }
            OrderState::Loading { since, .. }
            | OrderState::Indeterminate { since, .. }
            | OrderState::Busy { since } => {
                // A report that was requested earlier may show the state before the server accepted the
                // order.
                if *since + self.pacing.max_report_age <= requested_at {
                    self.order_count = Some(report.orders_accepted);
                    self.become_idle();
                } else {
                    self.report.schedule_next(now, &self.pacing);
                }
            }
            OrderState::Idle | OrderState::InFlight { .. } | OrderState::Replaced => {}
        }
    }

    /// Handles a report according to which the server is carrying out an order, and schedules another report
    /// unless an order is in flight. If an order of this planner was accepted or is indeterminate, the report
    /// is taken to confirm it. Otherwise the server is carrying out an order of another sender.
    fn on_occupied_report(&mut self, now: Duration, report: &ServerReport) {
        if matches!(self.state, OrderState::Indeterminate { .. }) {
            self.count_accepted_order();
        }
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

    /// Counts a failed call and returns the delay before the next one.
    fn record_failure(&mut self) -> Duration {
        let doublings = self.consecutive_failures.min(MAX_RETRY_DOUBLINGS);
        self.consecutive_failures += 1;
        (self.pacing.initial_retry_delay * 2_u32.pow(doublings)).min(self.pacing.max_retry_delay)
    }
}
