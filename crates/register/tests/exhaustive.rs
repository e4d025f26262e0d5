//! Every order of a few concurrent proposals: each request is handled at any time or never, and each reply comes
//! or is lost.

mod common;

use std::collections::{BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use common::oracle::Oracle;
use common::{member, members, versioned, History, Request};
use register::{
    Acceptor, AcceptorRequest, AcceptorState, Ballot, Member, Proposal, ProposalStep, RegisterValue,
    ReplyOutcome,
};
use yare::parameterized;

/// What a proposer wants.
#[derive(Clone, Copy, Debug)]
enum Wish {
    Change,
    Add(usize),
    Remove(usize),
    Replace(usize, usize),
}

impl Wish {
    fn apply(self, current: &History, change: u32) -> History {
        let present = current.members();
        match self {
            Self::Change => current.with_change(change),
            Self::Add(station) => {
                current.with_members(change, register::with_member(present, member(station)))
            }
            Self::Remove(station) => {
                let removed = member(station).incarnation;
                current.with_members(change, register::without_member(present, removed))
            }
            Self::Replace(old, new) => {
                let replaced = register::with_replaced(present, member(old).incarnation, member(new));
                current.with_members(change, replaced)
            }
        }
    }
}

#[derive(Clone)]
struct State {
    acceptors: Vec<Acceptor<History>>,
    proposals: Vec<Proposal<History>>,
    /// What each proposal was told in its present round. The order makes no difference to it.
    told: Vec<Told>,
    in_flight: Vec<(usize, Request)>,
    oracle: Oracle,
}

/// How far a proposal is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Round {
    Prepare,
    Accept,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Told {
    round: Round,
    replies: BTreeSet<(usize, u64)>,
    /// Ballot of the value that was read.
    read: Option<Ballot>,
    /// Machines that accepted the value, whether the proposal was told or not.
    accepted_by: BTreeSet<usize>,
}

impl Told {
    fn nothing() -> Self {
        let (replies, accepted_by) = (BTreeSet::new(), BTreeSet::new());
        Self { round: Round::Prepare, replies, read: None, accepted_by }
    }

    fn enter(&mut self, round: Round) {
        self.round = round;
        self.replies.clear();
    }
}

/// What makes two states the same.
#[derive(Hash)]
struct Key {
    acceptors: Vec<(Ballot, Option<Ballot>)>,
    told: Vec<Told>,
    in_flight: Vec<(usize, usize, bool)>,
}

impl State {
    fn new(first_members: &[usize], machines: usize, wishes: &[Wish]) -> Self {
        let first = versioned(0, &[], members(first_members));
        let acceptor = |station: usize| {
            let mut acceptor = Acceptor::new(AcceptorState::empty(member(station).incarnation));
            if first_members.contains(&station) {
                acceptor.initialise(first.clone());
            }
            acceptor
        };
        let mut state = Self {
            acceptors: (0..machines).map(acceptor).collect(),
            proposals: Vec::new(),
            told: vec![Told::nothing(); wishes.len()],
            in_flight: Vec::new(),
            oracle: Oracle::new(first.clone()),
        };
        for number in 0..wishes.len() {
            let ballot = Ballot { round: 10 + number as u64, proposer: number as u64 };
            let (proposal, requests) = Proposal::start(ballot, first.clone());
            state.proposals.push(proposal);
            state.send(number, requests);
        }
        state
    }

    /// A digest of all that matters.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.key().hash(&mut hasher);
        hasher.finish()
    }

    fn key(&self) -> Key {
        let mut in_flight: Vec<_> = self
            .in_flight
            .iter()
            .map(|(number, (member, request))| {
                (*number, station_of(member), matches!(request, AcceptorRequest::Prepare(_)))
            })
            .collect();
        in_flight.sort();
        let acceptors = self.acceptors.iter().map(Acceptor::state);
        let ballots =
            acceptors.map(|state| (state.promised, state.accepted.as_ref().map(|value| value.ballot)));
        Key { acceptors: ballots.collect(), told: self.told.clone(), in_flight }
    }

    fn send(&mut self, number: usize, requests: Vec<Request>) {
        self.in_flight.extend(requests.into_iter().map(|request| (number, request)));
    }

    /// A request is handled; its reply comes or is lost.
    fn handle(&mut self, picked: usize, reply_comes: bool, wishes: &[Wish]) {
        let (number, (member, request)) = self.in_flight.swap_remove(picked);
        let station = station_of(&member);
        let handled = self.acceptors[station].handle(request);
        if matches!(handled.reply.outcome, ReplyOutcome::Accepted) {
            self.told[number].accepted_by.insert(station);
            self.oracle.on_durable(self.proposals[number].ballot(), member.incarnation);
        }
        if !reply_comes {
            return;
        }
        self.told[number].replies.insert((station, code_of(&handled.reply.outcome)));
        match self.proposals[number].on_reply(&member, handled.reply) {
            ProposalStep::Wait => {}
            ProposalStep::Preempted(_) => self.told[number].enter(Round::Done),
            ProposalStep::Send(requests) => self.send(number, requests),
            ProposalStep::Committed(value) => {
                self.oracle.on_committed(&value);
                self.told[number].enter(Round::Done);
            }
            ProposalStep::Read(current) => {
                self.told[number].enter(Round::Accept);
                self.told[number].read = Some(current.ballot);
                let wanted = wishes[number].apply(&current.value, number as u32 + 1);
                let requests = self.proposals[number].propose(wanted);
                if let Some((_, AcceptorRequest::Accept(sent))) = requests.first() {
                    self.oracle.on_propose(sent.clone());
                }
                self.send(number, requests);
            }
        }
    }

    /// Whether the proposal still cares for a reply to this request.
    fn is_reply_wanted(&self, picked: usize) -> bool {
        let (number, (_, request)) = &self.in_flight[picked];
        match self.told[*number].round {
            Round::Prepare => true,
            Round::Accept => matches!(request, AcceptorRequest::Accept(_)),
            Round::Done => false,
        }
    }
}

