//! A few stores, their disks and a network in one thread, driven by a seeded generator.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use batch::{
    Entry, JobId, Ownership, OwnershipPhase, OwnershipTerm, Record, ReplicaReply, ReplicaRequest, ReplicaSet,
    Replicas, StoreId, SubmittedJob,
};
use bytes::Bytes;
use fastrand::Rng;

mod plan;

pub use plan::{Fault, Violation};
use plan::{Step, Weights};

/// How many of a hundred messages come twice.
const DUPLICATES: u32 = 10;

enum Message {
    Request {
        from: usize,
        owner: OwnershipTerm,
        to: StoreId,
        request: ReplicaRequest,
    },
    Reply {
        to: usize,
        owner: OwnershipTerm,
        from: StoreId,
        reply: ReplicaReply,
    },
    NoReply {
        to: usize,
        owner: OwnershipTerm,
        from: StoreId,
    },
    /// A heartbeat that tells that all is committed under this term.
    Settled {
        to: StoreId,
        term: OwnershipTerm,
    },
}

struct PendingWrite {
    records: Vec<Record>,
    answer: Option<Message>,
}

struct Machine {
    id: StoreId,
    replica: Replicas,
    disk: Vec<Record>,
    pending: Vec<PendingWrite>,
    owner: Option<Ownership>,
    settled: u64,
    rejected: OwnershipTerm,
    view: View,
}

#[derive(Clone, Default)]
struct View {
    epoch: u64,
    present: Vec<StoreId>,
    previous: Vec<StoreId>,
}

pub struct World {
    random: Rng,
    weights: Weights,
    /// How many of a hundred messages are lost.
    loss: u32,
    fault: Fault,
    job: JobId,
    machines: Vec<Machine>,
    network: Vec<Message>,
    view: View,
    tolerated: usize,
    lost_disks: HashSet<StoreId>,
    terms: HashSet<OwnershipTerm>,
    next_id: StoreId,
    next_entry: u64,
    /// What owners could show: content by position, and how much under which term.
    shown: Vec<Arc<Entry>>,
    shown_by: BTreeMap<OwnershipTerm, usize>,
    pub epochs_moved: usize,
}

impl World {
    pub fn new(seed: u64, members: usize, spares: usize, fault: Fault) -> Self {
        let machines: Vec<Machine> = (1..=members + spares).map(|id| Machine::new(id as StoreId)).collect();
        let present = machines.iter().take(members).map(|machine| machine.id).collect();
        let mut random = Rng::with_seed(seed);
        let weights = Weights::draw(&mut random);
        let loss = random.u32(1..40);
        let mut world = Self {
            random,
            weights,
            loss,
            fault,
            job: "job".into(),
            next_id: 100,
            machines,
            network: Vec::new(),
            view: View { epoch: 1, present, previous: Vec::new() },
            tolerated: (members - 1) / 2,
            lost_disks: HashSet::new(),
            terms: HashSet::new(),
            next_entry: 0,
            shown: Vec::new(),
            shown_by: BTreeMap::new(),
            epochs_moved: 0,
        };
        for machine in &mut world.machines {
            machine.view = world.view.clone();
        }
        world
    }

    /// How many entries were committed.
    pub fn shown(&self) -> usize {
        self.shown.len()
    }

    pub fn run(&mut self, steps: usize) -> Result<(), Violation> {
        for _ in 0..steps {
            self.step()?;
        }
        Ok(())
    }

