//! Simulated fleet of model servers, in memory and with simulated time, and planners with given servers.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rollout::{
    ModelReport, OrderReply, Pacing, Planner, RolloutAction, RolloutServer, ServerReport, UpdateMethod,
    VersionOrder,
};

pub const MODEL: &str = "finch";
pub const OTHER_MODEL: &str = "wren";
/// Duration of a load, not counting the time for draining running requests.
pub const LOAD_DURATION: Duration = Duration::from_millis(400);
/// Time by which the server list lags behind the servers.
const LIST_LAG: Duration = Duration::from_millis(1000);
/// Interval at which the planner gets a new server list.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// Age of the values in a report.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Latency of a call in each direction.
const CALL_LATENCY: Duration = Duration::from_millis(4);

/// Returns a duration of this many milliseconds.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the address of a server, whose last octet is the index of the server.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 8080))
}

/// Fault of the calls to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    None,
    /// The server handles orders, but their replies are lost. Requests for reports fail.
    RepliesLost,
    /// The server handles no calls.
    Unresponsive,
}

/// State of a server from the time `at` until the next snapshot.
#[derive(Clone, Debug)]
struct ServerSnapshot {
    at: Duration,
    versions: BTreeMap<Arc<str>, u64>,
    /// Number of orders that the server had accepted since its start.
    order_count: u64,
    occupied: bool,
}

/// Simulated model server.
pub struct FleetServer {
    pub id: Arc<str>,
    pub index: usize,
    pub zone: Arc<str>,
    pub is_closing: bool,
    pub fault: CallFault,
    /// Time at which all running requests have completed.
    pub busy_until: Duration,
    /// States in ascending order of time; never empty.
    history: Vec<ServerSnapshot>,
    /// Model, version and end of the load in progress.
    loading: Option<(Arc<str>, u64, Duration)>,
    pub orders_accepted: Vec<(Arc<str>, u64)>,
    pub orders_received: usize,
    pub reports_requested: usize,
}

impl FleetServer {
    fn new(index: usize, zone: &str, versions: &[(&str, u64)]) -> Self {
        let versions = versions.iter().map(|(model, version)| (Arc::from(*model), *version)).collect();
        Self {
            id: format!("i-{index}").into(),
            index,
            zone: zone.into(),
            is_closing: false,
            fault: CallFault::None,
            busy_until: Duration::ZERO,
            history: vec![ServerSnapshot { at: Duration::ZERO, versions, order_count: 0, occupied: false }],
            loading: None,
            orders_accepted: Vec::new(),
            orders_received: 0,
            reports_requested: 0,
        }
    }

    /// Returns the state at a time, or the first state if the time is earlier.
    fn snapshot(&self, at: Duration) -> &ServerSnapshot {
        let latest = self.history.iter().rev().find(|snapshot| snapshot.at <= at);
        latest.unwrap_or(&self.history[0])
    }

    /// Returns the number of orders that the server has accepted since its start.
    fn order_count(&self) -> u64 {
        self.history.last().expect("the history is never empty").order_count
    }

    pub fn version(&self, model: &str) -> u64 {
        self.history.last().expect("the history is never empty").versions[model]
    }

    /// Completes the load in progress if it has ended by `now`.
    fn advance(&mut self, now: Duration) {
        if self.loading.as_ref().is_some_and(|(_, _, until)| *until <= now) {
            let (model, version, until) = self.loading.take().expect("a load is in progress");
            let mut versions = self.history.last().expect("the history is never empty").versions.clone();
            versions.insert(model, version);
            let order_count = self.order_count();
            self.history.push(ServerSnapshot { at: until, versions, order_count, occupied: false });
        }
    }

    fn handle_order(&mut self, now: Duration, order: &VersionOrder) -> OrderReply {
        let is_expected = order.expected_order_count.is_none_or(|count| count == self.order_count());
        if self.loading.is_some() || !is_expected {
            return OrderReply::Busy;
        }
        if self.version(&order.model) >= order.version {
            return OrderReply::AlreadyLoaded;
        }
        let start = if order.method == UpdateMethod::Drain { now.max(self.busy_until) } else { now };
        self.loading = Some((Arc::clone(&order.model), order.version, start + LOAD_DURATION));
        let versions = self.history.last().expect("the history is never empty").versions.clone();
        let order_count = self.order_count() + 1;
        self.history.push(ServerSnapshot { at: now, versions, order_count, occupied: true });
        self.orders_accepted.push((Arc::clone(&order.model), order.version));
        OrderReply::Accepted
    }

