//! A replicated compare-and-swap register without log or leader (CASPaxos).
//!
//! Pure state machines: an [`Acceptor`] answers requests and says when its state must be durable before the
//! reply leaves; a [`Proposal`] drives one change in two quorum rounds. Neither has I/O, clock or threads.

mod types;

pub use types::{
    AcceptorReply, AcceptorRequest, Ballot, Incarnation, Member, Outcome, RegisterValue, Versioned,
};
