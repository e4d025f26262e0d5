//! Warming servers under the sum of what all nodes send. A closed model: nodes that share nothing, servers that work
//! off a queue and come back cold, clients that arrive at random. No more may reach a warming server in any window of
//! `tip_after_ms` than N + 2 x root of N + 2, N being `tip_multiple` x its capacity at the window's start.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use balancer::*;
use common::*;

/// Requests a second of a warm server.
const CAPACITY: f64 = 40.0;
const QUEUE: usize = 10;
/// Part of it that a cold one has at the least, by which it is judged; most start with more, and so do these: what is
/// late or full soon gets less for that.
const WARMUP_INITIAL_FRACTION: f64 = 0.12;
const STARTS_WITH: f64 = 0.36;
/// What a client waits in all (milliseconds).
const BUDGET: f64 = 900.0;
/// When the fault comes, the burst after it, and the end (milliseconds).
const FAULT_AT: f64 = 3_000.0;
const BURST: f64 = 3_000.0;
const END: f64 = 10_000.0;

#[derive(Clone)]
struct Fleet {
    nodes: usize,
    /// The zone of each server, and how much of the nodes' traffic comes in by each zone.
    zones: Vec<usize>,
    traffic: Vec<f64>,
    /// Of what all servers can do when warm.
    load: f64,
    /// Servers gone from the fault on, and those that start then or so many milliseconds later.
    failed_servers: Vec<usize>,
    starts: Vec<(usize, f64)>,
    /// How long after the fault the lists tell of it.
    announced_after_ms: f64,
    /// Servers that answer at once with an error.
    bad: Vec<usize>,
    idempotency: Idempotency,
    /// Only probes tell the load.
    asks: bool,
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
            bad: Vec::new(),
            idempotency: Idempotency::Safe,
            asks: false,
        }
    }

    fn settings(&self, me: usize) -> DecisionSettings {
        let mut settings = DecisionSettings::new(vec![RequestClass::new(300.0, BUDGET, self.idempotency)]);
        (settings.nodes, settings.node_index, settings.zone) = (self.nodes, me, me % self.traffic.len());
        (settings.warmup_initial_fraction, settings.warmup_ms) = (WARMUP_INITIAL_FRACTION, 24_000.0);
        (settings.warmup_overload_factor, settings.warmup_overload_ms) = (3.0, 3_000.0);
        (settings.max_attempts, settings.cross_zone_price) = (5, 0.005);
        (settings.probes, settings.responses_carry_load) = (self.asks, !self.asks);
        settings
    }
}

#[derive(PartialEq, PartialOrd)]
enum Due {
    Arrival,
    Ends { node: usize, request: u64, attempt: usize, server: usize, incarnation: u32, sent_at: f64 },
    Probed { node: usize, server: usize },
    Timer { node: usize, timer: u64 },
    Change(usize),
    Announce,
}

struct At(f64, u64, Due);

impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for At {}
impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

#[derive(Default)]
struct Server {
    up: bool,
    incarnation: u32,
    started_at: Option<f64>,
    queue: VecDeque<f64>,
    free_at: f64,
    sends: Vec<f64>,
}

struct Play {
    fleet: Fleet,
    random: fastrand::Rng,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    due: BinaryHeap<Reverse<At>>,
    order: u64,
    attempts: HashMap<u64, (usize, f64)>,
    served: usize,
}

/// What came of a play: the worst window as a part of what may come in it, the part of the budget that was used over
/// all warming servers, and the requests that were served after the fault, as a part of all.
struct PlayResult {
    worst: f64,
    used: f64,
    served: f64,
}

/// Requests a millisecond of a server that starts with such a part of what it can do.
fn capacity(from: f64, age: f64) -> f64 {
    CAPACITY / 1_000.0 * (from + (1.0 - from) * (age / 24_000.0).min(1.0))
}

impl Play {
    fn after(&mut self, at: f64, due: Due) {
        self.order += 1;
        self.due.push(Reverse(At(at, self.order, due)));
    }

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

