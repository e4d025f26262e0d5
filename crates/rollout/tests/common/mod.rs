//! An in-memory fleet of model servers in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rollout::{
    Method, ModelReport, OrderReply, Pacing, Planner, RolloutAction, RolloutServer, ServerReport,
    VersionOrder,
};

pub const MODEL: &str = "finch";
pub const OTHER_MODEL: &str = "wren";
/// How long a load takes while few load.
pub const LOAD: Duration = Duration::from_millis(400);
/// How much the list lags behind the servers.
const LIST_LAG: Duration = Duration::from_millis(1000);
/// How often the list is read.
const LIST_PERIOD: Duration = Duration::from_millis(1000);
/// How old the values of a report are.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// How long a call takes.
const CALL: Duration = Duration::from_millis(4);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 8080))
}

/// What happens to calls of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Calls are carried out, and their answers are lost.
    AnswersLost,
    /// Calls get no answer and are not carried out.
    Dark,
}

/// What was true of a server from some moment on.
#[derive(Clone, Debug)]
struct Moment {
    at: Duration,
    versions: BTreeMap<Arc<str>, u64>,
    occupied: bool,
}

pub struct FleetServer {
    pub id: Arc<str>,
    pub index: usize,
    pub zone: Arc<str>,
    pub closing: bool,
    pub fault: Fault,
    /// When the requests that run will have ended.
    pub busy_until: Duration,
    history: Vec<Moment>,
    loading: Option<(Arc<str>, u64, Duration)>,
    pub orders_taken: Vec<(Arc<str>, u64)>,
    pub orders_seen: usize,
    pub reports_asked: usize,
}

impl FleetServer {
    fn new(index: usize, zone: &str, versions: &[(&str, u64)]) -> Self {
        let versions = versions.iter().map(|(model, version)| (Arc::from(*model), *version)).collect();
        Self {
            id: format!("i-{index}").into(),
            index,
            zone: zone.into(),
            closing: false,
            fault: Fault::None,
            busy_until: Duration::ZERO,
            history: vec![Moment { at: Duration::ZERO, versions, occupied: false }],
            loading: None,
            orders_taken: Vec::new(),
            orders_seen: 0,
            reports_asked: 0,
        }
    }

    fn moment(&self, at: Duration) -> &Moment {
        let found = self.history.iter().rev().find(|moment| moment.at <= at);
        found.unwrap_or(&self.history[0])
    }

    pub fn version(&self, model: &str) -> u64 {
        self.history.last().expect("never empty").versions[model]
    }

    fn advance(&mut self, now: Duration) {
        if self.loading.as_ref().is_some_and(|(_, _, until)| *until <= now) {
            let (model, version, until) = self.loading.take().expect("just seen");
            let mut versions = self.history.last().expect("never empty").versions.clone();
            versions.insert(model, version);
            self.history.push(Moment { at: until, versions, occupied: false });
        }
    }

    fn take(&mut self, now: Duration, order: &VersionOrder) -> OrderReply {
        if self.loading.is_some() {
            return OrderReply::Busy;
        }
        if self.version(&order.model) >= order.version {
            return OrderReply::Holds;
        }
        let start = if order.method == Method::Hold { now.max(self.busy_until) } else { now };
        self.loading = Some((Arc::clone(&order.model), order.version, start + LOAD));
        let versions = self.history.last().expect("never empty").versions.clone();
        self.history.push(Moment { at: now, versions, occupied: true });
        self.orders_taken.push((Arc::clone(&order.model), order.version));
        OrderReply::Taken
    }

    fn report(&self, now: Duration) -> ServerReport {
        let moment = self.moment(now.saturating_sub(REPORT_LAG));
        let models = moment.versions.iter();
        ServerReport {
            models: models
                .map(|(name, version)| ModelReport { name: Arc::clone(name), version: *version })
                .collect(),
            occupied: moment.occupied,
            orders_taken: self.orders_taken.len() as u64,
            queued: 0,
            running: u64::from(now < self.busy_until),
        }
    }

    fn listed(&self, now: Duration) -> RolloutServer {
        RolloutServer {
            id: Arc::clone(&self.id),
            address: address(self.index),
            zone: Arc::clone(&self.zone),
            closing: self.closing,
            models: self.moment(now.saturating_sub(LIST_LAG)).versions.clone(),
        }
    }
}

/// An outcome on its way to the planner.
enum Event {
    Answered(Arc<str>, OrderReply),
    Reported(Arc<str>, ServerReport),
    NotReported(Arc<str>),
    List,
}

