//! Agreement on the control state: the register's acceptor on this machine, and proposals to all acceptors.
//!
//! This module owns the journal of the acceptor, which only [`AcceptorService`] writes, and the ballots of
//! this process, which only [`Proposer`] issues. Other modules change the control state only through
//! [`Proposer::change`], with one of the pure functions of [`state::change`]. The crate `register` implements
//! the protocol itself; this module adds its I/O, timeouts and retries.

mod acceptor_calls;
mod acceptor_journal;
mod acceptor_membership;
mod acceptor_service;
mod confirmation;
mod proposal_attempt;
mod proposer;
mod read_repair;

pub use acceptor_journal::check_acceptor_record;
pub use acceptor_membership::AcceptorMembership;
pub use acceptor_service::AcceptorService;
pub use proposer::{ChangeFailure, Proposer};
pub use read_repair::run_read_repair;
