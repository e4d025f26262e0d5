//! A change is broken off at any point, and one machine loses its disk: the others settle what was begun, and the
//! machine becomes an acceptor again.

mod common;

use common::{member_of, members, versioned, History, Request};
use fastrand::Rng;
use register::{
    next_members, same_members, with_member, with_replaced, without_member, Acceptor, AcceptorState,
    BallotSource, Incarnation, Member, Proposal, ProposalStep, RegisterValue, Versioned,
};
use yare::parameterized;

/// Proposals that a recovery may take.
const PROPOSALS: usize = 12;
/// Incarnation of the new disk.
const NEW_DISK: u64 = 100;

/// Machines that answer at once, as long as requests are let through.
struct Cluster {
    random: Rng,
    acceptors: Vec<Acceptor<History>>,
    /// Requests that are still let through.
    budget: usize,
}

impl Cluster {
    fn new(seed: u64, machines: usize, first: &Versioned<History>) -> Self {
        let acceptors = (0..machines as u64).map(|station| {
            let mut acceptor = Acceptor::new(AcceptorState::empty(Incarnation(station + 1)));
            if first.value.members().iter().any(|member| member.incarnation == Incarnation(station + 1)) {
                acceptor.initialise(first.clone());
            }
            acceptor
        });
        Self { random: Rng::with_seed(seed), acceptors: acceptors.collect(), budget: usize::MAX }
    }

    fn lose_disk(&mut self, station: usize) {
        self.acceptors[station] = Acceptor::new(AcceptorState::empty(Incarnation(NEW_DISK)));
    }

    /// The newest value that some machine knows to be committed.
    fn known(&self) -> Versioned<History> {
        let committed = self.acceptors.iter().filter_map(|acceptor| acceptor.state().committed.clone());
        committed.max_by_key(|committed| committed.ballot).expect("some machine kept a value")
    }

    /// Runs a proposal; the change sees the current value, and whether it is settled.
    fn run(
        &mut self,
        ballots: &mut BallotSource,
        change: impl Fn(&History, bool) -> History,
    ) -> Option<Versioned<History>> {
        let base = self.known();
        ballots.observe(base.ballot);
        let (mut proposal, mut requests) = Proposal::start(ballots.next_ballot(), base);
        while let Some((member, request)) = self.pick(&mut requests) {
            let station: usize = member.name.trim_start_matches("station-").parse().expect("a number");
            let reply = self.acceptors[station].handle(request).reply;
            match proposal.on_reply(&member, reply) {
                ProposalStep::Wait => {}
                ProposalStep::Send(more) => requests.extend(more),
                ProposalStep::Read(current) => {
                    let value = change(&current.value, proposal.is_known_committed());
                    requests.extend(proposal.propose(value));
                }
                ProposalStep::Preempted(ballot) => {
                    ballots.observe(ballot);
                    return None;
                }
                ProposalStep::Committed(value) => {
                    self.announce(&proposal);
                    return Some(value);
                }
            }
        }
        None
    }

    fn pick(&mut self, requests: &mut Vec<Request>) -> Option<Request> {
        if requests.is_empty() || self.budget == 0 {
            return None;
        }
        self.budget -= 1;
        Some(requests.swap_remove(self.random.usize(..requests.len())))
    }

    fn announce(&mut self, proposal: &Proposal<History>) {
        for (member, request) in proposal.announcements() {
            if self.budget == 0 {
                return;
            }
            self.budget -= 1;
            let station: usize = member.name.trim_start_matches("station-").parse().expect("a number");
            self.acceptors[station].handle(request);
        }
    }
}

/// The change that is broken off.
#[derive(Clone, Copy)]
enum Change {
    Plain,
    Add,
    Remove,
    Replace,
}

impl Change {
    fn apply(self, current: &History) -> History {
        let present = current.members();
        match self {
            Self::Plain => current.with_change(1),
            Self::Add => current.with_members(1, with_member(present, member_of(3, 4))),
            Self::Remove => current.with_members(1, without_member(present, Incarnation(4))),
            Self::Replace => current.with_members(1, with_replaced(present, Incarnation(2), member_of(3, 4))),
        }
    }
}

/// The members with the new disk of that machine in place of its old one.
fn with_new_disk(present: &[Member], station: usize) -> Vec<Member> {
    let others = without_member(present, Incarnation(station as u64 + 1));
    with_member(&others, member_of(station, NEW_DISK))
}

#[parameterized(
    plain = { &[0, 1, 2], Change::Plain },
    plain_of_five = { &[0, 1, 2, 3, 4], Change::Plain },
    added = { &[0, 1, 2], Change::Add },
    removed = { &[0, 1, 2, 3], Change::Remove },
    replaced = { &[0, 1, 2], Change::Replace },
    removed_of_five = { &[0, 1, 2, 3, 4], Change::Remove },
)]
fn given_a_broken_off_change_when_a_disk_is_lost_then_the_machine_joins_again(
    first_members: &[usize],
    change: Change,
) {
    for seed in 0..40 {
        for budget in 0..=18 {
            for lost in 0..first_members.len() {
                recover(seed, budget, lost, first_members, change);
            }
        }
    }
}

fn recover(seed: u64, budget: usize, lost: usize, first_members: &[usize], change: Change) {
    let first = versioned(0, &[], members(first_members));
    let mut cluster = Cluster::new(seed, 5, &first);
    cluster.budget = budget;
    let acknowledged = cluster.run(&mut BallotSource::new(1), |current, _| change.apply(current));
    cluster.budget = usize::MAX;
    cluster.lose_disk(lost);
    let mut ballots = BallotSource::new(2);
    let context = format!("seed {seed}, budget {budget}, lost {lost}");
    for _ in 0..PROPOSALS {
        let committed = cluster.run(&mut ballots, |current, is_settled| {
            let wanted = with_new_disk(current.members(), lost);
            match next_members(current.members(), &wanted) {
                Some(step) if is_settled => current.with_members(2, step),
                _ => current.clone(),
            }
        });
        let Some(committed) = committed else {
            continue;
        };
        if let Some(acknowledged) = &acknowledged {
            assert!(acknowledged.value.is_prefix_of(&committed.value), "{context}");
        }
        let present = committed.value.members();
        if same_members(present, &with_new_disk(present, lost)) {
            return;
        }
    }
    panic!("{context}: the machine did not join again");
}
