//! What the planner knows about one server.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::types::{Method, ModelName, OrderReply, Pacing, RolloutServer};
use crate::wire::ServerReport;

/// After this many failed reports in a row a server no longer keeps others from loading.
const FAILURES_COUNTED: u32 = 2;
/// By how much the pause between two reports about one order grows: half of it.
const ASK_PAUSE_GROWTH: f64 = 1.5;

/// An order that is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Goal {
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    pub(crate) method: Method,
}

/// What a server does about orders.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Activity {
    /// Nothing is known about this incarnation: an earlier holder of the lease may have sent it an order.
    Unseen,
    /// No order is under way.
    Free,
    /// The order was sent and has no outcome yet.
    Sent { goal: Goal, since: Duration },
    /// The order is being done.
    Loading { goal: Goal, since: Duration, waits_for_requests: bool },
    /// The order was sent, and may have been taken.
    Unclear { goal: Goal, since: Duration },
    /// An order of somebody else, or an earlier one, is under way.
    Busy { since: Duration },
    /// Another server has the address.
    Gone,
}

/// When a report is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asking {
    No,
    At(Duration),
    Sent(Duration),
}

/// One server.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) server: RolloutServer,
    /// Requests that run there, as far as known.
    pub(crate) running: u64,
    versions: BTreeMap<ModelName, u64>,
    activity: Activity,
    asking: Asking,
    ask_pause: Duration,
    failures: u32,
    not_before: Duration,
}

impl Member {
    pub(crate) fn new(server: RolloutServer, pacing: &Pacing) -> Self {
        Self {
            versions: server.models.clone(),
            server,
            running: 0,
            activity: Activity::Unseen,
            asking: Asking::No,
            ask_pause: pacing.ask_pause,
            failures: 0,
            not_before: Duration::ZERO,
        }
    }

    /// Takes what a newer list shows.
    pub(crate) fn listed(&mut self, server: RolloutServer) {
        for (model, version) in &server.models {
            self.has_version(model, *version);
        }
        self.server = server;
    }

