//! Load of warming servers from all nodes together, in a simulation: nodes that do not communicate, servers
//! that have a queue and warm up after a restart, requests that arrive at random. In any window of
//! `warmup_overload_ms`, a warming server may get at most N + 2 * sqrt(N) + 2 attempts. N is
//! `warmup_overload_factor` times the number of requests that its capacity at the start of the window allows.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use balancer::*;
use common::*;

/// Requests per second that a warm server serves.
const CAPACITY: f64 = 40.0;
/// Maximum number of requests in the queue of a server, which rejects further ones.
const MAX_QUEUE: usize = 10;
/// Fraction of its capacity that a starting server has at least. Its load limit is computed from it.
const WARMUP_INITIAL_FRACTION: f64 = 0.12;
/// Fraction of its capacity with which a simulated server starts. Real servers, too, start with more than the
/// minimum. With less, the server would soon be full or late, and get fewer requests for that reason.
const SIMULATED_INITIAL_FRACTION: f64 = 0.36;
/// Total time that a client waits, in milliseconds.
const BUDGET: f64 = 900.0;
/// Time of the fault, in milliseconds.
const FAULT_AT: f64 = 3_000.0;
/// Length of the burst of requests after the fault, in milliseconds.
const BURST: f64 = 3_000.0;
/// Time after which no more requests arrive, in milliseconds.
const END: f64 = 10_000.0;

/// Nodes and servers of one scenario, and the fault that happens in it.
#[derive(Clone)]
struct Fleet {
    nodes: usize,
    /// Zone of each server.
    zones: Vec<usize>,
    /// Relative traffic of the nodes in each zone.
    traffic: Vec<f64>,
    /// Request rate as a fraction of the capacity of all servers when warm.
    load: f64,
    /// Servers that fail for the rest of the scenario.
    failed_servers: Vec<usize>,
    /// Servers that fail and restart, each with the time from the fault to its restart in milliseconds.
    starts: Vec<(usize, f64)>,
    /// Time from the fault to the server list without the failed servers, in milliseconds.
    announced_after_ms: f64,
    /// Servers that answer every request with an error after 1 ms.
    faulty: Vec<usize>,
    idempotency: Idempotency,
    /// Whether only answers to probes carry load reports, and nodes may probe.
    probes_only: bool,
}

impl Fleet {
    fn new(nodes: usize, servers: usize, zones: usize) -> Self {
        Self {
            nodes,
            zones: (0..servers).map(|i| i % zones).collect(),
            traffic: vec![1.0; zones],
            load: 1.0,
            failed_servers: Vec::new(),
            starts: Vec::new(),
            announced_after_ms: 0.0,
            faulty: Vec::new(),
            idempotency: Idempotency::Safe,
            probes_only: false,
        }
    }

    /// Returns the settings of a node.
    fn settings(&self, node_index: usize) -> DecisionSettings {
        let mut settings = DecisionSettings::new(vec![RequestClass::new(300.0, BUDGET, self.idempotency)]);
        (settings.nodes, settings.node_index, settings.zone) =
            (self.nodes, node_index, node_index % self.traffic.len());
        (settings.warmup_initial_fraction, settings.warmup_ms) = (WARMUP_INITIAL_FRACTION, 24_000.0);
        (settings.warmup_overload_factor, settings.warmup_overload_ms) = (3.0, 3_000.0);
        (settings.max_attempts, settings.cross_zone_price) = (5, 0.005);
        (settings.probes, settings.responses_carry_load) = (self.probes_only, !self.probes_only);
        settings
    }
}

/// Event of the simulation. `Change(usize::MAX)` is the fault, `Change` of a server is its restart, and
/// `Announce` passes the server list to all nodes.
#[derive(PartialEq, PartialOrd)]
enum Event {
    Arrival,
    AttemptEnds { node: usize, request: u64, attempt: usize, server: usize, incarnation: u32, sent_at: f64 },
    ProbeEnds { node: usize, server: usize },
    Timer { node: usize, timer: u64 },
    Change(usize),
    Announce,
}

