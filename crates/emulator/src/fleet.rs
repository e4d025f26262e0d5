//! The fleet: machines, their network and servers, and the time that passes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fastrand::Rng;
use register::{Incarnation, Versioned};
use rpc::CallError;
use settings::Settings;
use state::{ControlState, ServerEntry};
use storage::simulated::{RandomFates, SimulatedDisk};
use tokio::sync::oneshot;

use crate::disk::DiskPace;
use crate::logging::set_context;
use crate::network::Network;
use crate::process::{Boot, Process};
use crate::requests::{JobCall, OperatorOrder, Reply, Request};
use crate::servers::ModelServer;
use crate::wire::{ip_of, Outcome, Outgoing, Place, Wire};

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
/// The port for internal calls and the one of the operator's interface.
const INTERNAL_PORT: u16 = 7000;
const OPERATOR_PORT: u16 = 9000;

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Traffic nodes, each with a disk.
    pub nodes: usize,
    /// Stores.
    pub stores: usize,
    /// Model servers.
    pub servers: usize,
    /// How many machines with a disk may be lost at a time.
    pub machines_lost: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { nodes: 3, stores: 3, servers: 4, machines_lost: 1 }
    }
}

struct Machine {
    station: String,
    is_store: bool,
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
    wire: Wire,
    events: BTreeMap<(Duration, u64), Event>,
    numbers: u64,
    calls: BTreeMap<u64, Pending>,
    replies: BTreeMap<u64, Reply>,
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
            wire: Wire::default(),
            events: BTreeMap::new(),
            numbers: 0,
            calls: BTreeMap::new(),
            replies: BTreeMap::new(),
        };
        for index in 0..shape.nodes + shape.stores {
            fleet.add(index >= shape.nodes, true);
        }
        fleet
    }

    /// Adds a machine with an empty disk, and starts it soon.
    pub fn add(&mut self, is_store: bool, first_start: bool) -> usize {
        let index = self.machines.len();
        self.machines.push(Machine {
            station: format!("{}-{index}", if is_store { "store" } else { "node" }),
            is_store,
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

    /// The traffic nodes that were there at the start.
    #[must_use]
    pub fn nodes(&self) -> std::ops::Range<usize> {
        0..self.shape.nodes
    }

    /// All machines.
    #[must_use]
    pub fn machines(&self) -> std::ops::Range<usize> {
        0..self.machines.len()
    }

    /// The size of the fleet at its start.
    #[must_use]
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The name of a machine.
    #[must_use]
    pub fn station(&self, machine: usize) -> &str {
        &self.machines[machine].station
    }

    /// Whether a machine keeps batch jobs.
    #[must_use]
    pub fn is_store(&self, machine: usize) -> bool {
        self.machines[machine].is_store
    }

    /// The traffic nodes that the operators' list shows: all that are not gone for good.
    #[must_use]
    pub fn present_nodes(&self) -> Vec<usize> {
        self.machines().filter(|machine| !self.is_store(*machine) && !self.is_leaving(*machine)).collect()
    }

    /// Whether a process runs there, and is not frozen.
    #[must_use]
    pub fn is_running(&self, machine: usize) -> bool {
        self.machines[machine].process.is_some() && !self.machines[machine].is_frozen
    }

    /// The incarnation of the disk of a machine, while its process runs.
    #[must_use]
    pub fn incarnation(&self, machine: usize) -> Option<Incarnation> {
        self.machines[machine].process.as_ref().map(Process::incarnation)
    }

    /// How many times a process has ended there.
    #[must_use]
    pub fn life(&self, machine: usize) -> u64 {
        self.machines[machine].life
    }

    /// The committed value that a machine knows, while its process runs.
    #[must_use]
    pub fn committed(&self, machine: usize) -> Option<Versioned<ControlState>> {
        self.machines[machine].process.as_ref()?.committed()
    }

    /// The committed state that a machine knows, while its process runs.
    #[must_use]
    pub fn state(&self, machine: usize) -> Option<Arc<ControlState>> {
        self.committed(machine).map(|committed| committed.value)
    }

    /// The fencing token of a machine's process, while it holds the leader lease and is not frozen.
    #[must_use]
    pub fn fence(&self, machine: usize) -> Option<u64> {
        let machine = &self.machines[machine];
        machine.process.as_ref().filter(|_| !machine.is_frozen)?.fence()
    }

    /// How long ago a majority has confirmed what a machine knows.
    #[must_use]
    pub fn confirmed_age(&self, machine: usize) -> Option<Duration> {
        self.machines[machine].process.as_ref()?.confirmed_age()
    }

    /// Logs what each machine knows.
    pub fn log_state(&self) {
        for index in self.machines() {
            let machine = &self.machines[index];
            set_context(self.now, &machine.station);
            let Some(process) = &machine.process else {
                log::info!("no process, removed {}", machine.is_removed);
                continue;
            };
            let known = process.committed();
            log::info!(
                "incarnation {:?}, frozen {}, slow {}, knows {:?}",
                process.incarnation(),
                machine.is_frozen,
                machine.is_slow,
                known.map(|known| (known.ballot, known.value.revision, known.value.acceptors.clone()))
            );
            if let Some(jobs) = process.jobs() {
                log::info!("{:?}", jobs.moved());
                log::debug!("{}", jobs.describe());
            }
            if let Some(acceptor) = process.acceptor() {
                let of = |value: Option<Versioned<ControlState>>| {
                    value.map(|v| (v.ballot, v.value.revision, v.value.acceptors.clone(), v.previous.clone()))
                };
                log::info!(
                    "accepted {:?}, committed {:?}",
                    of(acceptor.accepted()),
                    of(acceptor.committed())
                );
            }
        }
    }

    /// The node that was the last to raise the fencing token, as far as any node knows.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let states = self.machines().filter_map(|machine| self.state(machine));
        let newest = states.max_by_key(|state| state.revision)?;
        let holder = newest.fence_holder.clone()?;
        self.machines.iter().position(|machine| machine.station == holder)
    }

    /// Kills a process; its machine starts it again within a second.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].disk.kill();
        self.end(machine, true);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Cuts the power of a machine, at times amid a write; it starts again within a second.
    pub fn lose_power(&mut self, machine: usize) {
        let mut fates = RandomFates::new(self.random.u64(..));
        self.machines[machine].disk.lose_power(&mut fates);
        self.end(machine, false);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Tells a process to end in good order; its machine starts it again within a second, or is gone for good.
    pub fn terminate(&mut self, machine: usize, leaves: bool) {
        let machine = &mut self.machines[machine];
        machine.leaves |= leaves;
        if let Some(process) = &machine.process {
            process.terminate();
        }
    }

    /// Whether a machine is gone for good, or will be once its process has ended.
    #[must_use]
    pub fn is_leaving(&self, machine: usize) -> bool {
        self.machines[machine].leaves || self.machines[machine].is_removed
    }

    /// The next sync of a machine's disk fails.
    pub fn fail_sync(&mut self, machine: usize) {
        self.machines[machine].disk.fail_syncs(1);
    }

    /// The disk of a machine hangs, or goes on.
    pub fn stall_disk(&mut self, machine: usize, is_stalled: bool) {
        self.machines[machine].pace.set_stalled(is_stalled);
    }

    /// Takes the disk of a machine; it starts again with an empty one within a second.
    pub fn lose_disk(&mut self, machine: usize) {
        self.machines[machine].disk.wipe();
        self.end(machine, false);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Takes a machine away for good.
    pub fn remove(&mut self, machine: usize) {
        self.machines[machine].disk.wipe();
        self.machines[machine].is_removed = true;
        self.end(machine, false);
    }

    /// Takes a machine away for good and adds another with the same role, a new address and an empty disk.
    pub fn replace(&mut self, machine: usize) -> usize {
        self.remove(machine);
        self.add(self.machines[machine].is_store, false)
    }

    /// Stops a machine in its tracks; what is sent to it waits.
    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].is_frozen = true;
    }

    /// Lets a frozen machine go on.
    pub fn thaw(&mut self, machine: usize) {
        self.machines[machine].is_frozen = false;
        let clock = self.clock_of(machine);
        if let Some(process) = &mut self.machines[machine].process {
            process.jump_to(clock);
        }
        for event in std::mem::take(&mut self.machines[machine].held_up) {
            self.schedule(Duration::ZERO, event);
        }
    }

    /// Slows a machine down so that it only runs now and then, or ends that.
    pub fn slow_down(&mut self, machine: usize, is_slow: bool) {
        self.machines[machine].is_slow = is_slow;
    }

    /// All connections of a machine are reset: no call to it or by it that is under way is answered.
    pub fn reset_connections(&mut self, machine: usize) {
        for pending in self.calls.values_mut() {
            if pending.from == machine || pending.to == Place::Machine(machine) {
                // The caller sees the reset.
                drop(pending.answer.take());
            }
        }
    }

    fn end(&mut self, index: usize, is_reset: bool) {
        let machine = &mut self.machines[index];
        (machine.process, machine.is_frozen, machine.is_slow) = (None, false, false);
        machine.held_up.clear();
        machine.pace.set_stalled(false);
        machine.first_start = false;
        machine.life += 1;
        self.calls.retain(|_, pending| pending.from != index);
        if is_reset {
            self.reset_connections(index);
        }
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

    fn settings_of(&self, index: usize) -> Settings {
        let machine = &self.machines[index];
        // The platform names nodes that are there when it writes the file.
        let is_present = |node: &usize| !self.machines[*node].is_store && !self.machines[*node].is_removed;
        let present = self.machines().filter(is_present).take(3);
        let seeds: Vec<String> = present.map(|node| format!("\"{}:{OPERATOR_PORT}\"", ip_of(node))).collect();
        let serves = if machine.is_store { "\"vault\"" } else { "\"counter\", \"dispatch\"" };
        let text = format!(
            "station = \"{}\"\nip = \"{}\"\nzone = \"zone-{}\"\ninnerPorts = [{INTERNAL_PORT}, {INTERNAL_PORT}]\n\
             serves = [{serves}]\nseedStations = [{}]\nfirstStart = {}\ndataDir = \"/data\"\n\
             [withstand]\nmachines = {}\n[timetable]\nleaseMs = 3000\nthawMs = 300\nstatusS = 120\n",
            machine.station,
            ip_of(index),
            index % 3,
            seeds.join(", "),
            machine.first_start,
            self.shape.machines_lost,
        );
        Settings::parse(&text).expect("the settings are proper")
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

    /// Puts on their way what processes have sent.
    fn collect(&mut self) {
        let sent = self.wire.take();
        for outgoing in sent.calls {
            self.send(outgoing);
        }
        for (call, outcome) in sent.answers {
            let Some(pending) = self.calls.get(&call) else { continue };
            let (from, to) = (pending.to, Place::Machine(pending.from));
            for delay in self.network.delays(&mut self.random, from, to) {
                self.schedule(delay, Event::Answer { call, outcome: outcome.clone(), tries: 0 });
            }
        }
        for (call, reply) in sent.replies {
            for delay in self.network.delays(&mut self.random, Place::Outside, Place::Platform) {
                self.schedule(delay, Event::Reply { call, reply: reply.clone() });
            }
        }
    }

    fn send(&mut self, outgoing: Outgoing) {
        let Outgoing { from, to, path, body, answer } = outgoing;
        self.numbers += 1;
        let call = self.numbers;
        let life = self.machines[from].life;
        let pending = Pending { from, life, to, path, body, answer: Some(answer), taken_by: None };
        self.calls.insert(call, pending);
        for delay in self.network.delays(&mut self.random, Place::Machine(from), to) {
            self.schedule(delay, Event::Call { call, tries: 0 });
        }
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

    fn deliver_call(&mut self, call: u64, tries: u32) {
        let Some(pending) = self.calls.get(&call) else { return };
        let (from, to) = (Place::Machine(pending.from), pending.to);
        if self.network.is_cut(from, to) {
            if tries < RESENDS_MOST {
                self.schedule(RESEND, Event::Call { call, tries: tries + 1 });
            }
            return;
        }
        match to {
            Place::Machine(machine) => self.deliver_to_machine(machine, call),
            Place::Server(server) => {
                let answer = self.servers[server].answer(self.now, &pending.path, &pending.body);
                self.answer_soon(call, Ok(answer));
            }
            Place::Platform => {
                let listed: Vec<ServerEntry> = self.servers.iter().map(ModelServer::listed).collect();
                self.answer_soon(call, Ok((200, rpc::encode(&listed).into())));
            }
            Place::Outside => {}
        }
    }

    fn deliver_to_machine(&mut self, index: usize, call: u64) {
        let is_there = index < self.machines.len();
        let machine = is_there.then(|| &mut self.machines[index]);
        let Some(pending) = self.calls.get_mut(&call) else { return };
        match machine {
            Some(machine) if machine.is_frozen => machine.held_up.push_back(Event::Call { call, tries: 0 }),
            Some(Machine { process: Some(process), life, .. }) => {
                pending.taken_by = Some(*life);
                process.call(call, pending.path.clone(), pending.body.clone());
            }
            _ => self.answer_soon(call, Err(CallError::NotSent("nobody listens there".into()))),
        }
    }

    fn answer_soon(&mut self, call: u64, outcome: Outcome) {
        let Some(pending) = self.calls.get(&call) else { return };
        let (from, to) = (pending.to, Place::Machine(pending.from));
        for delay in self.network.delays(&mut self.random, from, to) {
            self.schedule(delay, Event::Answer { call, outcome: outcome.clone(), tries: 0 });
        }
    }

    fn deliver_answer(&mut self, call: u64, outcome: Outcome, tries: u32) {
        let Some(pending) = self.calls.get(&call) else { return };
        let caller = pending.from;
        if self.machines[caller].life != pending.life {
            self.calls.remove(&call);
            return;
        }
        if self.network.is_cut(pending.to, Place::Machine(caller)) {
            if tries < RESENDS_MOST {
                self.schedule(RESEND, Event::Answer { call, outcome, tries: tries + 1 });
            }
            return;
        }
        if self.machines[caller].is_frozen {
            self.machines[caller].held_up.push_back(Event::Answer { call, outcome, tries });
            return;
        }
        if let Some(answer) = self.calls.remove(&call).and_then(|pending| pending.answer) {
            // The caller may have gone on.
            let _ = answer.send(outcome);
        }
    }

    /// Sends a request from outside to a node; the reply, if one comes, is had by [`Fleet::reply`].
    pub fn request(&mut self, node: usize, request: Request) -> u64 {
        self.numbers += 1;
        let call = self.numbers;
        for delay in self.network.delays(&mut self.random, Place::Outside, Place::Machine(node)) {
            self.schedule(delay, Event::Request { node, call, request: request.clone() });
        }
        call
    }

    /// The reply to a request from outside, once it has come.
    pub fn reply(&mut self, call: u64) -> Option<Reply> {
        self.replies.remove(&call)
    }

    /// One call from outside to one node; `None` after a while without an answer.
    pub fn call(&mut self, node: usize, request: Request) -> Option<Reply> {
        let call = self.request(node, request);
        self.run_until(OUTSIDE_WAIT, |fleet| fleet.replies.contains_key(&call));
        self.reply(call)
    }

    /// Sends the same order to one node after the other until it is answered clearly.
    ///
    /// # Panics
    ///
    /// When it has no clear answer within `most`.
    pub fn order(&mut self, most: Duration, order: &OperatorOrder) -> Reply {
        self.ask_until_clear(most, &Request::Operator(order.clone()))
    }

    /// A call about a batch job, sent to one node after the other until it is answered clearly.
    ///
    /// # Panics
    ///
    /// When it has no clear answer within `most`.
    pub fn job(&mut self, most: Duration, job: &str, asked: JobCall) -> Reply {
        self.ask_until_clear(most, &Request::Job(job.into(), asked))
    }

    fn ask_until_clear(&mut self, most: Duration, request: &Request) -> Reply {
        let until = self.now + most;
        while self.now < until {
            let node = self.random.usize(..self.shape.nodes);
            match self.call(node, request.clone()) {
                None | Some(Reply::Status(503 | 504)) => self.run(OUTSIDE_PAUSE),
                Some(reply) => return reply,
            }
        }
        panic!("no clear answer to {request:?} within {most:?}");
    }

    /// The first turn of holders at a server that the rules forbid, if any: a lower fencing token after a higher one,
    /// or two holders within `between`.
    #[must_use]
    pub fn forbidden_orders(&self, between: Duration) -> Option<String> {
        let pairs = self.servers.iter().flat_map(|server| server.orders.windows(2));
        let mut forbidden = pairs.filter(|pair| {
            let takes_turn = pair[0].holder != pair[1].holder;
            pair[1].fence < pair[0].fence || (takes_turn && pair[1].at < pair[0].at + between)
        });
        forbidden.next().map(|pair| format!("{pair:?}"))
    }
}