    /// The newest version of the model that the server is known to have; `None` if it doesn't run the model.
    pub(crate) fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model).copied()
    }

    /// Notes a version that was seen. An incarnation never goes back, so that old news change nothing.
    pub(crate) fn has_version(&mut self, model: &ModelName, version: u64) {
        let known = self.versions.entry(ModelName::clone(model)).or_insert(version);
        *known = version.max(*known);
        if self.goal().is_some_and(|goal| goal.model == *model && goal.version <= version) {
            self.free();
        }
    }

    /// Whether an order may be sent now.
    pub(crate) fn takes_order(&self, now: Duration) -> bool {
        self.activity == Activity::Free && self.not_before <= now && !self.server.closing
    }

    /// Whether the server has to be asked before it may get its first order.
    pub(crate) fn is_unseen(&self) -> bool {
        self.activity == Activity::Unseen && !self.server.closing
    }

    /// Whether the server counts among those that load.
    pub(crate) fn loads(&self, now: Duration, pacing: &Pacing) -> bool {
        self.loads_until(pacing).is_some_and(|until| now < until)
    }

    /// Until when the server counts among those that load, unless it is known to be done before.
    pub(crate) fn loads_until(&self, pacing: &Pacing) -> Option<Duration> {
        if self.server.closing || self.failures >= FAILURES_COUNTED {
            return None;
        }
        match &self.activity {
            Activity::Unseen | Activity::Free | Activity::Gone => None,
            Activity::Sent { since, .. } => Some(*since + pacing.call_timeout),
            Activity::Loading { since, waits_for_requests: true, .. } => Some(*since + pacing.hold_most),
            Activity::Loading { since, .. } | Activity::Unclear { since, .. } | Activity::Busy { since } => {
                Some(*since + pacing.load)
            }
        }
    }

    /// An order goes out now.
    pub(crate) fn order_sent(&mut self, now: Duration, goal: Goal) {
        self.activity = Activity::Sent { goal, since: now };
        self.asking = Asking::No;
    }

    /// An order has an outcome. Outcomes of orders that are no longer under way change nothing.
    pub(crate) fn answered(&mut self, now: Duration, answer: OrderReply, pacing: &Pacing) {
        let Activity::Sent { goal, .. } = &self.activity else { return };
        let goal = goal.clone();
        match answer {
            OrderReply::Taken => self.order_taken(now, goal, pacing),
            OrderReply::Holds => self.has_version(&goal.model, goal.version),
            OrderReply::Busy => self.occupied(now, pacing),
            OrderReply::OtherServer => self.gone(),
            OrderReply::Unclear => self.unclear(now, goal, pacing),
            OrderReply::Fenced | OrderReply::Unknown | OrderReply::NotTaken => self.refused(now, pacing),
        }
    }

    /// The server's report came. One that is no longer waited for tells versions, and nothing else.
    pub(crate) fn reported(&mut self, now: Duration, report: &ServerReport, pacing: &Pacing) {
        let asking = self.asking;
        for (model, version) in report.versions() {
            self.has_version(&model, version);
        }
        if let Asking::Sent(asked) = asking {
            self.asking = Asking::No;
            self.failures = 0;
            self.running = report.running;
            self.judge(now, asked, report, pacing);
        }
    }

    /// The server gave no report.
    pub(crate) fn not_reported(&mut self, now: Duration, pacing: &Pacing) {
        if matches!(self.asking, Asking::Sent(_)) {
            let pause = self.failed(pacing);
            self.asking = Asking::At(now + pause);
        }
    }

    /// Whether a report is wanted now; the caller asks at once.
    pub(crate) fn takes_ask(&mut self, now: Duration) -> bool {
        let due = matches!(self.asking, Asking::At(at) if at <= now) && !self.server.closing;
        if due {
            self.asking = Asking::Sent(now);
        }
        due
    }

    /// Wants a report as soon as may be, unless one is wanted already.
    pub(crate) fn want_report(&mut self, now: Duration) {
        if self.asking == Asking::No {
            self.asking = Asking::At(now);
        }
    }

    /// Turns calls without an outcome into failed ones.
    pub(crate) fn expire_calls(&mut self, now: Duration, pacing: &Pacing) {
        if let Activity::Sent { since, .. } = self.activity {
            if since + pacing.call_timeout <= now {
                self.answered(now, OrderReply::Unclear, pacing);
            }
        }
        if let Asking::Sent(asked) = self.asking {
            if asked + pacing.call_timeout <= now {
                self.not_reported(now, pacing);
            }
        }
    }

    /// When something about this server is due next, apart from the end of its load.
    pub(crate) fn next_timer(&self, now: Duration, pacing: &Pacing) -> Option<Duration> {
        if self.server.closing {
            return None;
        }
        let ask = match self.asking {
            Asking::No => None,
            Asking::At(at) => Some(at),
            Asking::Sent(asked) => Some(asked + pacing.call_timeout),
        };
        let answer = match self.activity {
            Activity::Sent { since, .. } => Some(since + pacing.call_timeout),
            _ => None,
        };
        let retry = (self.not_before > now).then_some(self.not_before);
        [ask, answer, retry].into_iter().flatten().min()
    }

    fn goal(&self) -> Option<&Goal> {
        match &self.activity {
            Activity::Sent { goal, .. } | Activity::Loading { goal, .. } | Activity::Unclear { goal, .. } => {
                Some(goal)
            }
            _ => None,
        }
    }

    fn free(&mut self) {
        self.activity = Activity::Free;
        self.asking = Asking::No;
        self.failures = 0;
        self.not_before = Duration::ZERO;
    }

    fn gone(&mut self) {
        self.activity = Activity::Gone;
        self.asking = Asking::No;
    }

    fn order_taken(&mut self, now: Duration, goal: Goal, pacing: &Pacing) {
        let waits_for_requests = goal.method == Method::Hold && self.running > 0;
        self.activity = Activity::Loading { goal, since: now, waits_for_requests };
        self.failures = 0;
        self.ask_pause = pacing.ask_pause;
        self.asking = Asking::At(now + pacing.load + pacing.confirm_after);
    }

    fn occupied(&mut self, now: Duration, pacing: &Pacing) {
        self.activity = Activity::Busy { since: now };
        self.ask_pause = pacing.ask_pause;
        self.asking = Asking::At(now + pacing.report_age);
    }

    fn unclear(&mut self, now: Duration, goal: Goal, pacing: &Pacing) {
        self.activity = Activity::Unclear { goal, since: now };
        self.ask_pause = pacing.ask_pause;
        self.asking = Asking::At(now + pacing.report_age);
    }

    fn refused(&mut self, now: Duration, pacing: &Pacing) {
        let pause = self.failed(pacing);
        self.activity = Activity::Free;
        self.not_before = now + pause;
    }

    /// What a report says about the order under way. `asked` is when the report was asked for.
    fn judge(&mut self, now: Duration, asked: Duration, report: &ServerReport, pacing: &Pacing) {
        if self.activity == Activity::Gone {
            return;
        }
        if report.occupied {
            self.still_loads(now, report, pacing);
            return;
        }
        match &self.activity {
            Activity::Unseen => self.free(),
            Activity::Loading { since, .. } | Activity::Unclear { since, .. } | Activity::Busy { since } => {
                if *since + pacing.report_age <= asked {
                    self.free();
                } else {
                    self.ask_later(now, pacing);
                }
            }
            Activity::Free | Activity::Sent { .. } | Activity::Gone => {}
        }
    }

    fn still_loads(&mut self, now: Duration, report: &ServerReport, pacing: &Pacing) {
        let waits = report.running > 0;
        self.activity = match std::mem::replace(&mut self.activity, Activity::Free) {
            Activity::Unseen | Activity::Free | Activity::Busy { .. } => Activity::Busy { since: now },
            Activity::Unclear { goal, since } => {
                let waits_for_requests = goal.method == Method::Hold && waits;
                Activity::Loading { goal, since, waits_for_requests }
            }
            Activity::Loading { goal, since, waits_for_requests } => {
                let waits_for_requests = waits_for_requests || (goal.method == Method::Hold && waits);
                Activity::Loading { goal, since, waits_for_requests }
            }
            other => other,
        };
        if !matches!(self.activity, Activity::Sent { .. }) {
            self.ask_later(now, pacing);
        }
    }

    fn ask_later(&mut self, now: Duration, pacing: &Pacing) {
        self.asking = Asking::At(now + self.ask_pause);
        self.ask_pause = self.ask_pause.mul_f64(ASK_PAUSE_GROWTH).min(pacing.ask_pause_most);
    }

    /// Counts a failed call and gives the pause before the next.
    fn failed(&mut self, pacing: &Pacing) -> Duration {
        let doublings = self.failures.min(8);
        self.failures += 1;
        (pacing.retry_pause * 2_u32.pow(doublings)).min(pacing.retry_pause_most)
    }
}
