//! A simulated cluster: stores, their disks and a network in one thread, driven by a seeded random number
//! generator.

use std::collections::HashSet;
use std::time::Duration;

use batch::{
    Entry, JobId, LogEntry, Ownership, OwnershipPhase, OwnershipTerm, Record, ReplicaReply, ReplicaRequest,
    ReplicaSet, StoreId, SubmittedJob,
};
use bytes::Bytes;
use fastrand::Rng;

mod checker;
mod faults;
mod machine;
mod message;
mod steps;
mod store_set;

pub use checker::Violation;
pub use faults::Fault;

use checker::Checker;
use machine::{Machine, PendingWrite, View};
use message::Message;
use steps::{Step, Weights};

/// Body of the large entries: two of them do not fit into one message.
static LARGE_BODY: [u8; 600 * 1024] = [0; 600 * 1024];
/// One of this number of entries is large.
const LARGE_ENTRY_INTERVAL: u8 = 4;
/// Percentage of messages that are delivered twice.
const DUPLICATE_PERCENT: u32 = 10;
/// Number of rounds without faults within which an owner must commit a further entry.
const MAX_RECOVERY_ROUNDS: usize = 2000;
/// Number of recovery rounds between two claims while no owner leads.
const RECOVERY_CLAIM_INTERVAL: usize = 40;
/// Identity of the first replacement disk. Those of further disks are higher.
const FIRST_REPLACEMENT_ID: StoreId = 100;

/// A simulated cluster that replicates the log of one job.
pub struct Cluster {
    random: Rng,
    weights: Weights,
    /// Percentage of messages that are lost.
    loss_percent: u32,
    fault: Fault,
    job: JobId,
    machines: Vec<Machine>,
    /// Messages in flight.
    network: Vec<Message>,
    /// The current store set, which machines adopt with a delay.
    view: View,
    /// Number of members of a store set that may have lost their disks.
    max_lost_disks: usize,
    lost_disks: HashSet<StoreId>,
    next_id: StoreId,
    next_entry: u64,
    checker: Checker,
    completed_changes: usize,
}

impl Cluster {
    pub fn new(seed: u64, members: usize, spares: usize, fault: Fault) -> Self {
        let machines: Vec<Machine> = (1..=members + spares).map(|id| Machine::new(id as StoreId)).collect();
        let current = machines.iter().take(members).map(|machine| machine.id).collect();
        let mut random = Rng::with_seed(seed);
        let weights = Weights::random(&mut random);
        let loss_percent = random.u32(1..40);
        let mut cluster = Self {
            random,
            weights,
            loss_percent,
            fault,
            job: "job".into(),
            next_id: FIRST_REPLACEMENT_ID,
            machines,
            network: Vec::new(),
            view: View { epoch: 1, replicas: ReplicaSet { current, previous: Vec::new() } },
            max_lost_disks: (members - 1) / 2,
            lost_disks: HashSet::new(),
            next_entry: 0,
            checker: Checker::default(),
            completed_changes: 0,
        };
        for machine in &mut cluster.machines {
            machine.view = cluster.view.clone();
        }
        cluster
    }

    /// Returns the number of committed entries.
    pub fn committed(&self) -> usize {
        self.checker.committed()
    }

    /// Returns the number of completed changes of the store set.
    pub fn completed_changes(&self) -> usize {
        self.completed_changes
    }

    /// Runs random steps, and checks the invariants after each of them.
    pub fn run(&mut self, steps: usize) -> Result<(), Violation> {
        for _ in 0..steps {
            self.step()?;
        }
        Ok(())
    }

    /// Runs without faults until an owner has all committed entries and has committed a further one. Returns
    /// false if no owner does so within [`MAX_RECOVERY_ROUNDS`] rounds.
    pub fn recover(&mut self) -> Result<bool, Violation> {
        let before = self.committed();
        for machine in &mut self.machines {
            machine.update_view(&self.view);
            machine.owner = None;
        }
        for round in 0..MAX_RECOVERY_ROUNDS {
            if round % RECOVERY_CLAIM_INTERVAL == 0 && !self.machines.iter().any(Machine::leads) {
                let machine = self.random_machine();
                self.claim(machine)?;
            }
            for machine in 0..self.machines.len() {
                self.send_requests(machine);
                self.flush(machine);
            }
            while !self.network.is_empty() {
                let message = self.network.remove(0);
                self.deliver(message);
            }
            self.check_owners()?;
            if self.committed() > before {
                return Ok(true);
            }
            (0..self.machines.len()).for_each(|machine| self.append(machine));
        }
        Ok(false)
    }

    fn step(&mut self) -> Result<(), Violation> {
        let machine = self.random_machine();
        match self.weights.random_step(&mut self.random) {
            Step::Claim => self.claim(machine)?,
            Step::Append => self.append(machine),
            Step::Send => self.send_requests(machine),
            Step::Deliver => self.deliver_one(),
            Step::Flush => self.flush(machine),
            Step::Crash => self.machines[machine].crash(&mut self.random),
            Step::CrashAll => self.machines.iter_mut().for_each(|machine| machine.crash(&mut self.random)),
            Step::LoseDisk => self.lose_disk(machine),
            Step::ReportCommitted => self.report_committed(machine),
            Step::UpdateView => self.machines[machine].update_view(&self.view),
            Step::ChangeStoreSet => self.change_store_set(),
        }
        self.check_owners()
    }

