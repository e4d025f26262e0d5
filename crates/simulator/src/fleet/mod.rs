//! The fleet: machines, their network and servers, and the time that passes.

mod delivery;
mod faults;
mod links;
mod looks;
mod outside;
mod transcript;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use settings::NodeSettings;
use storage::simulated::SimulatedDisk;
use tokio::sync::oneshot;

use crate::disk::DiskPace;
use crate::logging::set_context;
use crate::network::Network;
use crate::process::{Boot, Process};
use crate::requests::{Reply, Request};
use crate::servers::ModelServer;
use crate::wire::{ip_of, Outcome, Place, Wire};

use links::Links;
use transcript::Transcript;

/// The time passes in steps of this length: no message is faster.
const STEP: Duration = Duration::from_millis(2);
/// Clocks run fast or slow by one part in this many.
const CLOCK_PART: u32 = 1000;
/// A slow machine only runs this often.
const SLOW_EVERY: Duration = Duration::from_millis(120);
/// What cannot get through is sent again after this time ...
const RESEND: Duration = Duration::from_millis(100);
/// ... so many times; then the connection is given up.
const RESENDS_MOST: u32 = 8;
/// A caller from outside waits this long for an answer.
const OUTSIDE_WAIT: Duration = Duration::from_millis(1500);
/// Pause of a caller from outside between two tries.
const OUTSIDE_PAUSE: Duration = Duration::from_millis(200);
/// How many seeds the settings name.
const SEEDS: usize = 3;
/// The port for internal calls and the one of the operator's interface.
const INTERNAL_PORT: u16 = 7000;
const OPERATOR_PORT: u16 = 9000;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Traffic nodes with a disk.
    pub nodes: usize,
    /// Traffic nodes without a disk.
    pub diskless: usize,
    /// Stores.
    pub stores: usize,
    /// Model servers.
    pub servers: usize,
    /// How many machines with a disk may be lost at a time.
    pub machines_lost: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { nodes: 3, diskless: 0, stores: 3, servers: 4, machines_lost: 1 }
    }
}

/// A machine counts as lost for this long after its start (`catchUpS`), as the deployments of this size have it.
#[must_use]
pub fn catch_up(shape: Shape) -> Duration {
    Duration::from_millis(if shape.machines_lost > 1 { 6000 } else { 4500 })
}

/// What a machine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineKind {
    /// A traffic node with a disk.
    Node,
    /// A traffic node without a disk.
    DisklessNode,
    /// A store.
    Store,
}

struct Machine {
    station: String,
    kind: MachineKind,
    first_start: bool,
    disk: SimulatedDisk,
    pace: DiskPace,
    process: Option<Process>,
    /// When its process began.
    began: Duration,
    /// The clock runs fast, or slow.
    is_fast: bool,
    is_frozen: bool,
    is_slow: bool,
    /// It was taken away for good.
    is_removed: bool,
    /// It is taken away once its process has ended.
    leaves: bool,
    /// Calls that came while it was frozen.
    held_up: VecDeque<Event>,
    life: u64,
}

/// What happens next.
enum Event {
    Start { machine: usize, life: u64 },
    Call { call: u64, tries: u32 },
    Answer { call: u64, outcome: Outcome, tries: u32 },
    Request { node: usize, call: u64, request: Request },
    Reply { call: u64, reply: Reply },
}

/// A call between two places that has no answer yet.
struct Pending {
    from: usize,
    /// The life of the caller's process.
    life: u64,
    to: Place,
    path: String,
    body: Bytes,
    answer: Option<oneshot::Sender<Outcome>>,
    /// The life of the process that works on it.
    taken_by: Option<u64>,
}

