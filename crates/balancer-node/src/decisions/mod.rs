//! Every decision of a node: [`Balancer`] hands each event to the module that decides about it.

mod admission;
mod attempts;
mod endpoint_table;
mod estimates;
mod expectation;
mod health;
mod selection;
mod slow_start;
mod subscription;

use std::collections::HashMap;

use self::{admission::TokenBucket, attempts::PendingRequest, endpoint_table::EndpointTable};
use self::{estimates::Estimates, slow_start::SlowStart, subscription::Subscription};
use crate::{interface::*, ring::Ring};

/// About how many nodes share a server: connections stay few and warm, and each node uses its servers often.
const NODES_PER_SERVER: f64 = 12.0;

/// Servers that a node's subset has at least, where there are as many, and the most that are probed.
const MIN_SUBSET_SIZE: usize = 3;

/// The golden ratio's fraction: its multiples spread node numbers evenly over a ring.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Part of the result that may be spent on probing servers before each send.
const PROBE_BUDGET: f64 = 0.008;

/// The timer of the next subscription. The timer of a request is its id plus one.
const RESUBSCRIBE_TIMER: u64 = 0;

/// What each event handler is given: the time in milliseconds, and the list to append its actions to.
struct Context<'a> {
    now: f64,
    actions: &'a mut Vec<BalancerAction>,
}

impl Context<'_> {
    fn set_request_timer(&mut self, id: RequestId, after_ms: f64) {
        self.actions.push(BalancerAction::SetTimer { timer: id.0 + 1, after_ms });
    }
}

/// By which signals this node learns the load of servers, as the settings determine.
struct LoadSignals {
    /// The number of servers probed before the first attempt of each request, and whether any are.
    probes_per_request: usize,
    probing: bool,
    /// Other nodes also send to the servers and there are no probes: reported counts are out of date.
    stale: bool,
    /// Whether load reports arrive, with responses or with the probes before each send.
    reports_arrive: bool,
}

impl LoadSignals {
    fn new(settings: &DecisionSettings) -> Self {
        // None are probed where a few nodes' responses keep counts fresh, or where peers may talk.
        let outdated = !settings.responses_carry_load || settings.nodes as f64 > NODES_PER_SERVER;
        // Each node pays the price of a probe for every request. Without reports probing is useless.
        let affordable = (PROBE_BUDGET / settings.probe_price).clamp(0.0, MIN_SUBSET_SIZE as f64) as usize;
        let useful = settings.probes && settings.probes_carry_load && !settings.peers && outdated;
        let probes_per_request = if useful { affordable } else { 0 };
        let probing = probes_per_request > 0;
        let reports_arrive = settings.responses_carry_load || probing;
        Self { probes_per_request, probing, stale: !probing && settings.nodes > 1, reports_arrive }
    }
}

/// The decision logic of one node. See the [crate] page for an example.
pub struct Balancer {
    settings: DecisionSettings,
    /// The order of draws is part of the behaviour: the same seed and events give the same actions.
    random: fastrand::Rng,
    signals: LoadSignals,
    endpoints: EndpointTable,
    subscription: Subscription,
    pending: HashMap<RequestId, PendingRequest>,
    /// Requests whose first attempt waits for probes, in order of arrival.
    awaiting_probes: Vec<RequestId>,
    estimates: Estimates,
    /// The remaining quota of each tenant.
    quotas: Vec<TokenBucket>,
    /// Retries that may still be made; each request adds a fraction of one.
    retry_tokens: f64,
    slow_start: SlowStart,
}

impl Balancer {
    /// Creates a balancer without servers.
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: DecisionSettings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        // Each node uses an equal subset of a ring that all nodes order alike, from a position of its own.
        let start = ((settings.node_index + 1) as f64 * GOLDEN_RATIO_FRACTION).fract();
        let ring = Ring::new(start, NODES_PER_SERVER / settings.nodes as f64, MIN_SUBSET_SIZE);
        let bucket = |quota: &f64| TokenBucket::new(quota / settings.nodes as f64);
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            signals: LoadSignals::new(&settings),
            endpoints: EndpointTable::new(ring, settings.zone),
            subscription: Subscription::default(),
            pending: HashMap::new(),
            awaiting_probes: Vec::new(),
            estimates: Estimates::new(&settings),
            quotas: settings.quotas_per_s.iter().map(bucket).collect(),
            retry_tokens: settings.max_attempts as f64,
            slow_start: SlowStart { warm_share: 1.0, warm_servers: 0.0 },
            settings,
        })
    }

    /// Handles one event that happened at `now`, in milliseconds of a clock that never runs backwards, and
    /// appends the actions to carry out. Events about unknown requests, servers or timers are ignored.
    pub fn handle(&mut self, now: f64, event: BalancerEvent, actions: &mut Vec<BalancerAction>) {
        let cx = &mut Context { now, actions };
        match event {
            BalancerEvent::EndpointsUpdated(update) => self.update_endpoints(cx, update),
            BalancerEvent::RequestArrived(request) => self.admit(cx, &request),
            BalancerEvent::AttemptEnded(end) => self.attempt_ended(cx, &end),
            BalancerEvent::ClientDisconnected(id) => self.client_disconnected(cx, id),
            BalancerEvent::TimerFired(RESUBSCRIBE_TIMER) => self.subscription.retry(cx),
            BalancerEvent::TimerFired(timer) => {
                self.dispatch(cx, RequestId(timer - 1));
                self.cancel_stalled(cx, RequestId(timer - 1));
            }
            BalancerEvent::ProbeEnded { server, outcome, report } => {
                report.iter().for_each(|report| self.record_load_report(now, server.0, report));
                self.probe_ended(cx, server.0, outcome == AttemptOutcome::Served);
            }
            BalancerEvent::StreamStarted { .. } => {}
        }
    }
}
