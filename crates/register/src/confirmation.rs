//! Checks with one round of reads that a committed value is the newest one, and brings lagging acceptors up
//! to date (read repair).

use std::collections::HashMap;

use crate::quorum::majority_size;
use crate::{
    AcceptorReply, AcceptorRequest, AddressedRequest, Ballot, Incarnation, Member, RegisterValue,
    ReplyOutcome, Versioned,
};

/// Result of a confirmation, judged by the replies received so far.
#[derive(Clone, Debug)]
pub enum ConfirmationStatus<V> {
    /// The replies do not suffice yet, or the last reply does not count. Wait for more.
    Pending,
    /// No newer value was committed when the confirmation started.
    Confirmed,
    /// A newer value, given here, is committed. Adopt it, and start a confirmation of that value.
    Superseded(Versioned<V>),
    /// A majority has replied, and at least one acceptor has accepted a value with this newer ballot, which
    /// may or may not be committed. If further replies do not show whether it is, make a
    /// [`Proposal`](crate::Proposal) that proposes the value it reads unchanged.
    Undecided(Ballot),
}

/// One round of reads at the acceptors of a committed value, which shows whether a newer value is committed.
#[derive(Clone, Debug)]
pub struct Confirmation<V> {
    /// Value to confirm, which is committed.
    known: Versioned<V>,
    /// Ballots from the last reply of each acceptor of `known`.
    replies: HashMap<Incarnation, AcceptorBallots>,
}

/// Ballots of the accepted and the committed value of one acceptor; `None` where it has no such value.
#[derive(Clone, Copy, Debug)]
struct AcceptorBallots {
    accepted: Option<Ballot>,
    committed: Option<Ballot>,
}

impl<V: RegisterValue> Confirmation<V> {
    /// Starts a confirmation of `known`, which must be committed, and returns the requests to send.
    pub fn start(known: Versioned<V>) -> (Self, Vec<AddressedRequest<V>>) {
        let request = AcceptorRequest::ReadNewer(known.ballot);
        let acceptors = known.value.acceptors().iter();
        let requests = acceptors
            .map(|member| AddressedRequest { to: member.clone(), request: request.clone() })
            .collect();
        (Self { known, replies: HashMap::new() }, requests)
    }

    /// Returns the value that is being confirmed.
    pub fn known(&self) -> &Versioned<V> {
        &self.known
    }

    /// Handles the reply of `from` to a request of this confirmation.
    ///
    /// A reply does not count if it comes from another disk at the address of `from`, or from a machine that
    /// is not an acceptor of the value.
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

    /// Returns learn requests for the acceptors that have replied and have not recorded the value as
    /// committed.
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

    /// Derives the status from the replies so far.
    ///
    /// A committed successor of the value was accepted by a majority of the value's acceptors, and any two
    /// majorities share a member. So a majority that has accepted nothing newer confirms the value, whatever
    /// the remaining acceptors have accepted.
    fn status(&self) -> ConfirmationStatus<V> {
        let majority = majority_size(self.known.value.acceptors().len());
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