/// A fleet in simulated time. Everything random in it, and in the code that it runs, is drawn from its seed; only one
/// fleet may run on a thread at a time.
pub struct Fleet {
    /// The time since the start.
    pub now: Duration,
    /// The network; it may be troubled.
    pub network: Network,
    /// The model servers.
    pub servers: Vec<ModelServer>,
    /// What the fleet draws from.
    pub random: Rng,
    machines: Vec<Machine>,
    shape: Shape,
    /// The nodes that the settings of a machine name as seeds; where it is not listed: the first that are there.
    seeds: BTreeMap<usize, Vec<usize>>,
    wire: Wire,
    events: BTreeMap<(Duration, u64), Event>,
    numbers: u64,
    calls: BTreeMap<u64, Pending>,
    replies: BTreeMap<u64, Reply>,
    /// Until when each machine with a disk counts as lost.
    lost_until: BTreeMap<usize, Duration>,
    links: Links,
    /// All messages so far.
    transcript: Transcript,
}

impl Fleet {
    /// Starts a whole system for the first time.
    #[must_use]
    pub fn start(seed: u64, shape: Shape) -> Self {
        fastrand::seed(seed);
        let mut fleet = Self {
            now: Duration::ZERO,
            network: Network::ordinary(),
            servers: (0..shape.servers).map(|index| ModelServer::new(index, "m")).collect(),
            random: Rng::with_seed(seed),
            machines: Vec::new(),
            shape,
            seeds: BTreeMap::new(),
            wire: Wire::default(),
            events: BTreeMap::new(),
            numbers: 0,
            calls: BTreeMap::new(),
            replies: BTreeMap::new(),
            lost_until: BTreeMap::new(),
            links: Links::default(),
            transcript: Transcript::default(),
        };
        let nodes = std::iter::repeat_n(MachineKind::Node, shape.nodes);
        let stores = std::iter::repeat_n(MachineKind::Store, shape.stores);
        let diskless = std::iter::repeat_n(MachineKind::DisklessNode, shape.diskless);
        for kind in nodes.chain(stores).chain(diskless) {
            fleet.add(kind, true);
        }
        fleet
    }

    /// Adds a machine with an empty disk, and starts it soon.
    pub fn add(&mut self, kind: MachineKind, first_start: bool) -> usize {
        let index = self.machines.len();
        self.machines.push(Machine {
            station: format!("{}-{index}", if kind == MachineKind::Store { "store" } else { "node" }),
            kind,
            first_start,
            disk: SimulatedDisk::new(self.random.u64(..)),
            pace: DiskPace::default(),
            process: None,
            began: Duration::ZERO,
            is_fast: self.random.bool(),
            is_frozen: false,
            is_slow: false,
            is_removed: false,
            leaves: false,
            held_up: VecDeque::new(),
            life: 0,
        });
        self.start_soon(index, Duration::from_millis(300));
        index
    }

    fn start_soon(&mut self, machine: usize, within: Duration) {
        let after = within.mul_f64(self.random.f64());
        let life = self.machines[machine].life;
        self.schedule(after, Event::Start { machine, life });
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.numbers += 1;
        self.events.insert((self.now + after, self.numbers), event);
    }

    fn begin(&mut self, index: usize) {
        let settings = self.settings_of(index);
        let seed = self.random.u64(..);
        let machine = &mut self.machines[index];
        if machine.process.is_some() {
            return;
        }
        let (disk, pace) = (machine.disk.clone(), machine.pace.clone());
        let boot =
            Boot { machine: index, settings: &settings, disk: &disk, pace: &pace, wire: &self.wire, seed };
        set_context(self.now, &machine.station);
        machine.process = Process::start(&boot);
        machine.began = self.now;
        if machine.process.is_none() {
            machine.life += 1;
            self.start_soon(index, Duration::from_secs(1));
        }
    }