/// An event with its time in milliseconds and its number in the order of scheduling, which decides at equal
/// times.
struct ScheduledEvent(f64, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// A simulated server. Its times are in milliseconds.
#[derive(Default)]
struct Server {
    up: bool,
    incarnation: u32,
    started_at: Option<f64>,
    /// End times of the requests in its queue.
    queue: VecDeque<f64>,
    /// End time of the last request in its queue.
    free_at: f64,
    /// Times of all attempts sent to it.
    sends: Vec<f64>,
}

/// State of one simulation.
struct Simulation {
    fleet: Fleet,
    random: fastrand::Rng,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// Scheduled events, the earliest first.
    due: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    scheduled: u64,
    /// Index of the last attempt and arrival time of each request.
    attempts: HashMap<u64, (usize, f64)>,
    /// Number of requests served after the fault.
    served: usize,
}

/// How much load the warming servers got in a simulation, and how much was served.
struct SimulationResult {
    /// Maximum number of attempts at a warming server in a window, as a fraction of the number allowed.
    worst: f64,
    /// Attempts at all warming servers, as a fraction of their load limit from their start to the end.
    used: f64,
    /// Fraction of the requests after the fault that were served.
    served: f64,
}

/// Returns the requests per ms of a server of this age (ms) that started with the fraction `initial` of its
/// capacity.
fn capacity(initial: f64, age: f64) -> f64 {
    CAPACITY / 1_000.0 * (initial + (1.0 - initial) * (age / 24_000.0).min(1.0))
}

impl Simulation {
    /// Schedules an event at the time `at`.
    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        self.due.push(Reverse(ScheduledEvent(at, self.scheduled, event)));
    }

    /// Passes the list of the running servers to all nodes.
    fn announce(&mut self, now: f64) {
        let entries: Vec<_> = self.servers.iter().enumerate().filter(|(_, s)| s.up).collect();
        let entries: Vec<_> = entries
            .into_iter()
            .map(|(i, s)| ServerEntry {
                started_at: s.started_at,
                zone: self.fleet.zones[i],
                cell: i / 3,
                key: (i as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15),
                ..ServerEntry::new(ServerId(i), Availability::Ready)
            })
            .collect();
        for node in 0..self.nodes.len() {
            self.feed(now, node, BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(entries.clone())));
        }
    }

    /// Passes an event to a node and carries out its actions.
    fn feed(&mut self, now: f64, node: usize, event: BalancerEvent) {
        self.nodes[node].now = now;
        for action in self.nodes[node].feed(event) {
            match action {
                BalancerAction::Send { request, server, .. } => self.send(now, node, request.0, server.0),
                BalancerAction::Probe { server } => {
                    self.schedule(now + 1.0, Event::ProbeEnds { node, server: server.0 })
                }
                BalancerAction::SetTimer { timer, after_ms } => {
                    self.schedule(now + after_ms, Event::Timer { node, timer });
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt to a server and schedules its end.
    fn send(&mut self, now: f64, node: usize, request: u64, server: usize) {
        let (attempt, arrived_at) =
            *self.attempts.entry(request).and_modify(|(n, _)| *n += 1).or_insert((0, now));
        let target = &mut self.servers[server];
        target.sends.push(now);
        let age = target.started_at.map_or(f64::INFINITY, |at| now - at);
        let fails_at_once =
            !target.up || target.queue.len() >= MAX_QUEUE || self.fleet.faulty.contains(&server);
        let ends_at = if fails_at_once {
            now + 1.0
        } else {
            target.free_at = target.free_at.max(now)
                - self.random.f64().max(1e-9).ln() / capacity(SIMULATED_INITIAL_FRACTION, age);
            target.queue.push_back(target.free_at);
            (target.free_at + 1.0).min(arrived_at + BUDGET)
        };
        let incarnation = if fails_at_once { u32::MAX } else { target.incarnation };
        self.schedule(
            ends_at,
            Event::AttemptEnds { node, request, attempt, server, incarnation, sent_at: now },
        );
    }

    /// Returns the load report of a server, after removal of the requests that it has finished.
    fn load_report(&mut self, now: f64, server: usize) -> Option<LoadReport> {
        let queue = &mut self.servers[server].queue;
        while queue.front().is_some_and(|end| *end <= now - 1.0) {
            queue.pop_front();
        }
        Some(LoadReport { in_flight: Some(queue.len() as f64), queued: None })
    }

    /// Passes the end of an attempt to its node. The incarnation `u32::MAX` marks an attempt that failed at
    /// once.
    fn end_attempt(&mut self, now: f64, event: Event) {
        let Event::AttemptEnds { node, request, attempt, server, incarnation, sent_at } = event else {
            return;
        };
        let report = self.load_report(now, server);
        let (up, (_, arrived_at)) = (self.servers[server].up, self.attempts[&request]);
        let outcome = match incarnation {
            u32::MAX if !up => AttemptOutcome::Unreachable,
            u32::MAX if self.fleet.faulty.contains(&server) => AttemptOutcome::Error,
            u32::MAX => AttemptOutcome::Rejected,
            incarnation if !up || incarnation != self.servers[server].incarnation => AttemptOutcome::Reset,
            _ if now - arrived_at >= BUDGET => AttemptOutcome::TimedOut,
            _ => AttemptOutcome::Served,
        };
        self.served += usize::from(outcome == AttemptOutcome::Served && now > FAULT_AT);
        let carries_report = up && !self.fleet.probes_only;
        let attempt_end = AttemptEnd {
            request: RequestId(request),
            attempt,
            elapsed_ms: now - sent_at,
            outcome,
            complete: outcome == AttemptOutcome::Served,
            report: report.filter(|_| carries_report && outcome != AttemptOutcome::TimedOut),
        };
        self.feed(now, node, BalancerEvent::AttemptEnded(attempt_end));
    }

    /// Runs one simulation of a fleet.
    #[allow(clippy::too_many_lines, reason = "the steps of one simulation, in their order")]
    fn run(fleet: &Fleet, seed: u64) -> SimulationResult {
        let count = fleet.zones.len();
        let running = |_| Server { up: true, ..Server::default() };
        let mut simulation = Self {
            nodes: (0..fleet.nodes)
                .map(|node| Node::new(fleet.settings(node), seed * 1_000 + node as u64))
                .collect(),
            servers: (0..count).map(running).collect(),
            random: fastrand::Rng::with_seed(seed),
            due: BinaryHeap::new(),
            scheduled: 0,
            attempts: HashMap::new(),
            served: 0,
            fleet: fleet.clone(),
        };
        // Within a zone, the busiest nodes get three times the traffic of the least busy ones.
        let weight =
            |node: usize| (0.5 + (node * 7 % 5) as f64 / 4.0) * fleet.traffic[node % fleet.traffic.len()];
        let weights: Vec<f64> = (0..fleet.nodes).map(weight).collect();
        let (total_weight, mut id, mut after_fault) = (weights.iter().sum::<f64>(), 0, 0);
        simulation.announce(0.0);
        simulation.schedule(0.0, Event::Arrival);
        simulation.schedule(FAULT_AT, Event::Change(usize::MAX));
        for (server, later) in fleet.starts.clone() {
            simulation.schedule(FAULT_AT + later, Event::Change(server));
        }
        while let Some(Reverse(ScheduledEvent(now, _, event))) = simulation.due.pop() {
            match event {
                Event::Arrival if now < END => {
                    let mut rest = simulation.random.f64() * total_weight;
                    let node = weights.iter().position(|w| {
                        rest -= w;
                        rest < 0.0
                    });
                    id += 1;
                    after_fault += usize::from(now > FAULT_AT);
                    let burst = (FAULT_AT..FAULT_AT + BURST).contains(&now);
                    let rate = if burst { 1.5 } else { 1.0 } * fleet.load * CAPACITY / 1_000.0 * count as f64;
                    let gap = -simulation.random.f64().max(1e-9).ln() / rate;
                    simulation.schedule(now + gap, Event::Arrival);
                    simulation.feed(
                        now,
                        node.unwrap_or(0),
                        BalancerEvent::RequestArrived(ClientRequest::new(RequestId(id), 0, BUDGET)),
                    );
                }
                Event::Arrival => {}
                Event::Announce => simulation.announce(now),
                Event::Change(usize::MAX) => {
                    fleet.failed_servers.iter().for_each(|i| simulation.servers[*i].up = false);
                    fleet.starts.iter().for_each(|(i, _)| simulation.servers[*i].up = false);
                    simulation.schedule(now + fleet.announced_after_ms, Event::Announce);
                }
                Event::Change(server) => {
                    let incarnation = simulation.servers[server].incarnation + 1;
                    simulation.servers[server] =
                        Server { up: true, incarnation, started_at: Some(now), ..Server::default() };
                    simulation.announce(now);
                }
                Event::ProbeEnds { node, server } => {
                    let report =
                        simulation.load_report(now, server).filter(|_| simulation.servers[server].up);
                    let outcome =
                        if report.is_some() { AttemptOutcome::Served } else { AttemptOutcome::Unreachable };
                    simulation.feed(
                        now,
                        node,
                        BalancerEvent::ProbeEnded { server: ServerId(server), outcome, report },
                    );
                }
                Event::Timer { node, timer } => simulation.feed(now, node, BalancerEvent::TimerFired(timer)),
                Event::AttemptEnds { .. } => simulation.end_attempt(now, event),
            }
        }
        let (mut worst, mut sent, mut budget) = (0.0_f64, 0.0, 0.0);
        for server in simulation.servers.iter().filter(|s| s.started_at.is_some()) {
            let started_at = server.started_at.unwrap_or_default();
            for (first, at) in server.sends.iter().enumerate() {
                let limit = 3.0 * capacity(WARMUP_INITIAL_FRACTION, at - started_at) * 3_000.0;
                let in_window = server.sends[first..].partition_point(|t| *t < at + 3_000.0) as f64;
                worst = worst.max(in_window / (limit + 2.0 * limit.sqrt() + 2.0));
            }
            sent += server.sends.len() as f64;
            let duration = END - started_at;
            budget += 3.0 * capacity(WARMUP_INITIAL_FRACTION, duration / 2.0) * duration;
        }
        SimulationResult { worst, used: sent / budget, served: simulation.served as f64 / after_fault as f64 }
    }
}

/// Returns restarts of these servers at the time of the fault.
fn restarts(servers: impl Iterator<Item = usize>) -> Vec<(usize, f64)> {
    servers.map(|i| (i, 0.0)).collect()
}

/// Returns restarts of these servers after the fault, one every `gap` milliseconds.
fn staggered_restarts(servers: impl Iterator<Item = usize>, gap: f64) -> Vec<(usize, f64)> {
    servers.enumerate().map(|(k, i)| (i, gap * (1 + k) as f64)).collect()
}

/// Runs two simulations of a fleet, prints their results, and returns the worst window of both and the
/// mean fraction of the load limit that was used.
fn simulate(name: &str, fleet: &Fleet) -> (f64, f64) {
    let results: Vec<SimulationResult> = (1..=2).map(|seed| Simulation::run(fleet, seed)).collect();
    let worst = results.iter().map(|result| result.worst).fold(0.0, f64::max);
    let mean =
        |figure: fn(&SimulationResult) -> f64| results.iter().map(figure).sum::<f64>() / results.len() as f64;
    let (used, served) = (mean(|result| result.used), mean(|result| result.served));
    let (nodes, servers) = (fleet.nodes, fleet.zones.len());
    println!("{name}, {nodes} nodes, {servers} servers: worst {worst:.2} used {used:.2} served {served:.2}");
    (worst, used)
}

/// Returns named scenarios in which no warming server may be overloaded, for this number of nodes and
/// servers.
fn restart_scenarios(nodes: usize, servers: usize) -> Vec<(&'static str, Fleet)> {
    let (one_zone, two_zones) = (Fleet::new(nodes, servers, 1), Fleet::new(nodes, servers, 2));
    let keyed = keyed(DeduplicationScope::Cell, 700.0);
    let second_zone = || (0..servers).filter(|i| i % 2 == 1);
    let all_but_three = 3..servers;
    vec![
        ("one restart", Fleet { starts: restarts(5..6), ..one_zone.clone() }),
        ("one restart at low load", Fleet { load: 0.6, starts: restarts(5..6), ..two_zones.clone() }),
        (
            "a third of the servers restart",
            Fleet { starts: restarts(0..servers / 3), traffic: vec![3.0, 1.0], ..two_zones.clone() },
        ),
        (
            "four servers restart, two are faulty",
            Fleet { faulty: vec![0, 9], starts: restarts(4..8), ..two_zones.clone() },
        ),
        (
            "two servers of a cell restart, retries are bound to their cell",
            Fleet { faulty: vec![0, 9], starts: restarts(1..3), idempotency: keyed, ..two_zones.clone() },
        ),
        ("all but one restart", Fleet { starts: restarts(1..servers), ..one_zone.clone() }),
        (
            "all but one restart, only probes report",
            Fleet { probes_only: true, starts: restarts(1..servers), ..one_zone.clone() },
        ),
        (
            "a zone restarts one by one",
            Fleet { starts: staggered_restarts(second_zone(), 700.0), ..two_zones.clone() },
        ),
        (
            "one restart in a small zone",
            Fleet {
                zones: (0..servers).map(|i| usize::from(i < 2)).collect(),
                starts: restarts(1..2),
                ..two_zones.clone()
            },
        ),
        (
            "most fail, one restart",
            Fleet {
                failed_servers: all_but_three.clone().collect(),
                starts: restarts(2..3),
                ..two_zones.clone()
            },
        ),
        (
            "most fail, one restart, only probes report",
            Fleet {
                probes_only: true,
                failed_servers: all_but_three.clone().collect(),
                starts: restarts(2..3),
                ..two_zones.clone()
            },
        ),
        (
            "most fail, all others restart",
            Fleet { failed_servers: all_but_three.collect(), starts: restarts(0..3), ..two_zones },
        ),
    ]
}

/// Checks all scenarios with these numbers of nodes.
fn check_overload(nodes: &[usize], servers: usize) {
    let mut overloaded = Vec::new();
    for nodes in nodes {
        for (name, fleet) in restart_scenarios(*nodes, servers) {
            let (worst, _) = simulate(name, &fleet);
            if worst > 1.0 {
                overloaded.push(format!("{name}, {nodes} nodes: {worst:.2} of the load limit"));
            }
        }
    }
    assert!(overloaded.is_empty(), "{overloaded:#?}");
}

#[test]
fn up_to_thirteen_nodes_together_do_not_overload_warming_servers() {
    check_overload(&[1, 3, 12, 13], 12);
}

#[test]
fn twenty_and_thirty_nodes_together_do_not_overload_warming_servers() {
    check_overload(&[20, 30], 16);
}

/// Each node uses a small subset of the servers. Guards against every node sending to the first restarted
/// server of a zone, and against few remaining servers that each get many times their capacity.
#[test]
fn three_hundred_nodes_together_do_not_overload_warming_servers() {
    check_overload(&[300], 60);
}

/// Guards against nodes that send nothing to warming servers because no warm server has answered for a while,
/// and so never detect that the warming ones answer. If all servers are warming, or all others are faulty,
/// the warming ones must still get requests.
#[test]
fn warming_servers_get_requests_if_there_are_no_healthy_warm_servers() {
    for nodes in [1, 3, 12, 13, 30] {
        let fleet = Fleet::new(nodes, 12, 1);
        let late = Fleet {
            announced_after_ms: 800.0,
            starts: (0..12).map(|i| (i, 1_000.0)).collect(),
            ..fleet.clone()
        };
        let faulty = Fleet { faulty: vec![0], starts: restarts(1..12), ..fleet };
        for (name, fleet) in [("all restart, announced late", late), ("all but a faulty one restart", faulty)]
        {
            let (worst, used) = simulate(name, &fleet);
            assert!(worst <= 1.0, "{name}, {nodes} nodes: {worst:.2} of the load limit");
            assert!(used > 0.1, "{name}, {nodes} nodes: only {used:.2} of the load limit used");
        }
    }
}
