//! Checks with one round of reads that a known committed value is the newest (read repair).

use std::collections::HashMap;

use crate::quorum::majority;
use crate::{
    AcceptorReply, AcceptorRequest, AddressedRequest, Ballot, Incarnation, Member, RegisterValue,
    ReplyOutcome, Versioned,
};

/// What a confirmation has found after a reply.
#[derive(Clone, Debug)]
pub enum ConfirmationStatus<V> {
    /// More replies are needed.
    Pending,
    /// Nothing newer was committed when the confirmation started.
    Confirmed,
    /// This newer value is committed: adopt it, and confirm it in turn.
    Superseded(Versioned<V>),
    /// A majority has replied, and a value with this newer ballot was accepted somewhere. It may or may not be
    /// committed. If that does not change, a [`Proposal`](crate::Proposal) that changes nothing decides it.
    Undecided(Ballot),
}

/// One round of reads at the acceptors of a known committed value.
#[derive(Clone, Debug)]
pub struct Confirmation<V> {
    /// The value to confirm; it is committed.
    known: Versioned<V>,
    /// The last reply of each acceptor of `known`.
    replies: HashMap<Incarnation, AcceptorBallots>,
}

/// The ballots of one acceptor's values.
#[derive(Clone, Copy, Debug)]
struct AcceptorBallots {
    accepted: Option<Ballot>,
    committed: Option<Ballot>,
}

impl<V: RegisterValue> Confirmation<V> {
    /// Starts to confirm `known`, which must be committed, and returns the requests to send.
    pub fn start(known: Versioned<V>) -> (Self, Vec<AddressedRequest<V>>) {
        let request = AcceptorRequest::ReadNewer(known.ballot);
        let acceptors = known.value.acceptors().iter();
        let requests = acceptors
            .map(|member| AddressedRequest { to: member.clone(), request: request.clone() })
            .collect();
        (Self { known, replies: HashMap::new() }, requests)
    }

    /// The value that is being confirmed.
    pub fn known(&self) -> &Versioned<V> {
        &self.known
    }

    /// Handles the reply of `from` to a request of this confirmation.
    ///
    /// Replies of another disk at the address of `from`, and of machines that are no acceptors, do not count.
    pub fn on_reply(&mut self, from: &Member, reply: AcceptorReply<V>) -> ConfirmationStatus<V> {
        if from.incarnation != reply.incarnation || !self.is_acceptor(reply.incarnation) {
            return ConfirmationStatus::Pending;
        }
        let (ballots, committed) = match reply.outcome {
            ReplyOutcome::Current { accepted, committed } => {
                let ballots = AcceptorBallots {
                    accepted: accepted.map(|accepted| accepted.ballot),
                    committed: committed.as_ref().map(|committed| committed.ballot),
                };
                (ballots, committed)
            }
            ReplyOutcome::NothingNewer { accepted, committed } => {
                (AcceptorBallots { accepted, committed }, None)
            }
            _ => return ConfirmationStatus::Pending,
        };
        self.replies.insert(reply.incarnation, ballots);
        match committed {
            Some(committed) if committed.ballot > self.known.ballot => {
                ConfirmationStatus::Superseded(committed)
            }
            _ => self.status(),
        }
    }

    /// Requests that bring acceptors up to date which have replied and do not know the committed value yet.
    pub fn catch_up_requests(&self) -> Vec<AddressedRequest<V>> {
        let acceptors = self.known.value.acceptors().iter();
        let lagging = acceptors.filter(|member| {
            let reply = self.replies.get(&member.incarnation);
            reply.is_some_and(|ballots| ballots.committed < Some(self.known.ballot))
        });
        let learn = || AcceptorRequest::Learn(self.known.clone());
        lagging.map(|member| AddressedRequest { to: member.clone(), request: learn() }).collect()
    }

    fn is_acceptor(&self, incarnation: Incarnation) -> bool {
        self.known.value.acceptors().iter().any(|member| member.incarnation == incarnation)
    }

    /// A committed successor was accepted by a majority of these acceptors, which shares a member with each of their
    /// majorities. So a majority that has accepted nothing newer confirms, whatever the others have accepted.
    fn status(&self) -> ConfirmationStatus<V> {
        let majority = majority(self.known.value.acceptors().len());
        let known = Some(self.known.ballot);
        let without_newer = self.replies.values().filter(|ballots| ballots.accepted <= known).count();
        if without_newer >= majority {
            return ConfirmationStatus::Confirmed;
        }
        let newest = self.replies.values().filter_map(|ballots| ballots.accepted).max();
        match newest {
            Some(newest) if self.replies.len() >= majority && newest > self.known.ballot => {
                ConfirmationStatus::Undecided(newest)
            }
            _ => ConfirmationStatus::Pending,
        }
    }
}