    fn random_machine(&mut self) -> usize {
        self.random.usize(..self.machines.len())
    }

    fn claim(&mut self, index: usize) -> Result<(), Violation> {
        let nonce = self.random.u64(..);
        let machine = &mut self.machines[index];
        if !machine.view.replicas.current.contains(&machine.id) {
            return Ok(());
        }
        let log = machine.replicas.log(&self.job);
        let promised = log.map_or(OwnershipTerm::default(), |log| log.promised);
        let lowest = OwnershipTerm::lowest_of(machine.replicas.epoch());
        let highest = promised.max(machine.rejected).max(lowest);
        let Some(term) = OwnershipTerm::above(highest, machine.view.epoch, machine.id, nonce) else {
            return Ok(());
        };
        machine.owner = Some(Ownership::claim(term, machine.view.replicas.clone(), log));
        self.checker.check_claim(term)
    }

    fn append(&mut self, index: usize) {
        self.next_entry += 1;
        let number = self.next_entry;
        let Some(owner) = self.machines[index].owner.as_mut() else { return };
        if owner.phase() != OwnershipPhase::Leading {
            return;
        }
        let bytes = if self.random.u8(..LARGE_ENTRY_INTERVAL) == 0 { LARGE_BODY.len() } else { 0 };
        let body = Bytes::from_static(&LARGE_BODY[..bytes]);
        let path = format!("/path/{number}").into();
        owner.append([LogEntry::from(Entry::Job(SubmittedJob {
            host: "host".into(),
            path,
            body,
            total: 1,
        }))]);
    }

    fn send_requests(&mut self, index: usize) {
        let Some(owner) = self.machines[index].owner.as_mut() else { return };
        let term = owner.term();
        for (to, request) in owner.next_requests(|_, _| true) {
            self.network.push(Message::Request { from: index, owner: term, to, request });
        }
    }

    fn flush(&mut self, index: usize) {
        let replies = self.machines[index].flush(&mut self.random);
        self.network.extend(replies);
    }

    fn report_committed(&mut self, index: usize) {
        let Some(owner) = self.machines[index].established_owner() else { return };
        if owner.committed().is_empty() {
            return;
        }
        let term = owner.term();
        let current = owner.replicas().current.iter();
        self.network.extend(current.map(|&to| Message::Committed { to, term }));
    }

    fn deliver_one(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let message = self.network.swap_remove(self.random.usize(..self.network.len()));
        let drawn = self.random.u32(0..100);
        if drawn < self.loss_percent {
            self.network.extend(message.replacement_if_lost());
            return;
        }
        if drawn >= 100 - DUPLICATE_PERCENT {
            self.network.push(message.clone());
        }
        self.deliver(message);
    }

    fn deliver(&mut self, message: Message) {
        match message.transferred() {
            Message::Request { from, owner, to, request } => self.deliver_request(from, owner, to, request),
            Message::Reply { to, owner, from, reply } => {
                let machine = &mut self.machines[to];
                if let ReplicaReply::Rejected { promised } = &reply {
                    machine.rejected = machine.rejected.max(*promised);
                }
                if let Some(ownership) = machine.owner_of(owner) {
                    ownership.handle_reply(from, reply, Duration::ZERO);
                }
            }
            Message::NoReply { to, owner, from } => {
                if let Some(ownership) = self.machines[to].owner_of(owner) {
                    ownership.handle_no_reply(from);
                }
            }
            Message::Committed { to, term } => {
                if let Some(machine) = self.machines.iter_mut().find(|machine| machine.id == to) {
                    machine.committed_epoch = machine.committed_epoch.max(term.epoch);
                }
            }
        }
    }

    fn deliver_request(&mut self, from: usize, owner: OwnershipTerm, to: StoreId, request: ReplicaRequest) {
        let request = self.fault.change_request(request);
        let Some(machine) = self.machines.iter_mut().find(|machine| machine.id == to) else {
            self.network.push(Message::NoReply { to: from, owner, from: to });
            return;
        };
        let (reply, mut records) = machine.replicas.handle(&self.job, request);
        if self.fault == Fault::ForgetsPromises {
            records.retain(|record| !matches!(record, Record::Promise { .. }));
        }
        let mut reply = Some(Message::Reply { to: from, owner, from: to, reply });
        if self.fault == Fault::RepliesBeforeSync {
            self.network.extend(reply.take());
        }
        machine.pending_writes.push(PendingWrite { records, reply });
    }

    /// Checks the entries that owners could expose to trainers now.
    fn check_owners(&mut self) -> Result<(), Violation> {
        let owners = self.machines.iter().filter_map(Machine::established_owner);
        owners.into_iter().try_for_each(|owner| self.checker.check_owner(owner))
    }
}
