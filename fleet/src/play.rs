//! Plays a scenario: threads of hollow nodes, of hollow servers and of discovery, and the steps in their time.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use balancer::{DecisionSettings, Idempotency, RequestClass};
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until};

use crate::catalogue::{Catalogue, Phase, Reach, Size};
use crate::node::{self, lock, Command, Held, Plan, SharedTally};
use crate::scenario::{Load, Scenario};
use crate::steps::{steps, Step, Timed};
use crate::tally::{Summary, Tally, Times};
use crate::traffic::Sums;
use crate::usage::{self, Memory, TooFewDescriptors};
use crate::world::{self, CountSums, World};
use crate::{discovery, server, slopes};

/// Bytes that a node takes for itself, with its connection to discovery, both ends.
const BYTES_PER_NODE: u64 = 64 * 1024;
/// Bytes of a server in a list, read and unread, and of one in the catalogue.
const BYTES_PER_MEMBER: u64 = 600;
/// Whole lists that are read at once, at the most, by the nodes of one thread as they start.
const LISTS_AT_ONCE: u64 = 4;
/// Descriptors besides connections: listeners' event loops, files, the standard ones.
const DESCRIPTORS: u64 = 200;
/// Progress is told this often.
const PROGRESS: Duration = Duration::from_secs(5);

/// How a play is run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Options {
    /// Threads that the hollow nodes are spread over.
    pub node_threads: usize,
    /// Memory that the play may need, in MiB.
    pub memory_mb: u64,
    /// All nodes have their first list within so many seconds, or the play does not begin.
    pub start_most_s: u64,
}

