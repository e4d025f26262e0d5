//! A leader lease granted by a majority.
//!
//! The crate contains only the protocol, as state machines without I/O. The caller reads the time from a
//! monotonic clock and passes it in, as the duration since an arbitrary start:
//!
//! - a [`Grantor`] grants the lease to one holder at a time;
//! - a [`Candidate`] holds the lease once a majority has granted it, until shortly before the first of these
//!   grants can expire.
//!
//! The control plane runs a grantor beside each acceptor of the register and a candidate in each of its
//! nodes.
//!
//! # Changes of the grantors
//!
//! The grantors of a round are the acceptors of the register at its start. Any process may change the
//! acceptors at any time, as often as the register allows. So after some changes, a majority of the new set
//! and a majority of the old set need not share a grantor that still has its grant. Three rules ensure that
//! there is at most one holder:
//!
//! - A grantor is identified by the incarnation of its disk, and grants only requests that name this
//!   incarnation. A machine that lost its disk no longer has the sets of grantors that it had observed, so
//!   its vote must not count as a vote of the former incarnation.
//! - A grantor rejects requests with an older set than the newest one that it has observed. It observes a set
//!   before its acceptor replies that it has accepted the set ([`Grantor::observe`]), and a set is committed
//!   only when a majority of the previous set has accepted it. So after the commit no candidate can get
//!   grants from a majority of the older set, and a lease that was won from the older set expires within one
//!   TTL.
//! - A candidate that holds no lease wins only if one of the grantors has known for one TTL that the set of
//!   the request is committed ([`Grantor::learn`], [`LeaseReply::Granted`]), or if the set is the first one
//!   ([`Candidate::set_bootstrap_grantors`]). A holder may renew with a new set at once: as long as its lease
//!   lasts, no other candidate can have won with that set.

mod candidate;
mod grantor;
mod messages;
mod round;

pub use candidate::{Candidate, CandidateAction};
pub use grantor::Grantor;
pub use messages::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
