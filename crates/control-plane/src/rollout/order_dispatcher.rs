//! Loop that executes the planner's actions while this process is the leader.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::{FuturesUnordered, StreamExt};
use rollout::{OrderReply, Pacing, ReportRequest, RolloutAction, VersionOrder};
use state::View;
use tokio::sync::watch;
use tokio::time::Instant;

use super::planner_input::PlannerInput;
use super::version_report_batcher::VersionReportBatcher;
use super::{CallOutcome, CallTag, OrderTracker, ServerCalls};
use crate::election::PendingOrder;
use crate::{Leadership, ViewCell};

/// Maximum pause before the next step, if no event occurs earlier.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum pause before the next step, if no event occurs earlier.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Minimum time between the starts of two steps while calls are in flight, for each listed server. Planning
/// takes time that grows with the number of servers.
const MIN_STEP_INTERVAL_PER_SERVER: Duration = Duration::from_micros(5);

/// Task that orders servers to load the target versions of their models while this process is the leader.
pub struct OrderDispatcher {
    /// Name of this member, as it appears in the control state.
    pub member_name: String,
    /// Leadership of this process, which yields the fencing token for orders once this process may send them.
    pub leadership: Arc<Leadership>,
    /// The newest control state and server list that this process has adopted. Reported versions are added to
    /// its server list.
    pub view: Arc<ViewCell>,
    /// Sends orders and requests for reports to servers.
    pub servers: Arc<dyn ServerCalls>,
}

impl OrderDispatcher {
    /// Sends orders whenever they are due. Runs until the process ends.
    pub async fn run(self) {
        let mut dispatch = DispatchLoop::start(self);
        while dispatch.step().await.is_continue() {}
    }
}

struct DispatchLoop {
    dispatcher: OrderDispatcher,
    /// Origin of the planner's clock.
    started_at: Instant,
    views: watch::Receiver<Arc<View>>,
    planner_input: PlannerInput,
    tracker: OrderTracker,
    calls: FuturesUnordered<BoxFuture<'static, (CallTag, CallOutcome)>>,
    reports: VersionReportBatcher,
}

impl DispatchLoop {
    fn start(dispatcher: OrderDispatcher) -> Self {
        Self {
            started_at: Instant::now(),
            views: dispatcher.view.subscribe(),
            planner_input: PlannerInput::default(),
            tracker: OrderTracker::default(),
            calls: FuturesUnordered::new(),
            reports: VersionReportBatcher::default(),
            dispatcher,
        }
    }

    /// Starts all calls that are due and waits for the next event. Breaks once no further view can arrive.
    async fn step(&mut self) -> ControlFlow<()> {
        let step_started = Instant::now();
        let now = self.started_at.elapsed();
        if self.tracker.set_term(self.dispatcher.leadership.fence_for_orders()) {
            self.planner_input.reset();
        }
        self.reports.publish(now, &self.dispatcher.view, &self.dispatcher.leadership);
        let (actions, pause) = self.plan(now);
        self.start_calls(actions);
        let control_flow = self.wait_for_event(pause.max(MIN_POLL_INTERVAL)).await;
        self.collect_outcomes(step_started).await;
        control_flow
    }

    /// Records the outcomes of calls until the next step may start, and all further outcomes that are
    /// available at that time.
    async fn collect_outcomes(&mut self, step_started: Instant) {
        if self.calls.is_empty() {
            return;
        }
        let servers = u32::try_from(self.views.borrow().servers.servers.len()).unwrap_or(u32::MAX);
        let next_step = step_started + MIN_STEP_INTERVAL_PER_SERVER.saturating_mul(servers);
        while let Ok(Some((tag, outcome))) = tokio::time::timeout_at(next_step, self.calls.next()).await {
            self.on_call_finished(tag, &outcome);
        }
        while let Some(Some((tag, outcome))) = self.calls.next().now_or_never() {
            self.on_call_finished(tag, &outcome);
        }
    }

