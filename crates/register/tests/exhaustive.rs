//! Explores every order of events of a few concurrent proposals. Each request is handled at any time or
//! never, and each reply arrives or is lost.

mod common;

use std::collections::{BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use common::oracle::Oracle;
use common::{accept_value, first_incarnation, machine_of, member, members, versioned, History, Request};
use register::{
    with_member, with_member_replaced, without_member, Acceptor, AcceptorRequest, AcceptorState, Ballot,
    Proposal, ProposalStep, RegisterValue, ReplyOutcome,
};
use yare::parameterized;

/// Change that a proposer makes.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Changes the value and keeps the acceptors.
    Content,
    AddAcceptor(usize),
    RemoveAcceptor(usize),
    /// Replaces the first machine by the second.
    ReplaceAcceptor(usize, usize),
}

impl Change {
    fn apply(self, current: &History, number: u32) -> History {
        let acceptors = current.acceptors();
        match self {
            Self::Content => current.with_change(number),
            Self::AddAcceptor(added) => current.with_acceptors(number, with_member(acceptors, member(added))),
            Self::RemoveAcceptor(removed) => {
                current.with_acceptors(number, without_member(acceptors, first_incarnation(removed)))
            }
            Self::ReplaceAcceptor(removed, added) => {
                let replaced = with_member_replaced(acceptors, first_incarnation(removed), member(added));
                current.with_acceptors(number, replaced)
            }
        }
    }
}

/// State of the exploration: all acceptors, proposals and requests in flight.
#[derive(Clone)]
struct ClusterState {
    acceptors: Vec<Acceptor<History>>,
    proposals: Vec<Proposal<History>>,
    /// Progress of each proposal, in the order of `proposals`.
    progress: Vec<ProposalProgress>,
    /// Requests that were not handled yet, with the index of their proposal.
    in_flight: Vec<(usize, Request)>,
    oracle: Oracle,
}

/// Current round of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Round {
    Prepare,
    Accept,
    Finished,
}

/// Progress of a proposal, as far as it affects later events. The order of the replies has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProposalProgress {
    round: Round,
    /// Replies in the current round, as the machine and the code of the outcome.
    replies: BTreeSet<(usize, u64)>,
    /// Ballot of the value that was read; `None` until the prepare round is complete.
    read_ballot: Option<Ballot>,
    /// Machines that have accepted the value, whether or not their replies arrived.
    accepted_by: BTreeSet<usize>,
}

impl ProposalProgress {
    fn new() -> Self {
        let (replies, accepted_by) = (BTreeSet::new(), BTreeSet::new());
        Self { round: Round::Prepare, replies, read_ballot: None, accepted_by }
    }

    fn enter(&mut self, round: Round) {
        self.round = round;
        self.replies.clear();
    }
}

/// Part of a state that identifies it: states with equal keys are explored once.
#[derive(Hash)]
struct StateKey {
    /// Promised and accepted ballot of each acceptor.
    acceptors: Vec<(Ballot, Option<Ballot>)>,
    progress: Vec<ProposalProgress>,
    /// Requests in flight: the index of the proposal, the machine, and whether it is a prepare request.
    in_flight: Vec<(usize, usize, bool)>,
}

impl ClusterState {
    fn new(first_acceptors: &[usize], machines: usize, changes: &[Change]) -> Self {
        let first = versioned(0, &[], members(first_acceptors));
        let acceptor = |machine: usize| {
            let mut acceptor = Acceptor::new(AcceptorState::empty(first_incarnation(machine)));
            if first_acceptors.contains(&machine) {
                acceptor.initialize(first.clone());
            }
            acceptor
        };
        let mut state = Self {
            acceptors: (0..machines).map(acceptor).collect(),
            proposals: Vec::new(),
            progress: vec![ProposalProgress::new(); changes.len()],
            in_flight: Vec::new(),
            oracle: Oracle::new(first.clone()),
        };
        for number in 0..changes.len() {
            let ballot = Ballot { round: 10 + number as u64, proposer: number as u64 };
            let (proposal, requests) = Proposal::start(ballot, first.clone());
            state.proposals.push(proposal);
            state.send(number, requests);
        }
        state
    }

