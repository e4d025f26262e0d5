//! A leader lease granted by a majority.
//!
//! The crate holds the protocol only, as state machines without I/O. Times are read from a monotonic clock by the
//! caller and passed in, as the time since an arbitrary start:
//!
//! - a [`Grantor`] grants the lease to one holder at a time;
//! - a [`Candidate`] that was granted by a majority holds the lease, and stops holding it shortly before the first
//!   of those grants can expire.
//!
//! The control plane runs a grantor beside each acceptor of the register and a candidate in each of its nodes.
//!
//! # Changes of the grantors
//!
//! The grantors are the acceptors of the register at the start of a round. They may change at any time, by any
//! process, and as often as the register allows, so the majorities before and after some changes need not share a
//! grantor that remembers its grant. Three rules keep the holder unique:
//!
//! - A grantor is identified by the incarnation of its disk, and grants only to candidates that ask for that
//!   incarnation. A machine that lost its disk has forgotten the sets of grantors that it had observed, and must not
//!   vote in place of its former self.
//! - A grantor rejects candidates that know an older set than it does. It observes a set before its acceptor accepts
//!   it ([`Grantor::observe`]), and a set is committed only when a majority of the set before has accepted it. So
//!   after the commit nobody is granted a majority of the older set, and a lease that was won with it expires within
//!   one TTL.
//! - A candidate that holds no lease wins only if one of its grantors has known for one TTL that its set is committed
//!   ([`Grantor::learn`], [`LeaseReply::Granted`]), or if there was no set before it
//!   ([`Candidate::set_bootstrap_grantors`]). A holder renews with a new set at once: as long as its lease lasts,
//!   nobody else can have won with that set.

mod candidate;
mod grantor;
mod messages;
mod round;

pub use candidate::{Candidate, CandidateAction};
pub use grantor::Grantor;
pub use messages::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