    /// Returns the calls that are due now, and the time until the next step if no event occurs earlier.
    fn plan(&mut self, now: Duration) -> (Vec<RolloutAction>, Duration) {
        self.planner_input.update(&mut self.tracker, now, &self.views.borrow_and_update());
        let Some(planner) = self.tracker.planner() else { return (Vec::new(), MAX_POLL_INTERVAL) };
        let actions = planner.next_actions(now);
        let next_step_at = planner.next_wakeup(now).into_iter().chain(self.reports.due_at()).min();
        let pause =
            next_step_at.map_or(MAX_POLL_INTERVAL, |at| at.saturating_sub(now).min(MAX_POLL_INTERVAL));
        (actions, pause)
    }

    fn start_calls(&mut self, actions: Vec<RolloutAction>) {
        for action in actions {
            if self.start_call(action).is_none() {
                return;
            }
        }
    }

    /// Starts a call of the present term. Returns `None` if that term has ended.
    fn start_call(&mut self, action: RolloutAction) -> Option<()> {
        let leadership = &self.dispatcher.leadership;
        let fence = self.tracker.fence()?;
        // The lease is checked again before each call: the process may have been suspended.
        if leadership.fence_for_orders() != Some(fence) {
            return None;
        }
        let servers = Arc::clone(&self.dispatcher.servers);
        let tag = self.tracker.record_call(&action)?;
        self.calls.push(match action {
            RolloutAction::SendOrder(order) => {
                let (pending, member_name) = (leadership.begin_order(), self.dispatcher.member_name.clone());
                Box::pin(
                    async move { (tag, send_order(&*servers, order, &member_name, fence, pending).await) },
                )
            }
            RolloutAction::RequestReport(request) => {
                Box::pin(async move { (tag, request_report(&*servers, request).await) })
            }
        });
        Some(())
    }

    async fn wait_for_event(&mut self, pause: Duration) -> ControlFlow<()> {
        let is_leader = self.tracker.fence().is_some();
        tokio::select! {
            biased;
            Some((tag, outcome)) = self.calls.next(), if !self.calls.is_empty() => {
                self.on_call_finished(tag, &outcome);
            }
            changed = self.views.changed(), if is_leader => {
                if changed.is_err() {
                    return ControlFlow::Break(());
                }
            }
            () = self.dispatcher.leadership.orders_allowed(), if !is_leader => {}
            () = tokio::time::sleep(pause) => {}
        }
        ControlFlow::Continue(())
    }

    fn on_call_finished(&mut self, tag: CallTag, outcome: &CallOutcome) {
        let now = self.started_at.elapsed();
        if let CallOutcome::Reported(server, report) = outcome {
            let listed = self.views.borrow().servers.servers.len();
            self.reports.add(now, server, report, listed);
        }
        if self.tracker.record_outcome(now, tag, outcome) {
            self.planner_input.reset();
        }
    }
}

/// Sends an order and waits for its outcome. Until then the order is pending, so that neither a further order
/// of this leader nor, after a graceful shutdown, one of the next leader can precede it at the server.
async fn send_order(
    servers: &dyn ServerCalls,
    order: VersionOrder,
    member_name: &str,
    fence: u64,
    _pending: PendingOrder,
) -> CallOutcome {
    let body = serde_json::to_string(&order.body(member_name, fence)).unwrap_or_default();
    let replied =
        tokio::time::timeout(Pacing::default().order_timeout, servers.send_order(&order, body)).await;
    let reply = replied.unwrap_or(OrderReply::Indeterminate);
    log::info!(version = order.version, fence; "order to {} for {}: {reply}", order.server, order.model);
    CallOutcome::Answered(order, reply)
}

async fn request_report(servers: &dyn ServerCalls, request: ReportRequest) -> CallOutcome {
    match servers.request_report(&request).await {
        Some(report) => CallOutcome::Reported(request.server, Box::new(report)),
        None => CallOutcome::NotReported(request.server),
    }
}