fn station_of(member: &Member) -> usize {
    (member.incarnation.0 - 1) as usize
}

/// Tells outcomes apart, as far as a proposal does.
fn code_of(outcome: &ReplyOutcome<History>) -> u64 {
    match outcome {
        ReplyOutcome::Promised(shown) => shown.as_ref().map_or(0, |shown| shown.ballot.round + 1),
        ReplyOutcome::Accepted => 1000,
        ReplyOutcome::Rejected(ballot) => 2000 + ballot.round,
        _ => 3000,
    }
}

#[parameterized(
    two_changes = { &[0, 1, 2], 3, &[Wish::Change, Wish::Change] },
    a_change_and_an_added_acceptor = { &[0, 1, 2], 4, &[Wish::Change, Wish::Add(3)] },
    a_change_and_a_removed_acceptor = { &[0, 1, 2], 3, &[Wish::Change, Wish::Remove(2)] },
    an_added_and_a_removed_acceptor = { &[0, 1], 3, &[Wish::Add(2), Wish::Remove(1)] },
    a_change_and_a_replaced_acceptor = { &[0, 1, 2], 4, &[Wish::Change, Wish::Replace(2, 3)] },
    two_that_replace_one_another = { &[0, 1], 4, &[Wish::Replace(1, 2), Wish::Replace(0, 3)] },
    an_added_acceptor_twice = { &[0], 3, &[Wish::Add(1), Wish::Add(2)] },
)]
fn given_concurrent_proposals_when_all_orders_are_tried_then_values_follow_one_another(
    first_members: &[usize],
    machines: usize,
    wishes: &[Wish],
) {
    let mut seen = HashSet::new();
    let mut open = vec![State::new(first_members, machines, wishes)];
    let mut most_chosen = 0;
    while let Some(state) = open.pop() {
        if !seen.insert(state.digest()) {
            continue;
        }
        assert_eq!(state.oracle.fault, None);
        most_chosen = most_chosen.max(state.oracle.chosen_count());
        for picked in 0..state.in_flight.len() {
            for reply_comes in [true, false] {
                if reply_comes && !state.is_reply_wanted(picked) {
                    continue;
                }
                let mut next = state.clone();
                next.handle(picked, reply_comes, wishes);
                open.push(next);
            }
        }
    }
    println!("{} states, up to {most_chosen} values", seen.len());
    assert_eq!(most_chosen, wishes.len() + 1, "some order commits all of them");
}