    fn feed(&mut self, now: f64, node: usize, event: BalancerEvent) {
        self.nodes[node].now = now;
        for action in self.nodes[node].feed(event) {
            match action {
                BalancerAction::Send { request, server, .. } => self.send(now, node, request.0, server.0),
                BalancerAction::Probe { server } => {
                    self.after(now + 1.0, Due::Probed { node, server: server.0 })
                }
                BalancerAction::SetTimer { timer, after_ms } => {
                    self.after(now + after_ms, Due::Timer { node, timer });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: f64, node: usize, request: u64, server: usize) {
        let (attempt, came_at) =
            *self.attempts.entry(request).and_modify(|(n, _)| *n += 1).or_insert((0, now));
        let it = &mut self.servers[server];
        it.sends.push(now);
        let age = it.started_at.map_or(f64::INFINITY, |at| now - at);
        let quick = !it.up || it.queue.len() >= QUEUE || self.fleet.bad.contains(&server);
        let ends = if quick {
            now + 1.0
        } else {
            it.free_at = it.free_at.max(now) - self.random.f64().max(1e-9).ln() / capacity(STARTS_WITH, age);
            it.queue.push_back(it.free_at);
            (it.free_at + 1.0).min(came_at + BUDGET)
        };
        let incarnation = if quick { u32::MAX } else { it.incarnation };
        self.after(ends, Due::Ends { node, request, attempt, server, incarnation, sent_at: now });
    }

    fn held(&mut self, now: f64, server: usize) -> Option<LoadReport> {
        let queue = &mut self.servers[server].queue;
        while queue.front().is_some_and(|end| *end <= now - 1.0) {
            queue.pop_front();
        }
        Some(LoadReport { in_flight: Some(queue.len() as f64), queued: None })
    }

    fn ended(&mut self, now: f64, due: Due) {
        let Due::Ends { node, request, attempt, server, incarnation, sent_at } = due else { return };
        let report = self.held(now, server);
        let (up, (_, came_at)) = (self.servers[server].up, self.attempts[&request]);
        let outcome = match incarnation {
            u32::MAX if !up => AttemptOutcome::Unreachable,
            u32::MAX if self.fleet.bad.contains(&server) => AttemptOutcome::Error,
            u32::MAX => AttemptOutcome::Rejected,
            incarnation if !up || incarnation != self.servers[server].incarnation => AttemptOutcome::Reset,
            _ if now - came_at >= BUDGET => AttemptOutcome::TimedOut,
            _ => AttemptOutcome::Served,
        };
        self.served += usize::from(outcome == AttemptOutcome::Served && now > FAULT_AT);
        let heard = up && !self.fleet.asks;
        let attempt_end = AttemptEnd {
            request: RequestId(request),
            attempt,
            elapsed_ms: now - sent_at,
            outcome,
            complete: outcome == AttemptOutcome::Served,
            report: report.filter(|_| heard && outcome != AttemptOutcome::TimedOut),
        };
        self.feed(now, node, BalancerEvent::AttemptEnded(attempt_end));
    }

    #[allow(clippy::too_many_lines, reason = "the steps of one simulated day, in their order")]
    fn run(fleet: &Fleet, seed: u64) -> PlayResult {
        let count = fleet.zones.len();
        let fresh = |_| Server { up: true, ..Server::default() };
        let mut play = Self {
            nodes: (0..fleet.nodes)
                .map(|me| Node::new(fleet.settings(me), seed * 1_000 + me as u64))
                .collect(),
            servers: (0..count).map(fresh).collect(),
            random: fastrand::Rng::with_seed(seed),
            due: BinaryHeap::new(),
            order: 0,
            attempts: HashMap::new(),
            served: 0,
            fleet: fleet.clone(),
        };
        // Some nodes get three times what others get, and zones what they are said to get.
        let weight = |me: usize| (0.5 + (me * 7 % 5) as f64 / 4.0) * fleet.traffic[me % fleet.traffic.len()];
        let weights: Vec<f64> = (0..fleet.nodes).map(weight).collect();
        let (all, mut id, mut after) = (weights.iter().sum::<f64>(), 0, 0);
        play.announce(0.0);
        play.after(0.0, Due::Arrival);
        play.after(FAULT_AT, Due::Change(usize::MAX));
        for (server, later) in fleet.starts.clone() {
            play.after(FAULT_AT + later, Due::Change(server));
        }
        while let Some(Reverse(At(now, _, due))) = play.due.pop() {
            match due {
                Due::Arrival if now < END => {
                    let mut at = play.random.f64() * all;
                    let node = weights.iter().position(|w| {
                        at -= w;
                        at < 0.0
                    });
                    id += 1;
                    after += usize::from(now > FAULT_AT);
                    let burst = (FAULT_AT..FAULT_AT + BURST).contains(&now);
                    let rate = if burst { 1.5 } else { 1.0 } * fleet.load * CAPACITY / 1_000.0 * count as f64;
                    let gap = -play.random.f64().max(1e-9).ln() / rate;
                    play.after(now + gap, Due::Arrival);
                    play.feed(
                        now,
                        node.unwrap_or(0),
                        BalancerEvent::RequestArrived(ClientRequest::new(RequestId(id), 0, BUDGET)),
                    );
                }
                Due::Arrival => {}
                Due::Announce => play.announce(now),
                Due::Change(usize::MAX) => {
                    fleet.failed_servers.iter().for_each(|i| play.servers[*i].up = false);
                    fleet.starts.iter().for_each(|(i, _)| play.servers[*i].up = false);
                    play.after(now + fleet.announced_after_ms, Due::Announce);
                }
                Due::Change(server) => {
                    let incarnation = play.servers[server].incarnation + 1;
                    play.servers[server] =
                        Server { up: true, incarnation, started_at: Some(now), ..Server::default() };
                    play.announce(now);
                }
                Due::Probed { node, server } => {
                    let report = play.held(now, server).filter(|_| play.servers[server].up);
                    let outcome =
                        if report.is_some() { AttemptOutcome::Served } else { AttemptOutcome::Unreachable };
                    play.feed(
                        now,
                        node,
                        BalancerEvent::ProbeEnded { server: ServerId(server), outcome, report },
                    );
                }
                Due::Timer { node, timer } => play.feed(now, node, BalancerEvent::TimerFired(timer)),
                Due::Ends { .. } => play.ended(now, due),
            }
        }
        let (mut worst, mut sent, mut budget) = (0.0_f64, 0.0, 0.0);
        for server in play.servers.iter().filter(|s| s.started_at.is_some()) {
            let started_at = server.started_at.unwrap_or_default();
            for (first, at) in server.sends.iter().enumerate() {
                let n = 3.0 * capacity(WARMUP_INITIAL_FRACTION, at - started_at) * 3_000.0;
                let within = server.sends[first..].partition_point(|t| *t < at + 3_000.0) as f64;
                worst = worst.max(within / (n + 2.0 * n.sqrt() + 2.0));
            }
            sent += server.sends.len() as f64;
            let lasts = END - started_at;
            budget += 3.0 * capacity(WARMUP_INITIAL_FRACTION, lasts / 2.0) * lasts;
        }
        PlayResult { worst, used: sent / budget, served: play.served as f64 / after as f64 }
    }
}

fn together(servers: impl Iterator<Item = usize>) -> Vec<(usize, f64)> {
    servers.map(|i| (i, 0.0)).collect()
}

/// One after another, `gap` milliseconds apart.
fn in_turn(servers: impl Iterator<Item = usize>, gap: f64) -> Vec<(usize, f64)> {
    servers.enumerate().map(|(k, i)| (i, gap * (1 + k) as f64)).collect()
}

/// The worst window of two plays and the mean use of the budget. With `--nocapture` it tells them.
fn play(name: &str, fleet: &Fleet) -> (f64, f64) {
    let plays: Vec<PlayResult> = (1..=2).map(|seed| Play::run(fleet, seed)).collect();
    let worst = plays.iter().map(|p| p.worst).fold(0.0, f64::max);
    let mean = |figure: fn(&PlayResult) -> f64| plays.iter().map(figure).sum::<f64>() / plays.len() as f64;
    let (used, served) = (mean(|p| p.used), mean(|p| p.served));
    let (nodes, servers) = (fleet.nodes, fleet.zones.len());
    println!("{name}, {nodes} nodes, {servers} servers: worst {worst:.2} used {used:.2} served {served:.2}");
    (worst, used)
}

/// What a warming server must be spared in, in a fleet of that many servers.
fn faults(nodes: usize, servers: usize) -> Vec<(&'static str, Fleet)> {
    let (one_zone, two) = (Fleet::new(nodes, servers, 1), Fleet::new(nodes, servers, 2));
    let keyed = keyed(DeduplicationScope::Cell, 700.0);
    let zone = || (0..servers).filter(|i| i % 2 == 1);
    let few = 3..servers;
    vec![
        ("one", Fleet { starts: together(5..6), ..one_zone.clone() }),
        ("one of a quiet fleet", Fleet { load: 0.6, starts: together(5..6), ..two.clone() }),
        ("a third", Fleet { starts: together(0..servers / 3), traffic: vec![3.0, 1.0], ..two.clone() }),
        ("a third, some bad", Fleet { bad: vec![0, 9], starts: together(4..8), ..two.clone() }),
        (
            "a cell, bound",
            Fleet { bad: vec![0, 9], starts: together(1..3), idempotency: keyed, ..two.clone() },
        ),
        ("most", Fleet { starts: together(1..servers), ..one_zone.clone() }),
        ("most, asked", Fleet { asks: true, starts: together(1..servers), ..one_zone.clone() }),
        ("a zone in turn", Fleet { starts: in_turn(zone(), 700.0), ..two.clone() }),
        (
            "one of a small zone",
            Fleet {
                zones: (0..servers).map(|i| usize::from(i < 2)).collect(),
                starts: together(1..2),
                ..two.clone()
            },
        ),
        (
            "one of few left",
            Fleet { failed_servers: few.clone().collect(), starts: together(2..3), ..two.clone() },
        ),
        (
            "one of few left, asked",
            Fleet {
                asks: true,
                failed_servers: few.clone().collect(),
                starts: together(2..3),
                ..two.clone()
            },
        ),
        ("all of few left", Fleet { failed_servers: few.collect(), starts: together(0..3), ..two }),
    ]
}

fn spared(nodes: &[usize], servers: usize) {
    let mut broken = Vec::new();
    for nodes in nodes {
        for (name, fleet) in faults(*nodes, servers) {
            let (worst, _) = play(name, &fleet);
            if worst > 1.0 {
                broken.push(format!("{name}, {nodes} nodes: {worst:.2} of what may come"));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn a_handful_of_nodes_together_spare_warming_servers() {
    spared(&[1, 3, 12, 13], 12);
}

#[test]
fn twenty_or_thirty_nodes_together_spare_warming_servers() {
    spared(&[20, 30], 16);
}

/// Each node has few servers in its slice here. Of a zone that came back in turn every node met the first one, and of
/// the few that were left each got many times what it could do.
#[test]
fn three_hundred_nodes_together_spare_warming_servers() {
    spared(&[300], 60);
}

/// Where no warm server had answered for a while, nodes let the cold ones see nothing, so that nothing told them
/// better. Where there are only cold ones, or a bad one beside them, they get their part all the same.
#[test]
fn warming_servers_are_not_starved_where_there_are_no_others() {
    for nodes in [1, 3, 12, 13, 30] {
        let fleet = Fleet::new(nodes, 12, 1);
        let late = Fleet {
            announced_after_ms: 800.0,
            starts: (0..12).map(|i| (i, 1_000.0)).collect(),
            ..fleet.clone()
        };
        let bad = Fleet { bad: vec![0], starts: together(1..12), ..fleet };
        for (name, fleet) in [("all, told late", late), ("all but a bad one", bad)] {
            let (worst, used) = play(name, &fleet);
            assert!(worst <= 1.0, "{name}, {nodes} nodes: {worst:.2} of what may come");
            assert!(used > 0.1, "{name}, {nodes} nodes: {used:.2} of the budget used");
        }
    }
}
