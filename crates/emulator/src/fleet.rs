//! The fleet: machines, servers, the network between them, what befalls them, and callers from outside.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fastrand::Rng;
use register::Member;
use state::ControlState;
use storage::simulated::{RandomFates, SimulatedDisk};

use crate::changes::Identity;
use crate::control::Control;
use crate::disk::Disk;
use crate::messages::{Body, Endpoint, Envelope, JobCall, OperatorOrder, Reply, Request};
use crate::network::Network;
use crate::process::{Context, Process};
use crate::servers::ModelServer;
use crate::stores::Store;

/// How often a process looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// How long a caller from outside waits before it moves on to another node.
const OUTSIDE_WAIT: Duration = Duration::from_millis(1000);
/// The pause of a caller from outside between two tries.
const OUTSIDE_PAUSE: Duration = Duration::from_millis(150);
/// Clocks run faster or slower by at most one part in this many.
const CLOCK_PART: u32 = 500;

/// How many machines and servers there are.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Traffic nodes with a disk.
    pub nodes: usize,
    /// Store machines.
    pub stores: usize,
    /// Model servers.
    pub servers: usize,
    /// How many machines may be lost at a time.
    pub machines_lost: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { nodes: 3, stores: 3, servers: 4, machines_lost: 1 }
    }
}

struct Machine {
    identity: Identity,
    disk: SimulatedDisk,
    process: Option<Process>,
    /// Counts the ends of its process; what was sent to or by an earlier one is dropped.
    life: u64,
    /// How far its steady clock is ahead, and whether it runs fast.
    clock: (Duration, bool),
    is_frozen: bool,
    held_up: VecDeque<Envelope>,
}

/// What happens next.
enum Event {
    Deliver(Envelope),
    Tick(usize, u64),
    Start(usize),
}

/// A fleet in simulated time.
pub struct Fleet {
    /// The time since the start.
    pub now: Duration,
    /// The network; it may be troubled.
    pub network: Network,
    /// The model servers.
    pub servers: Vec<ModelServer>,
    machines: Vec<Machine>,
    shape: Shape,
    random: Rng,
    events: BTreeMap<(Duration, u64), Event>,
    numbers: u64,
    next_call: u64,
    outside: BTreeMap<u64, Reply>,
}

impl Fleet {
    /// Starts a whole system for the first time.
    #[must_use]
    pub fn start(seed: u64, shape: Shape) -> Self {
        let mut fleet = Self {
            now: Duration::ZERO,
            network: Network::ordinary(),
            servers: (0..shape.servers).map(|index| ModelServer::new(index, "m")).collect(),
            machines: Vec::new(),
            shape,
            random: Rng::with_seed(seed),
            events: BTreeMap::new(),
            numbers: 0,
            next_call: 0,
            outside: BTreeMap::new(),
        };
        for index in 0..shape.nodes + shape.stores {
            fleet.add(index >= shape.nodes, true);
        }
        fleet
    }

    /// Adds a machine with an empty disk, and starts it soon.
    fn add(&mut self, is_store: bool, first_start: bool) -> usize {
        let index = self.machines.len();
        let station = format!("{}-{index}", if is_store { "store" } else { "node" });
        let member = Member { station, incarnation: register::Incarnation(0), address: index.to_string() };
        let seeds = (0..self.shape.nodes.min(3)).collect();
        let machines_lost = self.shape.machines_lost;
        self.machines.push(Machine {
            identity: Identity { member, is_store, first_start, machines_lost, seeds },
            disk: SimulatedDisk::new(self.random.u64(..)),
            process: None,
            life: 0,
            clock: (Duration::from_millis(self.random.u64(..100_000)), self.random.bool()),
            is_frozen: false,
            held_up: VecDeque::new(),
        });
        self.start_soon(index, Duration::from_millis(300));
        index
    }

    fn start_soon(&mut self, machine: usize, within: Duration) {
        let after = within.mul_f64(self.random.f64());
        self.schedule(after, Event::Start(machine));
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.numbers += 1;
        self.events.insert((self.now + after, self.numbers), event);
    }

    /// The traffic nodes that were there at the start.
    pub fn nodes(&self) -> std::ops::Range<usize> {
        0..self.shape.nodes
    }

    /// All machines.
    pub fn machines(&self) -> std::ops::Range<usize> {
        0..self.machines.len()
    }

    /// The committed state that a machine knows, while its process runs.
    #[must_use]
    pub fn state(&self, machine: usize) -> Option<&ControlState> {
        Some(&**self.machines[machine].process.as_ref()?.control.state()?)
    }

