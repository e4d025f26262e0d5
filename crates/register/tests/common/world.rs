//! Machines, proposers and a network in which anything may happen, driven by a random number generator.

use std::collections::VecDeque;

use fastrand::Rng;
use register::{
    can_change, with_member, with_replaced, without_member, Acceptor, AcceptorReply, AcceptorRequest,
    AcceptorState, BallotSource, Confirmation, Incarnation, Member, Proposal, ProposalStep, RegisterValue,
    ReplyOutcome, Verdict, Versioned,
};

use super::oracle::Oracle;
use super::{member_of, members, versioned, History, Request};

/// A mistake that the oracle must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None.
    Nothing,
    /// An acceptor forgets its promise when it restarts.
    ForgottenPromise,
    /// An acceptor forgets what it accepted when it restarts.
    ForgottenValue,
    /// A reply is sent before the state is durable.
    ReplyBeforeDurable,
    /// Replies count whatever disk they come from.
    AnyIncarnation,
    /// A proposal starts from a value that is accepted somewhere.
    UncommittedBase,
}

/// The size of a world.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Machines that are acceptors at first.
    pub acceptors: usize,
    /// Further machines, which may become acceptors.
    pub spares: usize,
    /// Proposers.
    pub proposers: usize,
}

#[derive(Clone, Debug)]
enum Payload {
    Request(AcceptorRequest<History>),
    Reply(AcceptorReply<History>),
}

/// What a message belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Task {
    proposer: usize,
    number: u64,
}

#[derive(Clone, Debug)]
struct Message {
    task: Task,
    member: Member,
    payload: Payload,
}

/// Something on its way to a disk.
struct Write {
    state: AcceptorState<History>,
    accepted: bool,
    reply: Option<Message>,
}

struct Machine {
    acceptor: Option<Acceptor<History>>,
    durable: AcceptorState<History>,
    writes: VecDeque<Write>,
}

enum Work {
    Idle,
    Proposal(Box<Proposal<History>>),
    Confirmation { confirmation: Confirmation<History>, newest_before: register::Ballot },
}

struct Proposer {
    ballots: BallotSource,
    known: Versioned<History>,
    work: Work,
    number: u64,
}

/// All of it.
pub struct World {
    random: Rng,
    fault: Fault,
    /// Whether no more disks are lost than the acceptors bear.
    keeps_majority: bool,
    /// Whether most changes are changes of the acceptors.
    changes_members_often: bool,
    machines: Vec<Machine>,
    proposers: Vec<Proposer>,
    network: Vec<Message>,
    next_change: u32,
    next_incarnation: u64,
    /// Watches.
    pub oracle: Oracle,
    /// Confirmations so far.
    pub confirmations: usize,
    /// Changes of the acceptors so far.
    pub member_changes: usize,
}

impl World {
    /// A world whose first value is at all first acceptors.
    pub fn new(seed: u64, shape: Shape, fault: Fault) -> Self {
        let stations: Vec<_> = (0..shape.acceptors).collect();
        let first = versioned(0, &[], members(&stations));
        let machine = |station: usize| {
            let state = AcceptorState::empty(Incarnation(station as u64 + 1));
            let mut acceptor = Acceptor::new(state);
            if station < shape.acceptors {
                acceptor.initialise(first.clone());
            }
            let durable = acceptor.state().clone();
            Machine { acceptor: Some(acceptor), durable, writes: VecDeque::new() }
        };
        let proposer = |number: usize| Proposer {
            ballots: BallotSource::new(number as u64 + 1),
            known: first.clone(),
            work: Work::Idle,
            number: 0,
        };
        Self {
            random: Rng::with_seed(seed),
            fault,
            keeps_majority: !seed.is_multiple_of(4),
            changes_members_often: seed.is_multiple_of(2),
            machines: (0..shape.acceptors + shape.spares).map(machine).collect(),
            proposers: (0..shape.proposers).map(proposer).collect(),
            network: Vec::new(),
            next_change: 1,
            next_incarnation: 100,
            oracle: Oracle::new(first.clone()),
            confirmations: 0,
            member_changes: 0,
        }
    }

