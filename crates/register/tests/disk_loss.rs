//! A change is interrupted at any point, and one machine loses its disk: the others complete or discard the
//! change, and the machine becomes an acceptor again.

mod common;

use common::{machine_of, member_with_disk, members, versioned, History, Request};
use fastrand::Rng;
use register::{
    next_step, same_members, with_member, with_member_replaced, without_member, Acceptor, AcceptorState,
    BallotSource, Incarnation, Member, Proposal, ProposalStep, RegisterValue, Versioned,
};
use yare::parameterized;

/// Proposals that a recovery may take at most.
const MAX_PROPOSALS: usize = 12;
/// Incarnation of the new disk.
const NEW_DISK: u64 = 100;

/// Machines that reply at once, until a number of requests was handled.
struct Cluster {
    random: Rng,
    acceptors: Vec<Acceptor<History>>,
    /// Requests that are still handled; further ones are lost.
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
        self.acceptors[machine] = Acceptor::new(AcceptorState::empty(Incarnation(NEW_DISK)));
    }

    /// The newest value that any machine knows to be committed.
    fn known(&self) -> Versioned<History> {
        let committed = self.acceptors.iter().filter_map(|acceptor| acceptor.state().committed.clone());
        committed.max_by_key(|committed| committed.ballot).expect("some machine kept a value")
    }

    /// Runs a proposal; the change sees the current value, and whether it is known to be committed.
    fn run_proposal(
        &mut self,
        ballots: &mut BallotSource,
        change: impl Fn(&History, bool) -> History,
    ) -> Option<Versioned<History>> {
        let base = self.known();
        ballots.observe(base.ballot);
        let (mut proposal, mut requests) = Proposal::start(ballots.next_ballot(), base);
        while let Some(Request { to, request }) = self.pick(&mut requests) {
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

    fn pick(&mut self, requests: &mut Vec<Request>) -> Option<Request> {
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

/// The change that is interrupted.
#[derive(Clone, Copy)]
enum Change {
    Plain,
    Add,
    Remove,
    Replace,
}

impl Change {
    fn apply(self, current: &History) -> History {
        let present = current.acceptors();
        match self {
            Self::Plain => current.with_change(1),
            Self::Add => current.with_acceptors(1, with_member(present, member_with_disk(3, 4))),
            Self::Remove => current.with_acceptors(1, without_member(present, Incarnation(4))),
            Self::Replace => current
                .with_acceptors(1, with_member_replaced(present, Incarnation(2), member_with_disk(3, 4))),
        }
    }
}

/// The members with the new disk of that machine in place of its old one.
fn with_new_disk(present: &[Member], machine: usize) -> Vec<Member> {
    let others = without_member(present, Incarnation(machine as u64 + 1));
    with_member(&others, member_with_disk(machine, NEW_DISK))
}

#[parameterized(
    plain = { &[0, 1, 2], Change::Plain },
    plain_of_five = { &[0, 1, 2, 3, 4], Change::Plain },
    added = { &[0, 1, 2], Change::Add },
    removed = { &[0, 1, 2, 3], Change::Remove },
    replaced = { &[0, 1, 2], Change::Replace },
    removed_of_five = { &[0, 1, 2, 3, 4], Change::Remove },
)]
fn given_an_interrupted_change_when_a_disk_is_lost_then_the_machine_joins_again(
    first_acceptors: &[usize],
    change: Change,
) {
    for seed in 0..40 {
        for request_budget in 0..=18 {
            for lost in 0..first_acceptors.len() {
                recover(seed, request_budget, lost, first_acceptors, change);
            }
        }
    }
}

fn recover(seed: u64, request_budget: usize, lost: usize, first_acceptors: &[usize], change: Change) {
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
            assert!(acknowledged.value.is_prefix_of(&committed.value), "{context}");
        }
        let present = committed.value.acceptors();
        if same_members(present, &with_new_disk(present, lost)) {
            return;
        }
    }
    panic!("{context}: the machine did not join again");
}
