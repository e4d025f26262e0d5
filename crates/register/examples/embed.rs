//! The register without the daemons: three acceptors in one process, one change, one confirmation.
//!
//! A real program keeps each acceptor on its own machine. It writes [`Acceptor::state`] to a disk and syncs it before
//! a reply with `must_persist` leaves, and it carries requests and replies over a network.

use std::collections::VecDeque;
use std::sync::Arc;

use register::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, BallotSource, Confirmation, Incarnation,
    Member, Proposal, ProposalStep, RegisterValue, Verdict, Versioned,
};

/// What the register holds. A value names its own acceptors.
#[derive(Clone, Debug)]
struct Settings {
    acceptors: Vec<Member>,
    text: String,
}

impl RegisterValue for Settings {
    fn members(&self) -> &[Member] {
        &self.acceptors
    }
}

type Request = (Member, AcceptorRequest<Settings>);

/// The acceptors, in place of a network and disks.
struct Cluster {
    acceptors: Vec<(Incarnation, Acceptor<Settings>)>,
}

impl Cluster {
    /// Acceptors on fresh disks that have taken the first value.
    fn start(first: &Versioned<Settings>) -> Self {
        let start = |member: &Member| {
            let mut acceptor = Acceptor::new(AcceptorState::empty(member.incarnation));
            acceptor.initialise(first.clone());
            (member.incarnation, acceptor)
        };
        Self { acceptors: first.value.acceptors.iter().map(start).collect() }
    }

    /// Lets one acceptor answer; `None` if nobody has that disk.
    fn call(&mut self, (member, request): Request) -> Option<AcceptorReply<Settings>> {
        let found = self.acceptors.iter_mut().find(|(incarnation, _)| *incarnation == member.incarnation);
        let handled = found?.1.handle(request);
        if handled.must_persist {
            // Here the state goes to the disk. Without a sync there is no reply.
        }
        Some(handled.reply)
    }
}

/// Changes the text, in two quorum rounds. `None` when a majority is missing or another proposer was first: start
/// again under a higher ballot.
fn change(
    cluster: &mut Cluster,
    ballots: &mut BallotSource,
    known: &Versioned<Settings>,
    text: &str,
) -> Option<Versioned<Settings>> {
    ballots.observe(known.ballot);
    let (mut proposal, requests) = Proposal::start(ballots.next_ballot(), known.clone());
    let mut requests = VecDeque::from(requests);
    while let Some(request) = requests.pop_front() {
        let from = request.0.clone();
        let Some(reply) = cluster.call(request) else { continue };
        match proposal.on_reply(&from, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(more) => requests.extend(more),
            ProposalStep::Read(current) => {
                let next = Settings { text: text.to_owned(), ..Settings::clone(&current.value) };
                requests.extend(proposal.propose(next));
            }
            ProposalStep::Committed(committed) => {
                for announcement in proposal.announcements() {
                    cluster.call(announcement);
                }
                return Some(committed);
            }
            ProposalStep::Preempted(higher) => {
                ballots.observe(higher);
                return None;
            }
        }
    }
    None
}

/// Whether a majority knows of nothing newer.
fn is_newest(cluster: &mut Cluster, known: &Versioned<Settings>) -> bool {
    let (mut confirmation, requests) = Confirmation::start(known.clone());
    requests.into_iter().any(|request| {
        let from = request.0.clone();
        let reply = cluster.call(request);
        reply.is_some_and(|reply| matches!(confirmation.on_reply(&from, reply), Verdict::Confirmed))
    })
}

fn main() {
    let member = |number: u64| Member {
        name: format!("machine-{number}"),
        incarnation: Incarnation(fastrand::u64(..)),
        address: format!("192.0.2.{number}:7660"),
    };
    let acceptors = (1..=3).map(member).collect();
    let first = Settings { acceptors, text: "first".to_owned() };
    let first = Versioned::new(Ballot { round: 1, proposer: 0 }, Arc::new(first));

    let mut cluster = Cluster::start(&first);
    let mut ballots = BallotSource::new(fastrand::u64(..));
    match change(&mut cluster, &mut ballots, &first, "second") {
        Some(committed) => {
            let confirmed = is_newest(&mut cluster, &committed);
            println!("{:?} is committed, confirmed: {confirmed}", committed.value.text);
        }
        None => println!("no majority, or another proposer was first"),
    }
}