    /// The node that was the last to raise the fencing token, as far as any node knows.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let newest =
            self.machines().filter_map(|machine| self.state(machine)).max_by_key(|state| state.revision)?;
        let holder = newest.fence_holder.as_ref()?;
        self.machines.iter().position(|machine| machine.identity.member.station == *holder)
    }

    /// Kills a process; its machine starts it again within a second.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].disk.kill();
        self.end(machine);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Cuts the power of a machine; it starts again within a second.
    pub fn lose_power(&mut self, machine: usize) {
        let mut fates = RandomFates::new(self.random.u64(..));
        self.machines[machine].disk.lose_power(&mut fates);
        self.end(machine);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Takes the disk of a machine; it starts again with an empty one within a second.
    pub fn lose_disk(&mut self, machine: usize) {
        self.machines[machine].disk.wipe();
        self.end(machine);
        self.start_soon(machine, Duration::from_secs(1));
    }

    /// Takes a machine away for good.
    pub fn remove(&mut self, machine: usize) {
        self.machines[machine].disk.wipe();
        self.end(machine);
    }

    /// Takes a machine away for good and adds another with the same role, a new address and an empty disk.
    pub fn replace(&mut self, machine: usize) -> usize {
        self.remove(machine);
        self.add(self.machines[machine].identity.is_store, false)
    }

    /// Stops a machine in its tracks; what is sent to it waits.
    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].is_frozen = true;
    }

    /// Lets a frozen machine go on.
    pub fn thaw(&mut self, machine: usize) {
        self.machines[machine].is_frozen = false;
        let life = self.machines[machine].life;
        for envelope in std::mem::take(&mut self.machines[machine].held_up) {
            self.schedule(Duration::ZERO, Event::Deliver(envelope));
        }
        self.schedule(Duration::ZERO, Event::Tick(machine, life));
    }

    fn end(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        (machine.process, machine.is_frozen) = (None, false);
        machine.held_up.clear();
        machine.identity.first_start = false;
        machine.life += 1;
    }

    fn begin(&mut self, index: usize) {
        let now = self.clock_of(index);
        let random = self.random.u64(..);
        let machine = &mut self.machines[index];
        if machine.process.is_some() {
            return;
        }
        let recovered = Disk::open(&machine.disk);
        machine.identity.member.incarnation = recovered.incarnation;
        let is_store = machine.identity.is_store;
        let acceptor = (!is_store).then_some(recovered.acceptor);
        let store = is_store.then(|| Store::new(recovered.incarnation.0, recovered.replica, now));
        let control = Control::new(machine.identity.clone(), acceptor, now, random);
        machine.process =
            Some(Process { control, store, disk: Some(recovered.disk), pending: BTreeMap::new() });
        let life = machine.life;
        self.schedule(Duration::ZERO, Event::Tick(index, life));
    }

    fn clock_of(&self, machine: usize) -> Duration {
        let (ahead, is_fast) = self.machines[machine].clock;
        let apart = self.now / CLOCK_PART;
        ahead + if is_fast { self.now + apart } else { self.now - apart }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        self.run_while(until, |_| true);
    }

    /// Lets time pass until something is so; tells whether it came to be within `most`.
    pub fn run_until(&mut self, most: Duration, is_so: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + most;
        self.run_while(until, |fleet| !is_so(fleet));
        is_so(self)
    }

    fn run_while(&mut self, until: Duration, goes_on: impl Fn(&Self) -> bool) {
        while goes_on(self) {
            let next = self.events.first_entry().filter(|entry| entry.key().0 <= until);
            let Some(entry) = next else {
                self.now = until;
                return;
            };
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start(machine) => self.begin(machine),
            Event::Tick(machine, life) => {
                if self.machines[machine].life == life && !self.machines[machine].is_frozen {
                    self.in_process(machine, Process::tick);
                    self.schedule(TICK, Event::Tick(machine, life));
                }
            }
            Event::Deliver(envelope) => self.deliver(envelope),
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        match envelope.to {
            Endpoint::Machine(machine) if self.machines[machine].is_frozen => {
                self.machines[machine].held_up.push_back(envelope);
            }
            Endpoint::Machine(machine) => {
                self.in_process(machine, |process, context| process.take(context, envelope));
            }
            Endpoint::Server(server) => {
                let Body::Request(request) = envelope.body else { return };
                self.servers[server].advance(self.now);
                let reply = Body::Reply(self.servers[server].handle(self.now, request));
                self.send(Envelope {
                    from: envelope.to,
                    to: envelope.from,
                    call: envelope.call,
                    body: reply,
                });
            }
            Endpoint::Outside => {
                if let Body::Reply(reply) = envelope.body {
                    self.outside.insert(envelope.call, reply);
                }
            }
        }
    }

    fn in_process(&mut self, index: usize, act: impl FnOnce(&mut Process, &mut Context<'_>)) {
        let now = self.clock_of(index);
        self.servers.iter_mut().for_each(|server| server.advance(self.now));
        let servers: Vec<rollout::Server> = self.servers.iter().map(ModelServer::listed).collect();
        let Some(mut process) = self.machines[index].process.take() else { return };
        let (mut pending, mut disk) = (std::mem::take(&mut process.pending), process.disk.take());
        let mut sent = Vec::new();
        let mut context = Context {
            now,
            random: &mut self.random,
            servers: &servers,
            this: index,
            next_call: &mut self.next_call,
            pending: &mut pending,
            disk: disk.as_mut(),
            sent: &mut sent,
        };
        act(&mut process, &mut context);
        (process.pending, process.disk) = (pending, disk);
        self.machines[index].process = Some(process);
        sent.into_iter().for_each(|envelope| self.send(envelope));
    }

    fn send(&mut self, envelope: Envelope) {
        for delay in self.network.delays(&mut self.random, envelope.from, envelope.to) {
            self.schedule(delay, Event::Deliver(envelope.clone()));
        }
    }

    /// One call from outside to one node; `None` after a second without an answer.
    pub fn call(&mut self, node: usize, request: Request) -> Option<Reply> {
        self.next_call += 1;
        let call = self.next_call;
        let to = Endpoint::Machine(node);
        self.send(Envelope { from: Endpoint::Outside, to, call, body: Body::Request(request) });
        self.run_until(OUTSIDE_WAIT, |fleet| fleet.outside.contains_key(&call));
        self.outside.remove(&call)
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
                None | Some(Reply::Status(503)) => self.run(OUTSIDE_PAUSE),
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