/// A play could not be run to its end.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// Too large.
    #[error("{nodes} nodes before {servers} servers need about {need_mb} MiB, and {most_mb} are allowed (--memory-mb)")]
    TooLarge {
        /// Nodes.
        nodes: usize,
        /// Servers.
        servers: usize,
        /// What they need.
        need_mb: u64,
        /// The limit.
        most_mb: u64,
    },
    /// What it would need is not known.
    #[error("the memory of a node cannot be measured: {0}")]
    NotMeasured(String),
    /// Too many sockets.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// A socket, thread or event loop could not be had.
    #[error("cannot set the play up: {0}")]
    Setup(#[from] io::Error),
    /// The nodes' settings make no sense.
    #[error("the nodes' settings: {0}")]
    Settings(#[from] balancer::SettingsError),
    /// Nodes got no list.
    #[error("{without} of {nodes} nodes had no list within {within_s} s, in which discovery sent {whole_lists} whole lists, {sent_bytes} bytes: is the list over the client's limit?")]
    NeverListed {
        /// Nodes without one.
        without: usize,
        /// All nodes.
        nodes: usize,
        /// How long they had, in seconds.
        within_s: u64,
        /// Whole lists that were sent meanwhile.
        whole_lists: u64,
        /// Bytes that discovery sent meanwhile.
        sent_bytes: u64,
    },
    /// A thread panicked.
    #[error("a thread of the play panicked")]
    Panicked,
}

/// What a play measured, from its start (when all nodes had a list) to its end.
#[derive(Clone, Debug, Serialize)]
pub struct Results {
    /// Seconds until all nodes had their first list.
    pub start_seconds: f64,
    /// Seconds from then to the end.
    pub seconds: f64,
    /// Steps done.
    pub steps: usize,
    /// Versions that came to be.
    pub versions: u64,
    /// Versions that some node held, or went past, in the play.
    pub versions_reached: usize,
    /// Nodes that were not on the newest version at the end.
    pub nodes_behind_at_end: usize,
    /// From a version's coming to be until one node held it or a later one.
    pub node_lag: Summary,
    /// From a version's coming to be until the last node that went to it or past it held it.
    pub all_nodes_lag: Summary,
    /// Seconds, added up over nodes, on a version that was not the newest.
    pub node_seconds_behind: f64,
    /// From a node's start to its first list, over the starts in the play.
    pub restart: Summary,
    /// What a node's decisions took to take a list in.
    pub take_list: Summary,
    /// What they took for a request.
    pub take_request: Summary,
    /// How much later than asked for the node threads woke up: what they add to all other times.
    pub late: Summary,
    /// What discovery and the servers did.
    pub answers: CountSums,
    /// Calls to discovery that failed or were silent, seen by the nodes.
    pub failed_calls: u64,
    /// Node starts.
    pub node_starts: u64,
    /// Requests that came to nodes.
    pub requests: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts.
    pub sends: u64,
    /// Probes.
    pub probes: u64,
    /// Bytes that discovery sent to one node in a second, on average.
    pub control_bytes_per_node_s: f64,
    /// Processor time of the node threads, in percent of a core for each node.
    pub core_percent_per_node: f64,
}

/// All that a report of a play tells.
pub struct Played {
    /// What was measured.
    pub results: Results,
    /// Processor seconds by role, in the play.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes and messages by role, in the play.
    pub traffic: BTreeMap<String, Sums>,
    /// Memory at the end, while all nodes ran.
    pub memory: Memory,
}

/// The memory that a play needs at the most, about, in bytes, where the decisions of a node take so many for each
/// server.
#[must_use]
pub fn estimate(size: Size, options: Options, bytes_per_server: u64) -> u64 {
    let (nodes, servers) = (size.nodes as u64, size.servers as u64);
    let lists = LISTS_AT_ONCE * options.node_threads as u64 + 2;
    nodes * (BYTES_PER_NODE + servers * bytes_per_server) + lists * servers * BYTES_PER_MEMBER
}

/// Refuses what is too large for the memory limit, by what the decisions as they are now take for a server.
fn fits(size: Size, options: Options) -> Result<(), PlayError> {
    let bytes = slopes::bytes_per_server().map_err(|error| PlayError::NotMeasured(error.to_string()))?;
    let need_mb = estimate(size, options, bytes).div_ceil(1 << 20);
    tracing::info!(bytes_per_server = bytes, need_mb, "memory estimated");
    if need_mb <= options.memory_mb {
        return Ok(());
    }
    let (nodes, servers) = (size.nodes, size.servers);
    Err(PlayError::TooLarge { nodes, servers, need_mb, most_mb: options.memory_mb })
}

/// Both ends of every connection are this process's.
fn descriptors(scenario: &Scenario, options: Options) -> u64 {
    let size = scenario.size;
    let load = scenario.load;
    let (nodes, racks) = (size.nodes as u64, size.racks as u64);
    // Idle connections, and as many as silent servers would hold for the whole of a deadline.
    let idle = if load.requests_per_s > 0.0 { options.node_threads as u64 * racks } else { 0 };
    let busy = (load.requests_per_s * load.deadline_ms.max(load.service_ms) / 1000.0).ceil() as u64;
    DESCRIPTORS + size.regions as u64 + racks + 2 * (nodes + idle + busy)
}

/// The settings of hollow nodes.
#[must_use]
pub fn settings(load: &Load) -> DecisionSettings {
    let mut settings =
        DecisionSettings::new(vec![RequestClass::new(load.aim_ms, load.deadline_ms, Idempotency::Safe)]);
    settings.drain_grace_ms = load.drain_grace_ms;
    settings.max_attempts = load.max_attempts;
    settings.max_retry_after_ms = Some(load.deadline_ms);
    settings
}

/// Runs a scenario to its end.
///
/// # Errors
///
/// Where it is too large, cannot be set up, or its nodes get no list.
pub fn play(scenario: &Scenario, options: Options) -> Result<Played, PlayError> {
    fits(scenario.size, options)?;
    usage::allow_descriptors(descriptors(scenario, options))?;
    let settings = settings(&scenario.load);
    settings.validate()?;
    let stage = Stage::set(scenario, settings, options)?;
    let runtime = runtime()?;
    let played = LocalSet::new().block_on(&runtime, stage.run(scenario, options));
    let joined = stage.end();
    let played = played?;
    joined?;
    Ok(played)
}

fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// All threads of a play.
struct Stage {
    world: Arc<World>,
    held: Arc<Held>,
    tallies: Vec<SharedTally>,
    commands: Vec<mpsc::UnboundedSender<Command>>,
    open: watch::Sender<bool>,
    over: watch::Sender<bool>,
    threads: Vec<JoinHandle<io::Result<()>>>,
}

impl Stage {
    fn set(scenario: &Scenario, settings: DecisionSettings, options: Options) -> Result<Self, PlayError> {
        let size = scenario.size;
        let place = |first, at: usize| {
            let [.., third, fourth] = (at as u32).to_be_bytes();
            world::listen(Ipv4Addr::new(127, first, third, fourth))
        };
        let agents = (0..size.regions).map(|region| place(10, region + 1)).collect::<io::Result<Vec<_>>>()?;
        let racks = (0..size.racks).map(|rack| place(20, rack + 1)).collect::<io::Result<Vec<_>>>()?;
        let addresses = |listeners: &[TcpListener]| -> io::Result<Vec<SocketAddr>> {
            listeners.iter().map(TcpListener::local_addr).collect()
        };
        let catalogue = Catalogue::new(size, addresses(&racks)?, scenario.load.log_entries);
        let plan = Plan {
            size,
            seed: scenario.seed,
            agents: addresses(&agents)?,
            settings,
            requests_per_s: scenario.load.requests_per_s / size.nodes as f64,
        };
        let mut stage = Self {
            world: Arc::new(World::new(catalogue)),
            held: Arc::new(Held::new(size.nodes)),
            tallies: Vec::new(),
            commands: Vec::new(),
            open: watch::Sender::new(false),
            over: watch::Sender::new(false),
            threads: Vec::new(),
        };
        let world = Arc::clone(&stage.world);
        stage.spawn("discovery-0", move || async move {
            for (region, listener) in agents.into_iter().enumerate() {
                tokio::task::spawn_local(discovery::serve(listener, Arc::clone(&world), region));
            }
            std::future::pending().await
        })?;
        let world = Arc::clone(&stage.world);
        let service_time = Duration::from_secs_f64(scenario.load.service_ms / 1000.0);
        stage.spawn("server-0", move || async move {
            for listener in racks {
                tokio::task::spawn_local(server::serve(listener, Arc::clone(&world), service_time));
            }
            std::future::pending().await
        })?;
        let plan = Arc::new(plan);
        for thread in 0..options.node_threads.clamp(1, size.nodes) {
            let tally: SharedTally = Arc::new(Mutex::new(Tally::default()));
            let (commands, received) = mpsc::unbounded_channel();
            let (plan, world, held) = (Arc::clone(&plan), Arc::clone(&stage.world), Arc::clone(&stage.held));
            let open = stage.open.subscribe();
            stage.tallies.push(Arc::clone(&tally));
            stage.commands.push(commands);
            stage.spawn(&format!("node-{thread}"), move || {
                node::run(plan, world, tally, held, open, received)
            })?;
        }
        for number in 0..size.nodes {
            stage.start(number);
        }
        Ok(stage)
    }

    /// A thread with an event loop of its own, until the play is over.
    fn spawn<F: std::future::Future<Output = ()>>(
        &mut self,
        name: &str,
        work: impl FnOnce() -> F + Send + 'static,
    ) -> io::Result<()> {
        let mut over = self.over.subscribe();
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            let runtime = runtime()?;
            LocalSet::new().block_on(&runtime, async move {
                tokio::select! {
                    () = work() => {}
                    _ = over.wait_for(|over| *over) => {}
                }
            });
            Ok(())
        })?;
        self.threads.push(thread);
        Ok(())
    }

    fn start(&self, number: usize) {
        // It fails where the thread has panicked, which the end of the play tells.
        let _ = self.commands[number % self.commands.len()].send(Command::Start(number));
    }

    fn end(self) -> Result<(), PlayError> {
        self.over.send_replace(true);
        drop(self.commands);
        for thread in self.threads {
            thread.join().map_err(|_| PlayError::Panicked)??;
        }
        Ok(())
    }

    fn without_list(&self) -> usize {
        self.held.versions().filter(|version| *version == 0).count()
    }

    fn behind(&self) -> usize {
        let newest = self.world.catalogue().revision();
        self.held.versions().filter(|version| *version < newest).count()
    }

    async fn run(&self, scenario: &Scenario, options: Options) -> Result<Played, PlayError> {
        let set = Instant::now();
        let mut told = set;
        loop {
            let (without, nodes) = (self.without_list(), scenario.size.nodes);
            let within_s = options.start_most_s;
            if set.elapsed() >= Duration::from_secs(within_s) {
                let whole_lists = self.world.counts.sums().whole_lists;
                let sent_bytes = self.world.discovery.sums().sent_bytes;
                return Err(PlayError::NeverListed { without, nodes, within_s, whole_lists, sent_bytes });
            }
            if without == 0 {
                break;
            }
            if told.elapsed() > PROGRESS {
                told = Instant::now();
                tracing::info!(without, nodes, "waiting for the first lists");
            }
            sleep(Duration::from_millis(10)).await;
        }
        let start_seconds = set.elapsed().as_secs_f64();
        tracing::info!(nodes = scenario.size.nodes, start_seconds, "all nodes have a list");
        // The start has its own figures; the play's begin here.
        self.tallies.iter().for_each(|tally| *lock(tally) = Tally::default());
        let (cpu, traffic, answers) = (usage::seconds_by_role(), self.traffic(), self.world.counts.sums());
        let first = self.world.catalogue().revision();
        let begun = tokio::time::Instant::now();
        self.open.send_replace(true);
        let steps = steps(scenario);
        let mut batches = HashMap::new();
        let mut progress = tokio::time::interval_at(begun + PROGRESS, PROGRESS);
        let end = begun + Duration::from_secs_f64(scenario.duration_s);
        let tell = |due: usize| {
            let (at_s, behind) = (begun.elapsed().as_secs(), self.behind());
            tracing::info!(at_s, of_s = scenario.duration_s, steps = due, behind, "playing");
        };
        let mut due = 0;
        loop {
            let next = steps.get(due).map_or(end, |(at, _)| (begun + *at).min(end));
            tokio::select! {
                () = sleep_until(next) => match steps.get(due) {
                    Some((_, step)) => {
                        self.carry_out(step, &mut batches);
                        due += 1;
                    }
                    None => break,
                },
                _ = progress.tick() => tell(due),
            }
        }
        let settled = end + Duration::from_secs_f64(scenario.settle_s);
        while self.behind() > 0 && tokio::time::Instant::now() < settled {
            tokio::select! {
                () = sleep(Duration::from_millis(10)) => {}
                _ = progress.tick() => tell(due),
            }
        }
        let seconds = begun.elapsed().as_secs_f64();
        let memory = Memory::now();
        let cpu_seconds = since(&usage::seconds_by_role(), &cpu);
        let traffic_at_end = self.traffic();
        let traffic: BTreeMap<_, _> =
            traffic_at_end.iter().map(|(role, sums)| (role.clone(), sums.since(traffic[role]))).collect();
        let answers = count_since(self.world.counts.sums(), answers);
        let mut tally = Tally::default();
        self.tallies.iter().for_each(|of_thread| tally.merge(&lock(of_thread)));
        let results = self.results(&tally, first, (start_seconds, seconds), &steps, answers);
        let nodes = scenario.size.nodes as f64;
        let results = Results {
            control_bytes_per_node_s: traffic["discovery"].sent_bytes as f64 / nodes / seconds,
            core_percent_per_node: 100.0 * cpu_seconds.get("node").copied().unwrap_or(0.0) / nodes / seconds,
            ..results
        };
        Ok(Played { results, cpu_seconds, traffic, memory })
    }

    fn results(
        &self,
        tally: &Tally,
        first: u64,
        (start_seconds, seconds): (f64, f64),
        steps: &[Timed],
        answers: CountSums,
    ) -> Results {
        let now = Instant::now();
        let catalogue = self.world.catalogue();
        let newest = catalogue.revision();
        let mut behind = tally.behind;
        let mut nodes_behind_at_end = 0;
        for held in self.held.versions().filter(|held| *held < newest) {
            nodes_behind_at_end += 1;
            let since = catalogue.published(held.max(first) + 1);
            behind += since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        }
        let mut all_nodes = Times::default();
        let reached = tally.spread.iter().filter(|spread| spread.nodes > 0);
        reached.clone().for_each(|spread| all_nodes.add(spread.longest));
        Results {
            start_seconds,
            seconds,
            steps: steps.len(),
            versions: newest - first,
            versions_reached: reached.count(),
            nodes_behind_at_end,
            node_lag: tally.lag.summary(),
            all_nodes_lag: all_nodes.summary(),
            node_seconds_behind: behind.as_secs_f64(),
            restart: tally.start.summary(),
            take_list: tally.listing.summary(),
            take_request: tally.request.summary(),
            late: tally.late.summary(),
            answers,
            failed_calls: tally.failed_calls,
            node_starts: tally.starts,
            requests: tally.requests,
            served: tally.served,
            refused: tally.refused,
            failed: tally.failed,
            sends: tally.sends,
            probes: tally.probes,
            control_bytes_per_node_s: 0.0,
            core_percent_per_node: 0.0,
        }
    }

    fn traffic(&self) -> BTreeMap<String, Sums> {
        let (discovery, server) = (self.world.discovery.sums(), self.world.servers.sums());
        // What nodes exchange is what the two others do, seen from the other side.
        let node = Sums {
            received_bytes: discovery.sent_bytes + server.sent_bytes,
            sent_bytes: discovery.received_bytes + server.received_bytes,
            messages: discovery.messages + server.messages,
            connections: discovery.connections + server.connections,
        };
        [("discovery", discovery), ("server", server), ("node", node)]
            .map(|(role, sums)| (role.to_owned(), sums))
            .into()
    }

    fn carry_out(&self, step: &Step, batches: &mut HashMap<usize, Vec<usize>>) {
        tracing::debug!(?step, "step");
        let up_since = self.world.now_ms() as u64;
        let change = |change: &dyn Fn(&mut Catalogue, &[usize]), slots: &[usize]| {
            self.world.change(|catalogue| {
                let numbers = catalogue.numbers(slots);
                change(catalogue, &numbers);
            });
        };
        match step {
            Step::Drain(slots) => change(&|c, numbers| c.set_phase(numbers, Phase::Leaving), slots),
            Step::Leave(slots) => change(
                &|c, numbers| {
                    c.set_reach(numbers, Reach::Gone);
                    c.set_phase(numbers, Phase::Left);
                },
                slots,
            ),
            Step::Silence(slots) => change(&|c, numbers| c.set_reach(numbers, Reach::Silent), slots),
            Step::Unlist(slots) => change(&|c, numbers| c.set_phase(numbers, Phase::Left), slots),
            Step::Return(slots) => change(&|c, numbers| c.restart(numbers, up_since), slots),
            Step::Replace { batch, slots } => self.world.change(|catalogue| {
                let old = catalogue.numbers(slots);
                catalogue.join(slots, up_since);
                catalogue.set_phase(&old, Phase::Leaving);
                batches.insert(*batch, old);
            }),
            Step::Retire { batch } => {
                let old = batches.remove(batch).unwrap_or_default();
                self.world.change(|catalogue| {
                    catalogue.set_reach(&old, Reach::Gone);
                    catalogue.set_phase(&old, Phase::Left);
                });
            }
            Step::Weigh { service, weight } => self.world.change(|c| c.weigh(*service, *weight)),
            Step::Cut { region, cut } => self.world.set_cut(*region, *cut),
            Step::Heard(heard) => {
                (0..self.world.catalogue().size().regions)
                    .for_each(|region| self.world.set_heard(region, *heard));
            }
            Step::RestartNodes(nodes) => nodes.iter().for_each(|node| self.start(*node)),
        }
    }
}

