//! A replicated compare-and-swap register without log or leader (CASPaxos).
//!
//! Pure state machines: an [`Acceptor`] answers requests and says when its state must be durable before the
//! reply leaves; a [`Proposal`] drives one change in two quorum rounds; a [`Confirmation`] checks that a known
//! committed value is the newest. None of them has I/O, clock or threads.
//!
//! # Why a change of the acceptors is safe
//!
//! The acceptors change only on top of a value that is known to be committed: one is added, removed, or replaced by
//! another at a time. A value with other
//! acceptors than its predecessor names those too ([`Versioned::previous`]), and is committed when a majority of
//! both sets has accepted it. Who reads a value that is not known to be committed needs promises of both
//! majorities, and proposes nothing but a value with the same two sets in its place; the set before is needed no more
//! by who knows that the change is committed ([`Versioned::predecessor`]). So a majority of the acceptors
//! of each committed value has accepted its successor; a proposer that starts from any committed value sees the
//! successor, or something newer, and follows the chain to its end.

mod acceptor;
mod ballots;
mod confirmation;
mod members;
mod proposal;
mod types;

pub use acceptor::{Acceptor, AcceptorState, Handled};
pub use ballots::BallotSource;
pub use confirmation::{Confirmation, Verdict};
pub use members::{can_change, next_members, same_members, with_member, with_replaced, without_member};
pub use proposal::{Proposal, ProposalStep};
pub use types::{
    AcceptorReply, AcceptorRequest, Ballot, Incarnation, Member, RegisterValue, ReplyOutcome, Versioned,
};