    /// No more trouble: an owner must come to have all that was committed, and add to it.
    pub fn calm_down(&mut self) -> Result<bool, Violation> {
        let before = self.shown.len();
        for index in 0..self.machines.len() {
            self.update_view(index);
            self.machines[index].owner = None;
        }
        for round in 0..2000 {
            if round % 40 == 0 && !self.machines.iter().any(Machine::leads) {
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
            self.observe()?;
            if self.shown.len() > before {
                return Ok(true);
            }
            (0..self.machines.len()).for_each(|machine| self.append(machine));
        }
        Ok(false)
    }

    fn step(&mut self) -> Result<(), Violation> {
        let machine = self.random_machine();
        let kind = self.weights.pick(&mut self.random);
        match kind {
            Step::Claim => self.claim(machine)?,
            Step::Append => self.append(machine),
            Step::Send => self.send_requests(machine),
            Step::Deliver => self.deliver_one(),
            Step::Flush => self.flush(machine),
            Step::Crash => self.crash(machine),
            Step::CrashAll => (0..self.machines.len()).for_each(|machine| self.crash(machine)),
            Step::LoseDisk => self.lose_disk(machine),
            Step::TellSettled => self.tell_settled(machine),
            Step::UpdateView => self.update_view(machine),
            Step::ChangeStoreSet => self.change_store_set(),
        }
        self.observe()
    }

    fn random_machine(&mut self) -> usize {
        self.random.usize(..self.machines.len())
    }

    fn claim(&mut self, index: usize) -> Result<(), Violation> {
        let nonce = self.random.u64(..);
        let machine = &mut self.machines[index];
        if !machine.view.present.contains(&machine.id) {
            return Ok(());
        }
        let log = machine.replica.log(&self.job);
        let promised = log.map_or(OwnershipTerm::default(), |log| log.promised);
        let highest = promised.max(machine.rejected).max(OwnershipTerm::lowest_of(machine.replica.epoch()));
        let Some(term) = OwnershipTerm::above(highest, machine.view.epoch, machine.id, nonce) else {
            return Ok(());
        };
        let copies =
            ReplicaSet { present: machine.view.present.clone(), previous: machine.view.previous.clone() };
        machine.owner = Some(Ownership::claim(term, copies, log));
        if !self.terms.insert(term) {
            return Err(Violation::SameBallot(term));
        }
        Ok(())
    }

    fn append(&mut self, index: usize) {
        self.next_entry += 1;
        let number = self.next_entry;
        let Some(owner) = self.machines[index].owner.as_mut() else { return };
        if owner.phase() != OwnershipPhase::Leading {
            return;
        }
        let body = Bytes::from(number.to_string());
        let handed_in = SubmittedJob { host: "host".into(), path: "/path".into(), body, total: 1 };
        owner.append([Arc::new(Entry::Job(handed_in))]);
    }

    fn send_requests(&mut self, index: usize) {
        let Some(owner) = self.machines[index].owner.as_mut() else { return };
        let term = owner.term();
        for (to, request) in owner.next_requests(|_| true) {
            self.network.push(Message::Request { from: index, owner: term, to, request });
        }
    }

    fn deliver_one(&mut self) {
        if self.network.is_empty() {
            return;
        }
        let message = self.network.swap_remove(self.random.usize(..self.network.len()));
        let drawn = self.random.u32(0..100);
        if drawn < self.loss {
            return self.lose(message);
        }
        if drawn >= 100 - DUPLICATES {
            self.network.push(message.duplicate());
        }
        self.deliver(message);
    }

    fn lose(&mut self, message: Message) {
        if let Message::Request { from, owner, to, .. } = message {
            self.network.push(Message::NoReply { to: from, owner, from: to });
        } else if let Message::Reply { to, owner, from, .. } = message {
            self.network.push(Message::NoReply { to, owner, from });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { from, owner, to, request } => self.deliver_request(from, owner, to, request),
            Message::Reply { to, owner, from, reply } => {
                let machine = &mut self.machines[to];
                if let ReplicaReply::Rejected { promised } = &reply {
                    machine.rejected = machine.rejected.max(*promised);
                }
                if let Some(ownership) = machine.owner.as_mut().filter(|one| one.term() == owner) {
                    ownership.handle_reply(from, reply, Duration::ZERO);
                }
            }
            Message::NoReply { to, owner, from } => {
                let ownership = self.machines[to].owner.as_mut().filter(|one| one.term() == owner);
                if let Some(ownership) = ownership {
                    ownership.handle_no_reply(from);
                }
            }
            Message::Settled { to, term } => {
                if let Some(machine) = self.machines.iter_mut().find(|machine| machine.id == to) {
                    machine.settled = machine.settled.max(term.epoch);
                }
            }
        }
    }

    fn deliver_request(&mut self, from: usize, owner: OwnershipTerm, to: StoreId, request: ReplicaRequest) {
        let fault = self.fault;
        let Some(machine) = self.machines.iter_mut().find(|machine| machine.id == to) else {
            self.network.push(Message::NoReply { to: from, owner, from: to });
            return;
        };
        let (reply, mut records) = machine.replica.handle(&self.job, request);
        if fault == Fault::ForgetsPromises {
            records.retain(|record| !matches!(record, Record::Promise { .. }));
        }
        let answer = Message::Reply { to: from, owner, from: to, reply };
        if fault == Fault::RepliesBeforeSync {
            self.network.push(answer);
            machine.pending.push(PendingWrite { records, answer: None });
        } else {
            machine.pending.push(PendingWrite { records, answer: Some(answer) });
        }
    }

    /// The disk has everything that was written so far, or the first part of it.
    fn flush(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let count = self.random.usize(0..=machine.pending.len());
        for write in machine.pending.drain(..count) {
            machine.disk.extend(write.records);
            self.network.extend(write.answer);
        }
    }

    /// Memory is lost; of what was not synced, a first part may be on the disk all the same.
    fn crash(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let survives = self.random.usize(0..=machine.pending.len());
        for write in machine.pending.drain(..).take(survives) {
            machine.disk.extend(write.records);
        }
        machine.replica = Replicas::recover(machine.disk.clone());
        machine.owner = None;
        machine.settled = 0;
        machine.rejected = OwnershipTerm::default();
    }

    fn lose_disk(&mut self, index: usize) {
        let id = self.machines[index].id;
        let is_tolerated = |set: &Vec<StoreId>| {
            let lost = set.iter().filter(|store| self.lost_disks.contains(store)).count();
            !set.contains(&id) || lost < self.tolerated
        };
        if !is_tolerated(&self.view.present) || !is_tolerated(&self.view.previous) {
            return;
        }
        let view = self.machines[index].view.clone();
        let next = if self.fault == Fault::KeepsIdentityWithoutDisk { id } else { self.next_id };
        self.next_id += 1;
        self.lost_disks.insert(id);
        self.machines[index] = Machine { view, ..Machine::new(next) };
    }

    fn tell_settled(&mut self, index: usize) {
        let Some(owner) = self.machines[index].owner.as_ref().filter(|owner| owner.is_established()) else {
            return;
        };
        if owner.committed().is_empty() {
            return;
        }
        for to in owner.replicas().present.clone() {
            self.network.push(Message::Settled { to, term: owner.term() });
        }
    }

    fn update_view(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if machine.view.epoch < self.view.epoch {
            machine.owner = None;
        }
        machine.view = self.view.clone();
        if let Some(record) = machine.replica.raise_epoch(machine.view.epoch) {
            machine.pending.push(PendingWrite { records: vec![record], answer: None });
        }
    }

    /// Ends the present change of the store set if it may be ended; otherwise begins one.
    fn change_store_set(&mut self) {
        if self.view.previous.is_empty() {
            self.begin_change();
        } else if self.is_moved() {
            self.view.previous.clear();
            self.epochs_moved += 1;
        }
    }

    fn is_moved(&self) -> bool {
        let job = &self.job;
        let epoch = self.view.epoch;
        let reports = |store: &&StoreId| {
            self.machines.iter().any(|machine| machine.id == **store && machine.has_moved(job, epoch))
        };
        let reported = self.view.previous.iter().filter(reports).count();
        reported + self.tolerated >= self.view.previous.len()
    }

    /// Members that lost their disk are replaced, otherwise some member by some other store.
    fn begin_change(&mut self) {
        let is_there = |id: &StoreId| self.machines.iter().any(|machine| machine.id == *id);
        let gone = self.view.present.iter().position(|id| !is_there(id));
        let outside: Vec<StoreId> = self
            .machines
            .iter()
            .map(|machine| machine.id)
            .filter(|id| !self.view.present.contains(id))
            .collect();
        if outside.is_empty() {
            return;
        }
        let out = gone.unwrap_or_else(|| self.random.usize(..self.view.present.len()));
        let previous = self.view.present.clone();
        self.view.present[out] = outside[self.random.usize(..outside.len())];
        self.view.previous = previous;
        self.view.epoch += 1;
    }

    /// Checks all that owners could show now.
    fn observe(&mut self) -> Result<(), Violation> {
        for index in 0..self.machines.len() {
            let Some(owner) = self.machines[index].owner.as_ref().filter(|owner| owner.is_established())
            else {
                continue;
            };
            let (term, committed) = (owner.term(), owner.committed());
            let earlier = self.shown_by.range(..term).map(|(_, length)| *length).max().unwrap_or(0);
            if committed.len() < earlier {
                return Err(Violation::Lost { term, committed: committed.len(), expected: earlier });
            }
            let pairs = committed.iter().zip(&self.shown);
            if let Some(position) = pairs.into_iter().position(|(one, other)| one != other) {
                return Err(Violation::Changed { position });
            }
            if committed.len() > self.shown.len() {
                self.shown = committed.to_vec();
            }
            self.shown_by.insert(term, committed.len());
        }
        Ok(())
    }
}

impl Machine {
    fn new(id: StoreId) -> Self {
        Self {
            id,
            replica: Replicas::default(),
            disk: Vec::new(),
            pending: Vec::new(),
            owner: None,
            settled: 0,
            rejected: OwnershipTerm::default(),
            view: View::default(),
        }
    }

    fn leads(&self) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.phase() == OwnershipPhase::Leading)
    }

    fn has_moved(&self, job: &JobId, epoch: u64) -> bool {
        let refuses_older = self.disk.iter().any(|record| matches!(record, Record::Epoch(e) if *e >= epoch));
        let log = self.replica.log(job);
        refuses_older
            && log.is_none_or(|log| {
                log.entries.is_empty() || (log.accepted.epoch >= epoch && self.settled >= epoch)
            })
    }
}

impl Message {
    fn duplicate(&self) -> Self {
        match self {
            Self::Request { from, owner, to, request } => {
                Self::Request { from: *from, owner: *owner, to: *to, request: request.clone() }
            }
            Self::Reply { to, owner, from, reply } => {
                Self::Reply { to: *to, owner: *owner, from: *from, reply: reply.clone() }
            }
            Self::NoReply { to, owner, from } => Self::NoReply { to: *to, owner: *owner, from: *from },
            Self::Settled { to, term } => Self::Settled { to: *to, term: *term },
        }
    }
}
