//! A fleet in simulated time: machines, their network and servers.
//!
//! [`Fleet`] owns everything and lets time pass in steps. In each step it first handles the events that are due, then
//! lets one machine's process run after the other and takes the messages that each has sent. Faults are injected by
//! `fault_injection`, tests and checks read the fleet's state by `observe`, and operators and trainers call by
//! `external_clients`.

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

/// Time passes in steps of this length: no message is faster.
const STEP: Duration = Duration::from_millis(2);
/// A process is started within this time after its machine was added.
const MAX_FIRST_START_DELAY: Duration = Duration::from_millis(300);
/// A process is started again within this time after an exit.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(1);

/// A fleet in simulated time. Everything random in it, and in the code that it runs, is drawn from its seed; only one
/// fleet may run on a thread at a time.
pub struct Fleet {
    /// The time since the start.
    pub now: Duration,
    /// The network; faults may be injected into it.
    pub network: Network,
    /// The model servers.
    pub servers: Vec<ModelServer>,
    /// The generator of all random numbers of the fleet and of its faults. The code of the processes draws from the
    /// generator of the thread, which [`Fleet::start`] seeds.
    pub random: Rng,
    shape: FleetShape,
    machines: Vec<Machine>,
    events: EventQueue,
    calls: CallTable,
    failures: FailureBudget,
    /// Messages that processes have sent in this step.
    outbox: Outbox,
    links: Links,
    transcript: Transcript,
}

impl Fleet {
    /// Starts a system of this shape for the first time: all disks are empty.
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

    /// Adds a machine with an empty disk, which starts its process soon; returns its index.
    pub fn add_machine(&mut self, kind: MachineKind, is_first_start: bool) -> usize {
        let index = self.machines.len();
        let name = format!("{}-{index}", if kind == MachineKind::Store { "store" } else { "node" });
        self.machines.push(Machine::new(name, kind, is_first_start, &mut self.random));
        self.schedule_start(index, MAX_FIRST_START_DELAY);
        index
    }

    /// Sets the bandwidth of each machine's link, in bytes a second for each direction.
    pub fn set_link_speed(&mut self, bytes_per_second: f64) {
        self.links.set_speed(bytes_per_second);
    }

    /// Digest of all messages so far, with their times: two runs of one seed have the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.transcript.digest()
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until a condition holds; returns whether it did within `timeout`.
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

    /// Lets one step of time pass.
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

    /// Schedules the start of a process at a random time within `limit`.
    fn schedule_start(&mut self, machine: usize, limit: Duration) {
        let after = limit.mul_f64(self.random.f64());
        let process_exits = self.machines[machine].process_exits();
        self.schedule(after, FleetEvent::Start { machine, process_exits });
    }

    fn start_process(&mut self, index: usize) {
        let settings = self.settings_of(index);
        let seed = self.random.u64(..);
        let machine = &mut self.machines[index];
        if machine.process().is_some() {
            return;
        }
        if !machine.start(index, self.now, &settings, &self.outbox, seed) {
            self.schedule_start(index, MAX_RESTART_DELAY);
        }
    }

    /// After a graceful shutdown a machine is removed, or starts its process again.
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