fn since(now: &BTreeMap<String, f64>, earlier: &BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    let less = |(role, seconds): (&String, &f64)| {
        (role.clone(), (seconds - earlier.get(role).copied().unwrap_or(0.0)).max(0.0))
    };
    now.iter().map(less).collect()
}

fn count_since(now: CountSums, earlier: CountSums) -> CountSums {
    CountSums {
        whole_lists: now.whole_lists - earlier.whole_lists,
        change_answers: now.change_answers - earlier.change_answers,
        no_news_answers: now.no_news_answers - earlier.no_news_answers,
        sends_to_left: now.sends_to_left - earlier.sends_to_left,
        sends_to_draining: now.sends_to_draining - earlier.sends_to_draining,
        sends_to_silent: now.sends_to_silent - earlier.sends_to_silent,
    }
}

/// The short table that a play ends with.
#[must_use]
pub fn table(scenario: &Scenario, played: &Played) -> String {
    let r = &played.results;
    let size = scenario.size;
    let mut text = String::new();
    let mut line = |name: &str, value: String| {
        // Writing to a string does not fail.
        let _ = writeln!(text, "{name:<28} {value}");
    };
    let times = |s: &Summary| {
        format!("p50 {:.1}  p99 {:.1}  max {:.1} ms  ({})", s.p50_ms, s.p99_ms, s.max_ms, s.count)
    };
    line("scenario", format!("{} (seed {})", scenario.name, scenario.seed));
    line("nodes, servers, services", format!("{}, {}, {}", size.nodes, size.servers, size.services));
    line("first lists, play", format!("{:.1} s, {:.1} s", r.start_seconds, r.seconds));
    line("steps, versions", format!("{}, {} ({} reached)", r.steps, r.versions, r.versions_reached));
    line("a node on a version", times(&r.node_lag));
    line("all nodes on a version", times(&r.all_nodes_lag));
    line("nodes behind at the end", format!("{}", r.nodes_behind_at_end));
    line("on an old version", format!("{:.1} node seconds", r.node_seconds_behind));
    line("decisions take a list", times(&r.take_list));
    line("decisions take a request", times(&r.take_request));
    line("node threads wake late by", times(&r.late));
    let a = &r.answers;
    line(
        "answers of discovery",
        format!("{} whole lists, {} changes, {} no news", a.whole_lists, a.change_answers, a.no_news_answers),
    );
    line("failed calls to it", format!("{}", r.failed_calls));
    if r.node_starts > 0 {
        line("node starts, first list", format!("{}, {}", r.node_starts, times(&r.restart)));
    }
    line(
        "requests",
        format!("{}: {} served, {} refused, {} failed", r.requests, r.served, r.refused, r.failed),
    );
    line(
        "sends",
        format!(
            "{}: {} to left, {} to draining, {} to silent servers",
            r.sends, a.sends_to_left, a.sends_to_draining, a.sends_to_silent
        ),
    );
    for (role, sums) in &played.traffic {
        line(
            &format!("{role}: bytes in, out"),
            format!(
                "{}, {}; {} messages, {} new connections",
                sums.received_bytes, sums.sent_bytes, sums.messages, sums.connections
            ),
        );
    }
    for (role, seconds) in &played.cpu_seconds {
        line(&format!("{role}: processor"), format!("{seconds:.2} s"));
    }
    line(
        "for one node",
        format!(
            "{:.0} bytes/s from discovery, {:.3}% of a core",
            r.control_bytes_per_node_s, r.core_percent_per_node
        ),
    );
    let mib = |bytes: u64| bytes >> 20;
    line("memory", format!("{} MiB, {} at the peak", mib(played.memory.resident), mib(played.memory.peak)));
    text
}
