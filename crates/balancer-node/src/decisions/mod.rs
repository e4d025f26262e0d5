//! The decision logic of a node: [`Balancer`] passes each event to the submodule that handles it.

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

/// Target number of nodes that send to one server. A low number keeps connections few and in regular use.
const NODES_PER_SERVER: f64 = 12.0;

/// Minimum size of a node's subset of servers, if as many are ready; maximum number of probes per request.
const MIN_SUBSET_SIZE: usize = 3;

/// Fractional part of the golden ratio: its multiples, modulo one, spread the nodes evenly over a ring.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Maximum price of the probes for one request, as a fraction of the result, like `probe_price`.
const PROBE_BUDGET: f64 = 0.008;

/// Timer number for the next subscription. The timer number of a request is its id plus one.
const RESUBSCRIBE_TIMER: u64 = 0;

/// Input and output of an event handler: the current time in ms, and the list to which it appends actions.
struct Context<'a> {
    now: f64,
    actions: &'a mut Vec<BalancerAction>,
}

impl Context<'_> {
    fn set_request_timer(&mut self, id: RequestId, after_ms: f64) {
        self.actions.push(BalancerAction::SetTimer { timer: id.0 + 1, after_ms });
    }
}

/// How this node obtains the load of servers. It follows from the settings and never changes.
struct LoadSignals {
    /// Number of servers probed before the first attempt of a request; `probing` is whether it is above zero.
    probes_per_request: usize,
    probing: bool,
    /// Whether reported counts are out of date when used: other nodes also send, and there are no probes.
    stale: bool,
    /// Whether load reports arrive, with responses or with the probes before first attempts.
    reports_arrive: bool,
}

impl LoadSignals {
    fn new(settings: &DecisionSettings) -> Self {
        // No probes if responses keep the counts of a few nodes fresh, or if nodes may exchange messages.
        let outdated = !settings.responses_carry_load || settings.nodes as f64 > NODES_PER_SERVER;
        // Each request pays the price of its probes. They are useless if they carry no load report.
        let affordable = (PROBE_BUDGET / settings.probe_price).clamp(0.0, MIN_SUBSET_SIZE as f64) as usize;
        let useful = settings.probes && settings.probes_carry_load && !settings.peers && outdated;
        let probes_per_request = if useful { affordable } else { 0 };
        let probing = probes_per_request > 0;
        let reports_arrive = settings.responses_carry_load || probing;
        Self { probes_per_request, probing, stale: !probing && settings.nodes > 1, reports_arrive }
    }
}

/// Decision logic of one node, without clock, threads or I/O. The [crate] documentation has an example.
pub struct Balancer {
    settings: DecisionSettings,
    /// The same seed and events give the same actions, so the order of draws is part of the behaviour.
    random: fastrand::Rng,
    signals: LoadSignals,
    endpoints: EndpointTable,
    subscription: Subscription,
    pending: HashMap<RequestId, PendingRequest>,
    /// Requests whose first attempt waits for the answers of probes, in order of arrival.
    awaiting_probes: Vec<RequestId>,
    estimates: Estimates,
    /// Token buckets that limit each tenant to this node's share of its quota, by tenant index.
    quotas: Vec<TokenBucket>,
    /// Retry budget: each retry takes one token, each request adds `RETRY_RATIO` tokens.
    retry_tokens: f64,
    slow_start: SlowStart,
}

impl Balancer {
    /// Creates a balancer without servers.
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: DecisionSettings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        // All nodes order the ring alike and use subsets of equal size; each starts at a different position.
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

    /// Handles one event that happened at `now`, in milliseconds of a monotonic clock, and appends the
    /// actions to carry out. Events about unknown requests, servers or timers are ignored.
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
