//! Every decision of a node. The types it is fed and answers with are in `src/interface`.
//!
//! [`Balancer`] holds the state and hands each event to the module that decides about it. The state is split by
//! owner: each part below has its own methods, and only the module that defines it writes its fields.
//!
//! | module | concern |
//! | --- | --- |
//! | `admission` | whether a request is admitted, and the longest wait it is admitted for |
//! | `attempts` | sending attempts, their ends, clients that disconnect |
//! | `endpoint_table` | the table of servers and the ring they are selected from |
//! | `estimates` | running estimates of latency, load, rejections and arrivals |
//! | `expectation` | the wait that a request would see at a server |
//! | `health` | what the end of an attempt says about its server; outlier ejection |
//! | `pending` | the state of a request until its final answer |
//! | `probing` | probes of a few servers before the first attempt |
//! | `quota` | token buckets of the tenants |
//! | `retry` | the retry budget, further attempts and the final answer |
//! | `selection` | the ordinary path, HSQ: which server gets a request |
//! | `slow_start` | the share of requests that a warming server is offered |
//! | `stalled` | cancelling attempts at servers that stopped answering |
//! | `subscription` | updates of the server list and the subscription to them |

mod admission;
mod attempts;
mod endpoint_table;
mod estimates;
mod expectation;
mod health;
mod pending;
mod probing;
mod quota;
mod retry;
mod selection;
mod slow_start;
mod stalled;
mod subscription;

use self::endpoint_table::EndpointTable;
use self::estimates::Estimates;
use self::pending::PendingRequests;
use self::quota::TenantQuotas;
use self::retry::RetryBudget;
use self::slow_start::SlowStart;
use self::subscription::Subscription;
use crate::interface::*;
use crate::ring::Ring;

/// About how many nodes share a server: connections stay few and warm, and each node meets its servers often.
const NODES_PER_SERVER: f64 = 12.0;

/// Servers that a node's subset has at least, where there are as many, and the most that are probed.
const MIN_SUBSET_SIZE: usize = 3;

/// The golden ratio's fraction: its multiples spread node numbers evenly over a ring.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Part of the result that may be spent on probing servers before each send.
const PROBE_BUDGET: f64 = 0.008;

/// The timer of the next subscription. Timers above it belong to the request of that number less one, whose
/// servers were probed or whose attempt may have stalled.
const RESUBSCRIBE_TIMER: u64 = 0;

/// The timer of a request; see [`RESUBSCRIBE_TIMER`].
fn request_timer(id: RequestId) -> u64 {
    id.0 + 1
}

/// What this node knows of the servers' load, fixed by the settings.
struct LoadSignals {
    /// Servers that are probed before the first attempt of each request; zero where none are.
    probes_per_request: usize,
    /// Other nodes send to the same servers unseen and nobody probes, so reported counts are out of date.
    counts_are_stale: bool,
    /// Whether load reports come, with responses or with the probes before each send.
    reports_arrive: bool,
}

impl LoadSignals {
    fn new(settings: &DecisionSettings) -> Self {
        // None are probed where a few nodes' responses keep counts fresh, or where peers may talk.
        let outdated = !settings.responses_carry_load || settings.nodes as f64 > NODES_PER_SERVER;
        // A probe that costs more than the budget is left out: all nodes probe before each send and pay its
        // price for every request, and the one server that is probed then stands for all.
        let affordable = (PROBE_BUDGET / settings.probe_price).clamp(0.0, MIN_SUBSET_SIZE as f64) as usize;
        // Without reports a count is never overwritten and rises until everything is rejected.
        let useful = settings.probes && settings.probes_carry_load && !settings.peers && outdated;
        let probes_per_request = if useful { affordable } else { 0 };
        Self {
            probes_per_request,
            counts_are_stale: probes_per_request == 0 && settings.nodes > 1,
            reports_arrive: settings.responses_carry_load || probes_per_request > 0,
        }
    }

    fn probes_before_send(&self) -> bool {
        self.probes_per_request > 0
    }
}

/// Decides for one node. See the [crate] page for an example.
pub struct Balancer {
    settings: DecisionSettings,
    /// The order of draws is part of the behaviour: the same seed and events give the same actions.
    random: fastrand::Rng,
    signals: LoadSignals,
    endpoints: EndpointTable,
    subscription: Subscription,
    pending: PendingRequests,
    estimates: Estimates,
    quotas: TenantQuotas,
    retry_budget: RetryBudget,
    slow_start: SlowStart,
}

impl Balancer {
    /// A balancer that has no servers yet.
    ///
    /// # Errors
    ///
    /// Names the first setting that is out of range.
    pub fn new(settings: DecisionSettings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        // Each node uses an equal subset, from a position of its own, of a ring that all nodes order alike.
        // Otherwise each node would connect to each server and see too few reports of any of them.
        let ring = Ring::new(
            ((settings.node_index + 1) as f64 * GOLDEN_RATIO_FRACTION).fract(),
            NODES_PER_SERVER / settings.nodes as f64,
            MIN_SUBSET_SIZE,
        );
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            signals: LoadSignals::new(&settings),
            endpoints: EndpointTable::new(ring, settings.zone),
            subscription: Subscription::default(),
            pending: PendingRequests::default(),
            estimates: Estimates::new(&settings),
            quotas: TenantQuotas::new(&settings),
            retry_budget: RetryBudget::new(settings.max_attempts),
            slow_start: SlowStart::new(),
            settings,
        })
    }

    /// Takes one event that happened at `now`, in milliseconds of a clock that never runs backwards, and appends
    /// the actions to carry out. Events about unknown requests, servers or timers are ignored.
    pub fn handle(&mut self, now: f64, event: BalancerEvent, actions: &mut Vec<BalancerAction>) {
        match event {
            BalancerEvent::EndpointsUpdated(update) => self.update_endpoints(update, actions),
            BalancerEvent::RequestArrived(request) => self.admit(now, &request, actions),
            BalancerEvent::AttemptEnded(end) => self.attempt_ended(now, &end, actions),
            BalancerEvent::ClientDisconnected(id) => self.client_disconnected(id, actions),
            BalancerEvent::TimerFired(RESUBSCRIBE_TIMER) => self.subscription.retry(actions),
            BalancerEvent::TimerFired(timer) => {
                self.dispatch(now, RequestId(timer - 1), actions);
                self.cancel_stalled(now, RequestId(timer - 1), actions);
            }
            BalancerEvent::ProbeEnded { server, outcome, report } => {
                self.probe_ended(now, server, outcome, report, actions);
            }
            BalancerEvent::StreamStarted { .. } => {}
        }
    }
}
