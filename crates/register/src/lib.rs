//! A replicated compare-and-swap register without a log or a leader (CASPaxos).
//!
//! The crate contains only the protocol, as state machines without I/O, clocks or threads. The caller
//! transports requests and replies over a network and makes the state of its acceptor durable:
//!
//! - an [`Acceptor`] handles requests, and reports when its state must be durable before the reply is sent;
//! - a [`Proposal`] makes one change in two quorum rounds, prepare and accept;
//! - a [`Confirmation`] checks with one round of reads that a committed value is the newest.
//!
//! `examples/embed.rs` connects these parts within one process. The control plane runs them over HTTP.
//!
//! The terms are those of the paper: Denis Rystsov, "CASPaxos: Replicated State Machines without logs", 2018.
//!
//! # Why changing the acceptors is safe
//!
//! Each value names the acceptors that are responsible for it ([`RegisterValue::acceptors`]). The set of
//! acceptors changes by at most one addition and one removal at a time ([`is_single_step`]), and only on top
//! of a value that is known to be committed.
//!
//! - A value whose acceptors differ from those of its predecessor names the predecessor's acceptors too
//!   ([`Versioned::previous_acceptors`]). It is committed when a majority of both sets has accepted it.
//! - A proposer may read a value that is not known to be committed. It then needs promises from majorities of
//!   both sets, and replaces the value only by a value with the same two sets of acceptors.
//! - Once a proposer has learned that the change is committed, it no longer needs the earlier set
//!   ([`Versioned::predecessor`]).
//!
//! So the successor of a committed value was accepted by a majority of that value's acceptors. A proposer
//! that starts from any committed value reads the successor or a newer value, and repeats this until it
//! reaches the newest value.

mod acceptor;
mod ballot;
mod confirmation;
mod member;
mod messages;
mod proposal;
mod quorum;
mod reconfiguration;
mod value;

pub use acceptor::{Acceptor, AcceptorState, PendingReply};
pub use ballot::{Ballot, BallotSource};
pub use confirmation::{Confirmation, ConfirmationStatus};
pub use member::{Incarnation, Member};
pub use messages::{AcceptorReply, AcceptorRequest, AddressedRequest, ReplyOutcome};
pub use proposal::{Proposal, ProposalStep};
pub use reconfiguration::{
    is_single_step, next_step, same_members, with_member, with_member_replaced, without_member,
};
pub use value::{RegisterValue, Versioned};