    /// Lets random things happen until something is broken.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            if self.oracle.fault.is_some() {
                return;
            }
        }
    }

    fn step(&mut self) {
        match self.random.u32(..1000) {
            0..550 => self.deliver(),
            550..565 => self.drop_message(),
            565..595 => self.duplicate_message(),
            595..850 => self.finish_write(),
            850..950 => self.start_work(),
            950..970 => self.restart_machine(),
            970..971 => self.lose_disk(),
            971..985 => self.restart_proposer(),
            _ => self.learn_somewhere(),
        }
    }

    fn pick_message(&mut self) -> Option<usize> {
        (!self.network.is_empty()).then(|| self.random.usize(..self.network.len()))
    }

    fn deliver(&mut self) {
        let Some(picked) = self.pick_message() else {
            return;
        };
        let Message { task, member, payload } = self.network.swap_remove(picked);
        match payload {
            Payload::Request(request) => self.on_request(task, member, request),
            Payload::Reply(reply) => self.on_reply(task, &member, reply),
        }
    }

    fn drop_message(&mut self) {
        if let Some(picked) = self.pick_message() {
            self.network.swap_remove(picked);
        }
    }

    fn duplicate_message(&mut self) {
        if let Some(picked) = self.pick_message() {
            let message = self.network[picked].clone();
            self.network.push(message);
        }
    }

    fn pick_machine(&mut self) -> usize {
        self.random.usize(..self.machines.len())
    }

    fn on_request(&mut self, task: Task, member: Member, request: AcceptorRequest<History>) {
        let station = station_of(&member);
        let machine = &mut self.machines[station];
        let Some(acceptor) = machine.acceptor.as_mut() else {
            return;
        };
        let handled = acceptor.handle(request);
        let accepted = matches!(handled.reply.outcome, ReplyOutcome::Accepted);
        let message = Message { task, member, payload: Payload::Reply(handled.reply) };
        if !handled.must_persist {
            self.network.push(message);
            return;
        }
        let state = acceptor.state().clone();
        if self.fault == Fault::ReplyBeforeDurable {
            machine.writes.push_back(Write { state, accepted, reply: None });
            self.network.push(message);
        } else {
            machine.writes.push_back(Write { state, accepted, reply: Some(message) });
        }
    }

    /// The oldest write of some machine becomes durable.
    fn finish_write(&mut self) {
        let station = self.pick_machine();
        let machine = &mut self.machines[station];
        let Some(write) = machine.writes.pop_front() else {
            return;
        };
        machine.durable = write.state;
        if write.accepted {
            let ballot = machine.durable.accepted.as_ref().expect("a value was accepted").ballot;
            self.oracle.on_durable(ballot, machine.durable.incarnation);
        }
        self.network.extend(write.reply);
    }

    /// A machine goes down or comes back with what was durable.
    fn restart_machine(&mut self) {
        let station = self.pick_machine();
        let machine = &mut self.machines[station];
        machine.writes.clear();
        if machine.acceptor.take().is_some() && self.random.u8(..4) == 0 {
            return;
        }
        let mut state = machine.durable.clone();
        match self.fault {
            Fault::ForgottenPromise => state.promised = register::Ballot::default(),
            Fault::ForgottenValue => state.accepted = state.committed.clone(),
            _ => {}
        }
        machine.acceptor = Some(Acceptor::new(state));
    }

    fn lose_disk(&mut self) {
        let station = self.pick_machine();
        if self.keeps_majority && !self.is_majority_left_without(self.machines[station].durable.incarnation) {
            return;
        }
        self.next_incarnation += 1;
        let durable = AcceptorState::empty(Incarnation(self.next_incarnation));
        let acceptor = Some(Acceptor::new(durable.clone()));
        self.machines[station] = Machine { acceptor, durable, writes: VecDeque::new() };
    }

    /// Whether the newest value has a majority of acceptors with their disks, also if this one is lost.
    fn is_majority_left_without(&self, lost: Incarnation) -> bool {
        let wanted = self.oracle.newest_chosen().value.members();
        let is_left = |member: &&Member| {
            let machine = &self.machines[station_of(member)];
            machine.durable.incarnation == member.incarnation && member.incarnation != lost
        };
        2 * wanted.iter().filter(is_left).count() > wanted.len()
    }

    /// The process of a proposer starts anew, with what some machine knows to be committed.
    fn restart_proposer(&mut self) {
        let picked = self.random.usize(..self.proposers.len());
        let station = self.pick_machine();
        let Some(known) = self.machines[station].durable.committed.clone() else {
            return;
        };
        let ballots = BallotSource::new(self.random.u64(..));
        let number = self.proposers[picked].number + 1;
        self.proposers[picked] = Proposer { ballots, known, work: Work::Idle, number };
    }

    /// Some proposer hears of what some machine knows to be committed.
    fn learn_somewhere(&mut self) {
        let picked = self.random.usize(..self.proposers.len());
        let station = self.pick_machine();
        let state = &self.machines[station].durable;
        let shown = if self.fault == Fault::UncommittedBase {
            state.accepted.clone()
        } else {
            state.committed.clone()
        };
        if let Some(shown) = shown {
            self.proposers[picked].learn(shown);
        }
    }

    /// A proposer gives up what it does and starts something.
    fn start_work(&mut self) {
        let picked = self.random.usize(..self.proposers.len());
        let is_idle = matches!(self.proposers[picked].work, Work::Idle);
        if !is_idle && self.random.u8(..10) > 0 {
            return;
        }
        let newest_before = self.oracle.newest_chosen().ballot;
        let proposer = &mut self.proposers[picked];
        proposer.number += 1;
        let requests = if self.random.u8(..5) == 0 {
            let (confirmation, requests) = Confirmation::start(proposer.known.clone());
            proposer.work = Work::Confirmation { confirmation, newest_before };
            requests
        } else {
            proposer.start_proposal()
        };
        self.send(picked, requests);
    }

    fn send(&mut self, proposer: usize, requests: Vec<Request>) {
        let task = Task { proposer, number: self.proposers[proposer].number };
        let messages = requests.into_iter().map(|(member, request)| Message {
            task,
            member,
            payload: Payload::Request(request),
        });
        self.network.extend(messages);
    }

    fn on_reply(&mut self, task: Task, from: &Member, mut reply: AcceptorReply<History>) {
        if self.fault == Fault::AnyIncarnation {
            reply.incarnation = from.incarnation;
        }
        let proposer = &mut self.proposers[task.proposer];
        if proposer.number != task.number {
            return;
        }
        match &mut proposer.work {
            Work::Idle => {}
            Work::Proposal(proposal) => {
                let step = proposal.on_reply(from, reply);
                self.on_step(task.proposer, step);
            }
            Work::Confirmation { confirmation, newest_before } => {
                let (verdict, newest_before) = (confirmation.on_reply(from, reply), *newest_before);
                self.on_verdict(task.proposer, verdict, newest_before);
            }
        }
    }

    fn on_step(&mut self, picked: usize, step: ProposalStep<History>) {
        match step {
            ProposalStep::Wait => {}
            ProposalStep::Send(requests) => self.send(picked, requests),
            ProposalStep::Read(current) => self.propose(picked, &current),
            ProposalStep::Committed(value) => self.on_committed(picked, value),
            ProposalStep::Preempted(ballot) => {
                let proposer = &mut self.proposers[picked];
                proposer.ballots.observe(ballot);
                proposer.work = Work::Idle;
            }
        }
    }

    fn propose(&mut self, picked: usize, current: &Versioned<History>) {
        let value = self.next_value(current);
        let Work::Proposal(proposal) = &mut self.proposers[picked].work else {
            return;
        };
        let requests = proposal.propose(value);
        if let Some((_, AcceptorRequest::Accept(sent))) = requests.first() {
            self.oracle.on_propose(sent.clone());
        }
        self.send(picked, requests);
    }

    /// A change, a change of the acceptors, or the same value.
    fn next_value(&mut self, current: &Versioned<History>) -> History {
        let change = self.next_change;
        self.next_change += 1;
        let present = current.value.members();
        let first = if self.changes_members_often { 3 } else { 0 };
        match self.random.u8(first..10) {
            0..4 => current.value.with_change(change),
            4 => History::clone(&current.value),
            5..7 => {
                let added = with_member(present, self.any_member());
                self.changed_members(current, change, added)
            }
            7 => {
                let removed = present[self.random.usize(..present.len())].incarnation;
                let replaced = with_replaced(present, removed, self.any_member());
                self.changed_members(current, change, replaced)
            }
            8 => {
                // Two steps in one, which a proposal must not take.
                let removed = present[self.random.usize(..present.len())].incarnation;
                let replaced = with_replaced(present, removed, self.any_member());
                let twice = with_member(&replaced, self.any_member());
                current.value.with_members(change, twice)
            }
            _ => {
                let removed = present[self.random.usize(..present.len())].incarnation;
                self.changed_members(current, change, without_member(present, removed))
            }
        }
    }

    /// Some machine with the disk that it has now.
    fn any_member(&mut self) -> Member {
        let station = self.pick_machine();
        member_of(station, self.machines[station].durable.incarnation.0)
    }

    fn changed_members(&mut self, current: &Versioned<History>, change: u32, wanted: Vec<Member>) -> History {
        if !can_change(current.value.members(), &wanted) || wanted.len() > 5 {
            return current.value.with_change(change);
        }
        current.value.with_members(change, wanted)
    }

    fn on_committed(&mut self, picked: usize, value: Versioned<History>) {
        self.oracle.on_committed(&value);
        let proposer = &mut self.proposers[picked];
        let Work::Proposal(proposal) = std::mem::replace(&mut proposer.work, Work::Idle) else {
            return;
        };
        if value.value.members() != proposer.known.value.members() {
            self.member_changes += 1;
        }
        proposer.learn(value);
        let announcements = proposal.announcements();
        self.send(picked, announcements);
    }

    fn on_verdict(&mut self, picked: usize, verdict: Verdict<History>, newest_before: register::Ballot) {
        let proposer = &mut self.proposers[picked];
        match verdict {
            Verdict::Wait => return,
            Verdict::Confirmed => {
                self.confirmations += 1;
                self.oracle.on_confirmed(proposer.known.ballot, newest_before);
                let Work::Confirmation { confirmation, .. } = &proposer.work else {
                    return;
                };
                let lagging = confirmation.lagging();
                self.send(picked, lagging);
            }
            Verdict::Newer(newer) => {
                self.oracle.on_committed(&newer);
                proposer.learn(newer);
            }
            Verdict::Undecided(ballot) => proposer.ballots.observe(ballot),
        }
        self.proposers[picked].work = Work::Idle;
    }
}

impl Proposer {
    fn learn(&mut self, committed: Versioned<History>) {
        if committed.ballot > self.known.ballot {
            self.known = committed;
        }
    }

    fn start_proposal(&mut self) -> Vec<Request> {
        self.ballots.observe(self.known.ballot);
        let (proposal, requests) = Proposal::start(self.ballots.next_ballot(), self.known.clone());
        self.work = Work::Proposal(Box::new(proposal));
        requests
    }
}

fn station_of(member: &Member) -> usize {
    let number = member.name.rsplit('-').next().and_then(|number| number.parse().ok());
    number.expect("the name ends with a number")
}