    fn report(&self, now: Duration) -> ServerReport {
        let snapshot = self.snapshot(now.saturating_sub(REPORT_LAG));
        let models = snapshot.versions.iter();
        ServerReport {
            models: models
                .map(|(name, version)| ModelReport { name: Arc::clone(name), version: *version })
                .collect(),
            occupied: snapshot.occupied,
            orders_accepted: snapshot.order_count,
            queued: 0,
            running: u64::from(now < self.busy_until),
        }
    }

    fn list_entry(&self, now: Duration) -> RolloutServer {
        RolloutServer {
            id: Arc::clone(&self.id),
            address: address(self.index),
            zone: Arc::clone(&self.zone),
            is_closing: self.is_closing,
            models: self.snapshot(now.saturating_sub(LIST_LAG)).versions.clone(),
        }
    }
}

/// Event that is delivered to the planner at its due time.
enum FleetEvent {
    OrderReply(VersionOrder, OrderReply),
    Report(Arc<str>, ServerReport),
    ReportFailure(Arc<str>),
    ListDue,
}

/// Servers, a planner, and the calls between them, in simulated time.
pub struct ServerFleet {
    pub now: Duration,
    pub planner: Planner,
    pub servers: Vec<FleetServer>,
    /// Orders with the times at which they were sent.
    pub orders: Vec<(Duration, VersionOrder)>,
    /// Highest number of servers that were loading at the same time.
    pub max_loading: usize,
    targets: BTreeMap<Arc<str>, u64>,
    /// Pending events with their due times, in no particular order.
    events: Vec<(Duration, FleetEvent)>,
}

impl ServerFleet {
    pub fn new(count: usize) -> Self {
        let zones = ["a", "b", "c"];
        let start = [(MODEL, 1), (OTHER_MODEL, 1)];
        let servers = (0..count).map(|index| FleetServer::new(index, zones[index % 3], &start)).collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            planner: Planner::new(Pacing::default()),
            servers,
            orders: Vec::new(),
            max_loading: 0,
            targets: BTreeMap::new(),
            events: Vec::new(),
        };
        fleet.read_list();
        fleet
    }

    pub fn set_target(&mut self, model: &str, version: u64) {
        self.targets.insert(model.into(), version);
        self.planner.set_target_version(self.now, model, version);
    }

    pub fn set_in_place(&mut self, models: &[&str]) {
        let models: BTreeSet<Arc<str>> = models.iter().map(|model| Arc::from(*model)).collect();
        self.planner.set_in_place_models(models);
    }

    /// Replaces the planner, as after a change of the leader: the new planner has no record of the orders
    /// that were sent, and starts after `pause`. In operation, the orders of two leaders are at least
    /// `leaseMs` (3 s by default) apart if servers do not check fencing tokens.
    pub fn replace_planner(&mut self, pause: Duration) {
        self.now += pause;
        let now = self.now;
        self.servers.iter_mut().for_each(|server| server.advance(now));
        self.planner = Planner::new(Pacing::default());
        self.events.retain(|(_, event)| matches!(event, FleetEvent::ListDue));
        for (model, version) in self.targets.clone() {
            self.planner.set_target_version(self.now, &model, version);
        }
        self.update_planner_servers();
    }

    /// Restarts a server after a crash, as a new incarnation with the versions that it had. A load in
    /// progress is discarded.
    pub fn restart(&mut self, index: usize) {
        let versions =
            self.servers[index].history.last().expect("the history is never empty").versions.clone();
        let server = &mut self.servers[index];
        server.id = format!("{}'", server.id).into();
        server.loading = None;
        server.fault = CallFault::None;
        server.history =
            vec![ServerSnapshot { at: Duration::ZERO, versions, order_count: 0, occupied: false }];
    }

    /// Returns whether every server that is not closing has exactly this version of the model.
    pub fn all_have(&self, model: &str, version: u64) -> bool {
        self.servers.iter().filter(|server| !server.is_closing).all(|server| server.version(model) == version)
    }

    /// Advances the simulated time to `end`, with all calls and events until then.
    pub fn run_until(&mut self, end: Duration) {
        loop {
            self.perform_actions();
            let wake = self.planner.next_wakeup(self.now);
            assert!(wake.is_none_or(|wake| wake > self.now), "the next wake-up is not in the future");
            let event = self.events.iter().map(|(at, _)| *at).min();
            let next = [wake, event].into_iter().flatten().min().unwrap_or(end).min(end);
            self.now = self.now.max(next);
            self.servers.iter_mut().for_each(|server| server.advance(next));
            self.deliver_due_events();
            if next >= end {
                return;
            }
        }
    }

    /// Makes the calls that the planner returns.
    fn perform_actions(&mut self) {
        for action in self.planner.next_actions(self.now) {
            match action {
                RolloutAction::SendOrder(order) => self.send_order(order),
                RolloutAction::RequestReport(request) => self.send_report_request(&request.server),
            }
        }
    }

    fn send_order(&mut self, order: VersionOrder) {
        assert_eq!(
            self.targets.get(&order.model),
            Some(&order.version),
            "an order does not name the newest target version"
        );
        let arrival = self.now + CALL_LATENCY;
        let reply = match self.servers.iter_mut().find(|server| server.index == usize::from(octet(&order))) {
            Some(server) if server.fault == CallFault::Unresponsive => OrderReply::Indeterminate,
            Some(server) if server.id != order.server => OrderReply::WrongServer,
            Some(server) => {
                server.orders_received += 1;
                let reply = server.handle_order(arrival, &order);
                if server.fault == CallFault::RepliesLost {
                    OrderReply::Indeterminate
                } else {
                    reply
                }
            }
            None => OrderReply::NotAccepted,
        };
        let loading = self.servers.iter().filter(|server| server.loading.is_some()).count();
        self.max_loading = self.max_loading.max(loading);
        self.events.push((arrival + CALL_LATENCY, FleetEvent::OrderReply(order.clone(), reply)));
        self.orders.push((self.now, order));
    }

    fn send_report_request(&mut self, id: &Arc<str>) {
        let arrival = self.now + CALL_LATENCY;
        let event = match self.servers.iter_mut().find(|server| server.id == *id) {
            Some(server) if server.fault == CallFault::None => {
                server.reports_requested += 1;
                FleetEvent::Report(Arc::clone(id), server.report(arrival))
            }
            _ => FleetEvent::ReportFailure(Arc::clone(id)),
        };
        self.events.push((arrival + CALL_LATENCY, event));
    }

    /// Passes all events that are due to the planner.
    fn deliver_due_events(&mut self) {
        let (due, later) = std::mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= self.now);
        self.events = later;
        for (_, event) in due {
            match event {
                FleetEvent::OrderReply(order, reply) => self.planner.on_order_reply(self.now, &order, reply),
                FleetEvent::Report(id, report) => self.planner.on_report(self.now, &id, &report),
                FleetEvent::ReportFailure(id) => self.planner.on_report_failure(self.now, &id),
                FleetEvent::ListDue => self.read_list(),
            }
        }
    }

    /// Passes the server list to the planner, and schedules the next list.
    fn read_list(&mut self) {
        self.update_planner_servers();
        self.events.push((self.now + LIST_INTERVAL, FleetEvent::ListDue));
    }

    /// Passes the server list to the planner, as of [`LIST_LAG`] ago.
    fn update_planner_servers(&mut self) {
        let listed: Vec<RolloutServer> =
            self.servers.iter().map(|server| server.list_entry(self.now)).collect();
        self.planner.set_servers(listed);
    }
}

