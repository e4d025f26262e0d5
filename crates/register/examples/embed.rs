//! Uses the register without the daemons: three acceptors in one process, one change and one confirmation.
//!
//! A real program keeps each acceptor on its own machine. It writes [`Acceptor::state`] to a disk and syncs
//! it before a reply with `must_persist` is sent, and it transports requests and replies over a network.

use std::collections::VecDeque;
use std::sync::Arc;

use register::{
    Acceptor, AcceptorReply, AcceptorState, AddressedRequest, Ballot, BallotSource, Confirmation,
    ConfirmationStatus, Incarnation, Member, Proposal, ProposalStep, RegisterValue, Versioned,
};

/// Value of the register: a text and the acceptors that are responsible for it.
#[derive(Clone, Debug)]
struct ExampleValue {
    acceptors: Vec<Member>,
    text: String,
}

impl RegisterValue for ExampleValue {
    fn acceptors(&self) -> &[Member] {
        &self.acceptors
    }
}

/// Acceptors in memory, which are called directly and write to no disk.
struct Cluster {
    acceptors: Vec<(Incarnation, Acceptor<ExampleValue>)>,
}

impl Cluster {
    /// Creates the acceptors of `first` with empty state, and records `first` at each.
    fn start(first: &Versioned<ExampleValue>) -> Self {
        let start = |member: &Member| {
            let mut acceptor = Acceptor::new(AcceptorState::empty(member.incarnation));
            acceptor.initialize(first.clone());
            (member.incarnation, acceptor)
        };
        Self { acceptors: first.value.acceptors.iter().map(start).collect() }
    }

    /// Passes a request to its acceptor and returns the reply; `None` if no acceptor has that incarnation.
    fn call(&mut self, request: AddressedRequest<ExampleValue>) -> Option<AcceptorReply<ExampleValue>> {
        let acceptor =
            self.acceptors.iter_mut().find(|(incarnation, _)| *incarnation == request.to.incarnation);
        let pending = acceptor?.1.handle(request.request);
        if pending.must_persist {
            // Write `Acceptor::state` to the disk and sync it here. If that fails, send no reply.
        }
        Some(pending.reply)
    }
}

/// Changes the text in two quorum rounds, and returns the committed value. Returns `None` if no majority
/// replies or if another proposer uses a higher ballot. The caller may then retry under a new ballot.
fn change_text(
    cluster: &mut Cluster,
    ballots: &mut BallotSource,
    known: &Versioned<ExampleValue>,
    text: &str,
) -> Option<Versioned<ExampleValue>> {
    ballots.observe(known.ballot);
    let (mut proposal, requests) = Proposal::start(ballots.next_ballot(), known.clone());
    let mut requests = VecDeque::from(requests);
    while let Some(request) = requests.pop_front() {
        let from = request.to.clone();
        let Some(reply) = cluster.call(request) else { continue };
        match proposal.on_reply(&from, reply) {
            ProposalStep::Wait => {}
            ProposalStep::Send(more) => requests.extend(more),
            ProposalStep::Prepared(current) => {
                let next = ExampleValue { text: text.to_owned(), ..ExampleValue::clone(&current.value) };
                requests.extend(proposal.propose(next));
            }
            ProposalStep::Committed(committed) => {
                for request in proposal.learn_requests() {
                    cluster.call(request);
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

/// Returns whether a majority confirms that no newer value than `known` is committed.
fn is_newest(cluster: &mut Cluster, known: &Versioned<ExampleValue>) -> bool {
    let (mut confirmation, requests) = Confirmation::start(known.clone());
    requests.into_iter().any(|request| {
        let from = request.to.clone();
        let reply = cluster.call(request);
        reply
            .is_some_and(|reply| matches!(confirmation.on_reply(&from, reply), ConfirmationStatus::Confirmed))
    })
}

fn main() {
    let member = |number: u64| Member {
        name: format!("machine-{number}"),
        incarnation: Incarnation(fastrand::u64(..)),
        address: format!("192.0.2.{number}:7660"),
    };
    let acceptors = (1..=3).map(member).collect();
    let first = ExampleValue { acceptors, text: "first".to_owned() };
    let first = Versioned::new(Ballot { round: 1, proposer: 0 }, Arc::new(first));

    let mut cluster = Cluster::start(&first);
    let mut ballots = BallotSource::new(fastrand::u64(..));
    match change_text(&mut cluster, &mut ballots, &first, "second") {
        Some(committed) => {
            let confirmed = is_newest(&mut cluster, &committed);
            println!("{:?} is committed, confirmed: {confirmed}", committed.value.text);
        }
        None => println!(
            "the change was not committed: no majority replied, or another proposer used a higher ballot"
        ),
    }
}
