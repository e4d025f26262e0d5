//! Simulation of machines, proposers and an unreliable network, driven by a random number generator.
//!
//! [`Simulation`] contains the complete state and draws the next event. `machine` contains the events of
//! machines and disks, `proposer` those of proposers, and `network` the messages in flight.

mod machine;
mod network;
mod proposer;

use fastrand::Rng;
use register::Ballot;

use super::oracle::Oracle;
use super::{members, versioned};
use machine::Machine;
use network::Message;
use proposer::Proposer;

/// Deliberate mistake in the use of the register, which the oracle must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    /// No mistake.
    None,
    /// A restarted acceptor has lost its promise.
    ForgottenPromise,
    /// A restarted acceptor has lost its accepted value and keeps only the committed one.
    ForgottenValue,
    /// A reply is sent before the state is durable.
    ReplyBeforeDurable,
    /// Replies from any disk count as replies from the expected one.
    AnyIncarnation,
    /// A proposal starts from a value that an acceptor has accepted, but that is not known to be committed.
    UncommittedBase,
}

/// Number of machines and proposers in a simulation.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Number of machines that are acceptors at first.
    pub acceptors: usize,
    /// Number of further machines, which may become acceptors.
    pub spares: usize,
    /// Number of proposers.
    pub proposers: usize,
}

/// Simulated cluster in which messages are lost, repeated and reordered, and machines restart and lose their
/// disks.
pub struct Simulation {
    random: Rng,
    fault: SeededFault,
    /// Whether a disk may be lost only while a majority of the acceptors keeps its disks.
    keeps_majority: bool,
    /// Whether most proposals change the acceptors.
    changes_acceptors_often: bool,
    machines: Vec<Machine>,
    proposers: Vec<Proposer>,
    network: Vec<Message>,
    /// Number of the next change of a value.
    next_change: u32,
    /// Incarnation of the newest disk that replaced a lost one; 100 if none was lost.
    last_incarnation: u64,
    /// Oracle that checks every event.
    pub oracle: Oracle,
    /// Number of successful confirmations so far.
    pub confirmations: usize,
    /// Number of committed changes of the acceptors so far.
    pub acceptor_changes: usize,
}

impl Simulation {
    /// Creates a cluster whose first acceptors have all recorded the first value.
    pub fn new(seed: u64, size: ClusterSize, fault: SeededFault) -> Self {
        let acceptors: Vec<_> = (0..size.acceptors).collect();
        let first = versioned(0, &[], members(&acceptors));
        let machine = |number: usize| Machine::new(number, (number < size.acceptors).then_some(&first));
        let proposer = |number: usize| Proposer::new(number as u64 + 1, first.clone());
        Self {
            random: Rng::with_seed(seed),
            fault,
            keeps_majority: !seed.is_multiple_of(4),
            changes_acceptors_often: seed.is_multiple_of(2),
            machines: (0..size.acceptors + size.spares).map(machine).collect(),
            proposers: (0..size.proposers).map(proposer).collect(),
            network: Vec::new(),
            next_change: 1,
            last_incarnation: 100,
            oracle: Oracle::new(first.clone()),
            confirmations: 0,
            acceptor_changes: 0,
        }
    }

    /// Executes up to `steps` random events. Stops when the oracle finds a violation.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            if self.oracle.violation.is_some() {
                return;
            }
        }
    }

    fn step(&mut self) {
        match self.random.u32(..1000) {
            0..550 => self.deliver_message(),
            550..565 => self.drop_message(),
            565..595 => self.duplicate_message(),
            595..850 => self.finish_write(),
            850..950 => self.start_task(),
            950..970 => self.restart_machine(),
            970..971 => self.lose_disk(),
            971..985 => self.restart_proposer(),
            _ => self.learn_from_random_machine(),
        }
    }

    fn pick_machine(&mut self) -> usize {
        self.random.usize(..self.machines.len())
    }

    fn pick_proposer(&mut self) -> usize {
        self.random.usize(..self.proposers.len())
    }

    fn newest_chosen_ballot(&self) -> Ballot {
        self.oracle.newest_chosen().ballot
    }
}