/// Returns the last octet of the address of the order, which is the index of the server.
fn octet(order: &VersionOrder) -> u8 {
    match order.address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("the fleet has only IPv4 addresses"),
    }
}

/// Returns a list entry of a server with this version of [`MODEL`].
pub fn server(index: usize, zone: &str, version: u64) -> RolloutServer {
    RolloutServer {
        id: format!("i-{index}").into(),
        address: address(index),
        zone: zone.into(),
        is_closing: false,
        models: BTreeMap::from([(Arc::from(MODEL), version)]),
    }
}

/// Returns the server, version and method of each order among the actions.
pub fn orders<'a>(actions: &'a [RolloutAction]) -> Vec<(&'a str, u64, UpdateMethod)> {
    let order = |action: &'a RolloutAction| match action {
        RolloutAction::SendOrder(order) => Some((&*order.server, order.version, order.method)),
        RolloutAction::RequestReport(_) => None,
    };
    actions.iter().filter_map(order).collect()
}

/// Returns the order to this server to load a version of [`MODEL`].
pub fn order_to(server: &str, version: u64) -> VersionOrder {
    VersionOrder {
        server: server.into(),
        address: address(0),
        model: MODEL.into(),
        version,
        method: UpdateMethod::Drain,
        expected_order_count: None,
    }
}

/// Returns a planner with version 2 of [`MODEL`] as target, after each of these servers has reported that it
/// is idle.
pub fn planner_with_idle_servers(pacing: Pacing, servers: &[RolloutServer]) -> Planner {
    let mut planner = Planner::new(pacing);
    planner.set_servers(servers.iter().cloned());
    planner.set_target_version(ms(0), MODEL, 2);
    for action in planner.next_actions(ms(0)) {
        let RolloutAction::RequestReport(request) = action else {
            panic!("an order was sent before the first report of a server")
        };
        planner.on_report(ms(0), &request.server, &ServerReport::default());
    }
    planner
}