    fn settings_of(&self, index: usize) -> NodeSettings {
        let machine = &self.machines[index];
        // The platform names nodes that are there when it writes the file.
        let is_present = |node: &usize| !self.is_store(*node) && !self.machines[*node].is_removed;
        let present = self.machines().filter(is_present).take(SEEDS);
        let seeds = self.seeds.get(&index).cloned().unwrap_or_else(|| present.collect());
        let seeds: Vec<String> =
            seeds.into_iter().map(|node| format!("\"{}:{OPERATOR_PORT}\"", ip_of(node))).collect();
        let serves = if self.is_store(index) { "\"vault\"" } else { "\"counter\", \"dispatch\"" };
        let data = if machine.kind == MachineKind::DisklessNode { "" } else { "dataDir = \"/data\"\n" };
        let text = format!(
            "station = \"{}\"\nip = \"{}\"\nzone = \"zone-{}\"\ninnerPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\n\
             serves = [{serves}]\nseedStations = [{}]\nfirstStart = {}\n{data}\
             [withstand]\nmachines = {}\n[timetable]\nleaseMs = 3000\nthawMs = 300\nstatusS = 120\n\
             catchUpS = {}\n",
            machine.station,
            ip_of(index),
            index % 3,
            seeds.join(", "),
            machine.first_start,
            self.shape.machines_lost,
            catch_up(self.shape).as_secs_f64(),
        );
        NodeSettings::parse(&text).expect("the settings are proper")
    }

    /// What the clock of a machine shows since its process began.
    fn clock_of(&self, index: usize) -> Duration {
        let machine = &self.machines[index];
        let time = self.now - machine.began;
        let apart = time / CLOCK_PART;
        if machine.is_fast {
            time + apart
        } else {
            time - apart
        }
    }

    /// From now on each machine's link carries this many bytes a second in each direction, one message after the other.
    pub fn set_link_speed(&mut self, bytes_per_second: f64) {
        self.links.set_speed(bytes_per_second);
    }

    /// Digest of all messages so far, with their times: runs of one seed are the same as long as it is.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.transcript.digest()
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until something is so; tells whether it came to be within `most`.
    pub fn run_until(&mut self, most: Duration, is_so: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + most;
        while self.now < until {
            if is_so(self) {
                return true;
            }
            self.step();
        }
        is_so(self)
    }

    /// Lets one step of time pass.
    pub fn step(&mut self) {
        self.now += STEP;
        self.servers.iter_mut().for_each(|server| server.advance(self.now));
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let event = entry.remove();
            self.happen(event);
        }
        for index in 0..self.machines.len() {
            self.run_machine(index);
            self.collect();
            self.end_if_done(index);
        }
    }

    fn run_machine(&mut self, index: usize) {
        let clock = self.clock_of_running(index);
        let machine = &mut self.machines[index];
        set_context(self.now, &machine.station);
        let (Some(clock), Some(process)) = (clock, &mut machine.process) else { return };
        if !machine.is_slow {
            process.run_until(clock);
        } else if clock > process.clock() + SLOW_EVERY {
            process.jump_to(clock);
        }
    }

    /// Ends a process that was told to, once it is done.
    fn end_if_done(&mut self, index: usize) {
        let machine = &self.machines[index];
        if !machine.process.as_ref().is_some_and(Process::has_ended) {
            return;
        }
        if machine.leaves {
            self.remove(index);
        } else {
            self.kill(index);
        }
    }

    fn clock_of_running(&self, index: usize) -> Option<Duration> {
        self.is_running(index).then(|| self.clock_of(index))
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start { machine, life } => {
                if self.machines[machine].life == life {
                    self.begin(machine);
                }
            }
            Event::Call { call, tries } => self.deliver_call(call, tries),
            Event::Answer { call, outcome, tries } => self.deliver_answer(call, outcome, tries),
            Event::Request { node, call, request } => {
                let machine = &mut self.machines[node];
                if machine.is_frozen {
                    machine.held_up.push_back(Event::Request { node, call, request });
                } else if let Some(process) = &machine.process {
                    process.request(call, request);
                }
            }
            Event::Reply { call, reply } => {
                self.replies.insert(call, reply);
            }
        }
    }
}