/// Servers, a planner, and the calls between them.
pub struct Fleet {
    pub now: Duration,
    pub planner: Planner,
    pub servers: Vec<FleetServer>,
    pub orders: Vec<(Duration, VersionOrder)>,
    pub most_loading: usize,
    named: BTreeMap<Arc<str>, u64>,
    events: Vec<(Duration, Event)>,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        let zones = ["a", "b", "c"];
        let start = [(MODEL, 1), (OTHER_MODEL, 1)];
        let servers = (0..count).map(|index| FleetServer::new(index, zones[index % 3], &start)).collect();
        let mut fleet = Self {
            now: Duration::ZERO,
            planner: Planner::new(Pacing::default()),
            servers,
            orders: Vec::new(),
            most_loading: 0,
            named: BTreeMap::new(),
            events: Vec::new(),
        };
        fleet.read_list();
        fleet
    }

    pub fn name(&mut self, model: &str, version: u64) {
        self.named.insert(model.into(), version);
        self.planner.set_target_version(self.now, model, version);
    }

    pub fn keep(&mut self, models: &[&str]) {
        let models: BTreeSet<Arc<str>> = models.iter().map(|model| Arc::from(*model)).collect();
        self.planner.set_keep(models);
    }

    /// The holder of the lease changes: its successor knows nothing of what was sent, and starts after a pause
    /// (leases of two holders are `leaseMs` apart at least).
    pub fn replace_planner(&mut self, pause: Duration) {
        self.now += pause;
        let now = self.now;
        self.servers.iter_mut().for_each(|server| server.advance(now));
        self.planner = Planner::new(Pacing::default());
        self.events.retain(|(_, event)| matches!(event, Event::List));
        for (model, version) in self.named.clone() {
            self.planner.set_target_version(self.now, &model, version);
        }
        self.show_list();
    }

    /// The server crashes and comes back as a new incarnation with the versions that it had.
    pub fn restart(&mut self, index: usize) {
        let versions = self.servers[index].history.last().expect("never empty").versions.clone();
        let server = &mut self.servers[index];
        server.id = format!("{}'", server.id).into();
        server.loading = None;
        server.fault = Fault::None;
        server.history = vec![Moment { at: Duration::ZERO, versions, occupied: false }];
    }

    pub fn all_have(&self, model: &str, version: u64) -> bool {
        self.servers.iter().filter(|server| !server.closing).all(|server| server.version(model) == version)
    }

    /// Lets time pass until the moment given.
    pub fn run_until(&mut self, end: Duration) {
        loop {
            self.act();
            let wake = self.planner.next_wake(self.now);
            assert!(wake.is_none_or(|wake| wake > self.now), "a wake-up that is due was left over");
            let event = self.events.iter().map(|(at, _)| *at).min();
            let next = [wake, event].into_iter().flatten().min().unwrap_or(end).min(end);
            self.now = self.now.max(next);
            self.servers.iter_mut().for_each(|server| server.advance(next));
            self.deliver();
            if next >= end {
                return;
            }
        }
    }

    fn act(&mut self) {
        for action in self.planner.decide(self.now) {
            match action {
                RolloutAction::Order(order) => self.order(order),
                RolloutAction::Ask(ask) => self.ask(&ask.server),
            }
        }
    }

    fn order(&mut self, order: VersionOrder) {
        assert_eq!(
            self.named.get(&order.model),
            Some(&order.version),
            "only the newest named version is ordered"
        );
        let arrival = self.now + CALL;
        let answer = match self.servers.iter_mut().find(|server| server.index == usize::from(octet(&order))) {
            Some(server) if server.fault == Fault::Dark => OrderReply::Unclear,
            Some(server) if server.id != order.server => OrderReply::OtherServer,
            Some(server) => {
                server.orders_seen += 1;
                let answer = server.take(arrival, &order);
                if server.fault == Fault::AnswersLost {
                    OrderReply::Unclear
                } else {
                    answer
                }
            }
            None => OrderReply::NotTaken,
        };
        let loading = self.servers.iter().filter(|server| server.loading.is_some()).count();
        self.most_loading = self.most_loading.max(loading);
        self.events.push((arrival + CALL, Event::Answered(Arc::clone(&order.server), answer)));
        self.orders.push((self.now, order));
    }

    fn ask(&mut self, id: &Arc<str>) {
        let arrival = self.now + CALL;
        let event = match self.servers.iter_mut().find(|server| server.id == *id) {
            Some(server) if server.fault == Fault::None => {
                server.reports_asked += 1;
                Event::Reported(Arc::clone(id), server.report(arrival))
            }
            _ => Event::NotReported(Arc::clone(id)),
        };
        self.events.push((arrival + CALL, event));
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= self.now);
        self.events = later;
        for (_, event) in due {
            match event {
                Event::Answered(id, answer) => self.planner.on_order_reply(self.now, &id, answer),
                Event::Reported(id, report) => self.planner.on_report(self.now, &id, &report),
                Event::NotReported(id) => self.planner.on_report_failure(self.now, &id),
                Event::List => self.read_list(),
            }
        }
    }

    fn read_list(&mut self) {
        self.show_list();
        self.events.push((self.now + LIST_PERIOD, Event::List));
    }

    fn show_list(&mut self) {
        let listed: Vec<RolloutServer> = self.servers.iter().map(|server| server.listed(self.now)).collect();
        self.planner.set_servers(listed);
    }
}

fn octet(order: &VersionOrder) -> u8 {
    match order.address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("the fleet has no such addresses"),
    }
}
