//! A fleet in simulated time: machines, their network and model servers.
//!
//! [`Fleet`] owns all parts and advances time in steps. In each step it first handles the events that are
//! due. It then runs the processes of the machines one after another, and takes the messages that each has
//! sent. `fault_injection` contains the faults, `observe` the read access for tests and checks, and
//! `external_clients` the requests of operators and trainers.

mod calls;
mod delivery;
mod events;
mod external_clients;
mod failure_budget;
mod fault_injection;
mod links;
mod machine;
mod observe;
mod settings;
mod shape;
mod transcript;

use std::time::Duration;

use fastrand::Rng;

use crate::model_server::ModelServer;
use crate::network::Network;
use crate::transport::Outbox;

use calls::CallTable;
use events::{EventQueue, FleetEvent};
use failure_budget::FailureBudget;
use links::Links;
use machine::Machine;
use transcript::Transcript;

pub use shape::{FleetShape, MachineKind};

/// Length of a time step. Messages take at least one step, because they are delivered at the start of a later
/// step.
const STEP: Duration = Duration::from_millis(2);
/// Upper bound of the random delay from the addition of a machine to the start of its process.
const MAX_FIRST_START_DELAY: Duration = Duration::from_millis(300);
/// Upper bound of the random delay from the exit of a process to the start of the next one.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(1);

/// A fleet in simulated time. All random choices, also in the code that its processes run, follow from its
/// seed. Only one fleet may run on a thread at a time, because the processes use the random generator of
/// the thread.
pub struct Fleet {
    /// The simulated time since the start of the fleet.
    pub now: Duration,
    /// The network; tests may change it to inject faults.
    pub network: Network,
    /// The model servers, by index. Their number is constant.
    pub servers: Vec<ModelServer>,
    /// The generator of the random numbers of the fleet and of the faults. The code of the processes uses the
    /// generator of the thread instead, which [`Fleet::start`] seeds.
    pub random: Rng,
    shape: FleetShape,
    machines: Vec<Machine>,
    events: EventQueue,
    calls: CallTable,
    failures: FailureBudget,
    /// Messages that processes have sent and that are not scheduled for delivery yet.
    outbox: Outbox,
    links: Links,
    transcript: Transcript,
}

impl Fleet {
    /// Starts a fleet of this shape for the first time: all disks are empty, and the settings permit the
    /// first start.
    #[must_use]
    pub fn start(seed: u64, shape: FleetShape) -> Self {
        fastrand::seed(seed);
        let mut fleet = Self {
            now: Duration::ZERO,
            network: Network::ordinary(),
            servers: (0..shape.servers).map(|index| ModelServer::new(index, "m")).collect(),
            random: Rng::with_seed(seed),
            shape,
            machines: Vec::new(),
            events: EventQueue::default(),
            calls: CallTable::default(),
            failures: FailureBudget::default(),
            outbox: Outbox::default(),
            links: Links::default(),
            transcript: Transcript::default(),
        };
        let nodes = std::iter::repeat_n(MachineKind::Node, shape.nodes);
        let stores = std::iter::repeat_n(MachineKind::Store, shape.stores);
        let diskless_nodes = std::iter::repeat_n(MachineKind::DisklessNode, shape.diskless_nodes);
        for kind in nodes.chain(stores).chain(diskless_nodes) {
            fleet.add_machine(kind, true);
        }
        fleet
    }

    /// Adds a machine with an empty disk and schedules the start of its process. `is_first_start` is the
    /// value of the setting `firstStart`. Returns the index of the machine.
    pub fn add_machine(&mut self, kind: MachineKind, is_first_start: bool) -> usize {
        let index = self.machines.len();
        let name = format!("{}-{index}", if kind == MachineKind::Store { "store" } else { "node" });
        self.machines.push(Machine::new(name, kind, is_first_start, &mut self.random));
        self.schedule_start(index, MAX_FIRST_START_DELAY);
        index
    }

    /// Sets the bandwidth of the links of all machines, in bytes per second for each direction.
    pub fn set_link_speed(&mut self, bytes_per_second: f64) {
        self.links.set_speed(bytes_per_second);
    }

    /// Returns the digest of all messages so far with their times. Two runs with the same seed have the same
    /// digest.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.transcript.digest()
    }

    /// Advances the simulation by `time`, rounded up to complete steps.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Advances the simulation until a condition is true. Returns whether it became true within `timeout`.
    pub fn run_until(&mut self, timeout: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let deadline = self.now + timeout;
        while self.now < deadline {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.servers.iter_mut().for_each(|server| server.advance(self.now));
        while let Some(event) = self.events.pop_due(self.now) {
            self.handle(event);
        }
        for index in 0..self.machines.len() {
            self.machines[index].run(self.now);
            self.collect_sent();
            self.finish_shutdown(index);
        }
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Start { machine, process_exits } => {
                if self.machines[machine].process_exits() == process_exits {
                    self.start_process(machine);
                }
            }
            FleetEvent::CallArrives { call, resends } => self.deliver_call(call, resends),
            FleetEvent::ConnectionFails { call } => self.calls.fail_connection(call),
            FleetEvent::ReplyArrives { call, outcome, resends } => self.deliver_reply(call, outcome, resends),
            FleetEvent::ExternalRequestArrives { node, call, request } => {
                self.deliver_external_request(node, call, request);
            }
            FleetEvent::ExternalReplyArrives { call, reply } => {
                self.calls.external_replies.insert(call, reply);
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: FleetEvent) {
        self.events.schedule(self.now + after, event);
    }

    /// Schedules the start of a process after a random delay of at most `limit`.
    fn schedule_start(&mut self, machine: usize, limit: Duration) {
        let after = limit.mul_f64(self.random.f64());
        let process_exits = self.machines[machine].process_exits();
        self.schedule(after, FleetEvent::Start { machine, process_exits });
    }

    /// Starts a process unless the machine has one. If its disk cannot be opened, the start is retried later.
    fn start_process(&mut self, index: usize) {
        let settings = self.settings_of(index);
        let seed = self.random.u64(..);
        let machine = &mut self.machines[index];
        if machine.process().is_some() {
            return;
        }
        if !machine.start(index, self.now, &settings, &self.outbox, seed, self.shape.max_item_duration) {
            self.schedule_start(index, MAX_RESTART_DELAY);
        }
    }

    /// Handles the end of a graceful shutdown: removes the machine if it is leaving, or restarts its process.
    fn finish_shutdown(&mut self, index: usize) {
        if !self.machines[index].has_shut_down() {
            return;
        }
        if self.machines[index].leaves_after_exit() {
            self.remove_machine(index);
        } else {
            self.kill(index);
        }
    }
}
