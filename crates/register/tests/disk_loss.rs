//! Tests the recovery from a lost disk. A change is interrupted after any number of requests, and one machine
//! loses its disk. The other machines must complete or discard the change, and the machine must become an
//! acceptor again.

mod common;

use common::{machine_of, member_with_disk, members, versioned, History, Request};
use fastrand::Rng;
use register::{
    next_step, same_members, with_member, with_member_replaced, without_member, Acceptor, AcceptorState,
    BallotSource, Incarnation, Member, Proposal, ProposalStep, RegisterValue, Versioned,
};
use yare::parameterized;

/// Largest number of proposals that a recovery may take.
const MAX_PROPOSALS: usize = 12;
/// Incarnation of the empty disk that replaces the lost one.
const NEW_INCARNATION: u64 = 100;

/// Machines that reply at once, until a given number of requests was handled.
struct Cluster {
    random: Rng,
    /// Acceptors by the number of their machine.
    acceptors: Vec<Acceptor<History>>,
    /// Number of further requests that are handled. All requests after them are lost.
    request_budget: usize,
}

impl Cluster {
    fn new(seed: u64, machines: usize, first: &Versioned<History>) -> Self {
        let acceptors = (0..machines as u64).map(|machine| {
            let mut acceptor = Acceptor::new(AcceptorState::empty(Incarnation(machine + 1)));
            if first.value.acceptors().iter().any(|member| member.incarnation == Incarnation(machine + 1)) {
                acceptor.initialize(first.clone());
            }
            acceptor
        });
        Self { random: Rng::with_seed(seed), acceptors: acceptors.collect(), request_budget: usize::MAX }
    }

    fn lose_disk(&mut self, machine: usize) {
        self.acceptors[machine] = Acceptor::new(AcceptorState::empty(Incarnation(NEW_INCARNATION)));
    }

    /// Returns the newest value that any machine has recorded as committed.
    fn known(&self) -> Versioned<History> {
        let committed = self.acceptors.iter().filter_map(|acceptor| acceptor.state().committed.clone());
        committed
            .max_by_key(|committed| committed.ballot)
            .expect("at least one machine has recorded a committed value")
    }

    /// Runs a proposal and returns the committed value; `None` if it was preempted or its requests were lost.
    ///
    /// `change` gets the value that was read, and whether it is known to be committed.
    fn run_proposal(
        &mut self,
        ballots: &mut BallotSource,
        change: impl Fn(&History, bool) -> History,
    ) -> Option<Versioned<History>> {
        let base = self.known();
        ballots.observe(base.ballot);
        let (mut proposal, mut requests) = Proposal::start(ballots.next_ballot(), base);
        while let Some(Request { to, request }) = self.take_random_request(&mut requests) {
            let machine = machine_of(&to);
            let reply = self.acceptors[machine].handle(request).reply;
            match proposal.on_reply(&to, reply) {
                ProposalStep::Wait => {}
                ProposalStep::Send(more) => requests.extend(more),
                ProposalStep::Prepared(current) => {
                    let value = change(&current.value, proposal.is_known_committed());
                    requests.extend(proposal.propose(value));
                }
                ProposalStep::Preempted(ballot) => {
                    ballots.observe(ballot);
                    return None;
                }
                ProposalStep::Committed(value) => {
                    self.send_learn_requests(&proposal);
                    return Some(value);
                }
            }
        }
        None
    }

    /// Removes a random request, if one is left and the request budget is not used up.
    fn take_random_request(&mut self, requests: &mut Vec<Request>) -> Option<Request> {
        if requests.is_empty() || self.request_budget == 0 {
            return None;
        }
        self.request_budget -= 1;
        Some(requests.swap_remove(self.random.usize(..requests.len())))
    }

    fn send_learn_requests(&mut self, proposal: &Proposal<History>) {
        for Request { to, request } in proposal.learn_requests() {
            if self.request_budget == 0 {
                return;
            }
            self.request_budget -= 1;
            let machine = machine_of(&to);
            self.acceptors[machine].handle(request);
        }
    }
}

/// Change that is interrupted.
#[derive(Clone, Copy)]
enum Change {
    /// Changes the value and keeps the acceptors.
    Content,
    /// Adds machine 3.
    Add,
    /// Removes machine 3.
    Remove,
    /// Replaces machine 1 by machine 3.
    Replace,
}

impl Change {
    fn apply(self, current: &History) -> History {
        let acceptors = current.acceptors();
        match self {
            Self::Content => current.with_change(1),
            Self::Add => current.with_acceptors(1, with_member(acceptors, member_with_disk(3, 4))),
            Self::Remove => current.with_acceptors(1, without_member(acceptors, Incarnation(4))),
            Self::Replace => current
                .with_acceptors(1, with_member_replaced(acceptors, Incarnation(2), member_with_disk(3, 4))),
        }
    }
}

/// Returns the members with the new disk of a machine instead of its first one.
fn with_new_disk(acceptors: &[Member], machine: usize) -> Vec<Member> {
    let others = without_member(acceptors, Incarnation(machine as u64 + 1));
    with_member(&others, member_with_disk(machine, NEW_INCARNATION))
}

#[parameterized(
    content = { &[0, 1, 2], Change::Content },
    content_of_five = { &[0, 1, 2, 3, 4], Change::Content },
    added = { &[0, 1, 2], Change::Add },
    removed = { &[0, 1, 2, 3], Change::Remove },
    replaced = { &[0, 1, 2], Change::Replace },
    removed_of_five = { &[0, 1, 2, 3, 4], Change::Remove },
)]
fn given_an_interrupted_change_when_a_disk_is_lost_then_the_machine_becomes_an_acceptor_again(
    first_acceptors: &[usize],
    change: Change,
) {
    for seed in 0..40 {
        for request_budget in 0..=18 {
            for lost in 0..first_acceptors.len() {
                check_recovery(seed, request_budget, lost, first_acceptors, change);
            }
        }
    }
}

/// Interrupts a change after `request_budget` requests, replaces the disk of the machine `lost`, and checks
/// that the machine becomes an acceptor again without the loss of an acknowledged change.
fn check_recovery(seed: u64, request_budget: usize, lost: usize, first_acceptors: &[usize], change: Change) {
    let first = versioned(0, &[], members(first_acceptors));
    let mut cluster = Cluster::new(seed, 5, &first);
    cluster.request_budget = request_budget;
    let acknowledged = cluster.run_proposal(&mut BallotSource::new(1), |current, _| change.apply(current));
    cluster.request_budget = usize::MAX;
    cluster.lose_disk(lost);
    let mut ballots = BallotSource::new(2);
    let context = format!("seed {seed}, request_budget {request_budget}, lost {lost}");
    for _ in 0..MAX_PROPOSALS {
        let committed = cluster.run_proposal(&mut ballots, |current, is_known_committed| {
            let target = with_new_disk(current.acceptors(), lost);
            match next_step(current.acceptors(), &target) {
                Some(step) if is_known_committed => current.with_acceptors(2, step),
                _ => current.clone(),
            }
        });
        let Some(committed) = committed else {
            continue;
        };
        if let Some(acknowledged) = &acknowledged {
            assert!(
                acknowledged.value.is_prefix_of(&committed.value),
                "{context}: an acknowledged change was lost"
            );
        }
        let acceptors = committed.value.acceptors();
        if same_members(acceptors, &with_new_disk(acceptors, lost)) {
            return;
        }
    }
    panic!("{context}: the machine did not become an acceptor again within {MAX_PROPOSALS} proposals");
}