    /// Returns a hash of the key of this state.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.key().hash(&mut hasher);
        hasher.finish()
    }

    fn key(&self) -> StateKey {
        let in_flight = self.in_flight.iter().map(|(number, request)| {
            (*number, machine_of(&request.to), matches!(request.request, AcceptorRequest::Prepare(_)))
        });
        let mut in_flight: Vec<_> = in_flight.collect();
        in_flight.sort();
        let acceptors = self.acceptors.iter().map(Acceptor::state);
        let ballots =
            acceptors.map(|state| (state.promised, state.accepted.as_ref().map(|value| value.ballot)));
        StateKey { acceptors: ballots.collect(), progress: self.progress.clone(), in_flight }
    }

    fn send(&mut self, number: usize, requests: Vec<Request>) {
        self.in_flight.extend(requests.into_iter().map(|request| (number, request)));
    }

    /// Handles the request at index `picked`. Its reply then arrives or is lost.
    fn handle(&mut self, picked: usize, reply_arrives: bool, changes: &[Change]) {
        let (number, Request { to, request }) = self.in_flight.swap_remove(picked);
        let machine = machine_of(&to);
        let reply = self.acceptors[machine].handle(request).reply;
        if matches!(reply.outcome, ReplyOutcome::Accepted) {
            self.progress[number].accepted_by.insert(machine);
            self.oracle.on_durable(self.proposals[number].ballot(), to.incarnation);
        }
        if !reply_arrives {
            return;
        }
        self.progress[number].replies.insert((machine, outcome_code(&reply.outcome)));
        match self.proposals[number].on_reply(&to, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Preempted(_) => self.progress[number].enter(Round::Finished),
            ProposalStep::Send(requests) => self.send(number, requests),
            ProposalStep::Committed(value) => {
                self.oracle.on_committed(&value);
                self.progress[number].enter(Round::Finished);
            }
            ProposalStep::Prepared(current) => {
                self.progress[number].enter(Round::Accept);
                self.progress[number].read_ballot = Some(current.ballot);
                let next = changes[number].apply(&current.value, number as u32 + 1);
                let requests = self.proposals[number].propose(next);
                if let Some(proposed) = requests.first().and_then(accept_value) {
                    self.oracle.on_propose(proposed.clone());
                }
                self.send(number, requests);
            }
        }
    }

    /// Returns whether the reply to the request at index `picked` can still affect its proposal.
    fn is_reply_relevant(&self, picked: usize) -> bool {
        let (number, request) = &self.in_flight[picked];
        match self.progress[*number].round {
            Round::Prepare => true,
            Round::Accept => accept_value(request).is_some(),
            Round::Finished => false,
        }
    }
}

/// Returns a code that is equal for outcomes that a proposal does not distinguish.
fn outcome_code(outcome: &ReplyOutcome<History>) -> u64 {
    match outcome {
        ReplyOutcome::Promised(accepted) => accepted.as_ref().map_or(0, |accepted| accepted.ballot.round + 1),
        ReplyOutcome::Accepted => 1000,
        ReplyOutcome::Rejected(ballot) => 2000 + ballot.round,
        _ => 3000,
    }
}

#[parameterized(
    two_changes = { &[0, 1, 2], 3, &[Change::Content, Change::Content] },
    a_change_and_an_added_acceptor = { &[0, 1, 2], 4, &[Change::Content, Change::AddAcceptor(3)] },
    a_change_and_a_removed_acceptor = { &[0, 1, 2], 3, &[Change::Content, Change::RemoveAcceptor(2)] },
    an_added_and_a_removed_acceptor = { &[0, 1], 3, &[Change::AddAcceptor(2), Change::RemoveAcceptor(1)] },
    a_change_and_a_replaced_acceptor = { &[0, 1, 2], 4, &[Change::Content, Change::ReplaceAcceptor(2, 3)] },
    two_replaced_acceptors = { &[0, 1], 4, &[Change::ReplaceAcceptor(1, 2), Change::ReplaceAcceptor(0, 3)] },
    two_added_acceptors = { &[0], 3, &[Change::AddAcceptor(1), Change::AddAcceptor(2)] },
)]
fn given_concurrent_proposals_when_all_orders_are_explored_then_each_value_descends_from_the_committed_ones(
    first_acceptors: &[usize],
    machines: usize,
    changes: &[Change],
) {
    let mut seen = HashSet::new();
    let mut unexplored = vec![ClusterState::new(first_acceptors, machines, changes)];
    let mut max_chosen = 0;
    while let Some(state) = unexplored.pop() {
        if !seen.insert(state.digest()) {
            continue;
        }
        assert_eq!(state.oracle.violation, None);
        max_chosen = max_chosen.max(state.oracle.chosen_count());
        for picked in 0..state.in_flight.len() {
            for reply_arrives in [true, false] {
                if reply_arrives && !state.is_reply_relevant(picked) {
                    continue;
                }
                let mut next = state.clone();
                next.handle(picked, reply_arrives, changes);
                unexplored.push(next);
            }
        }
    }
    println!("explored {} states, in which up to {max_chosen} values were chosen", seen.len());
    assert_eq!(max_chosen, changes.len() + 1, "at least one order commits all changes");
}
