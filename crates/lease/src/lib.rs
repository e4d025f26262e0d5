//! A leader lease granted by a majority.
//!
//! Pure state machines on a steady clock that the caller hands in. A [`Grantor`] lends itself to one holder at a
//! time; a [`Candidate`] that is granted by a majority holds the lease until shortly before the first of those
//! grants can end.
//!
//! # Changes of the grantors
//!
//! The grantors are the acceptors of the register at the start of a round. They may change at any time, by any
//! process, and as often as the register allows; majorities of the sets before and after need not meet in a grantor
//! that remembers. Three rules keep the holder single:
//!
//! - A grantor is known by the incarnation of its disk and grants only to candidates that ask for that one. A machine
//!   that lost its disk has forgotten what its former self took note of, and must not vote for it.
//! - A grantor refuses candidates that know an older set than it does. It takes note of a set before its acceptor
//!   accepts it ([`Grantor::observe`]), and a set is committed only when a majority of the set before has accepted
//!   it. So from the commit on nobody is granted a majority of the older set: a lease that was won with it ends
//!   within one ttl after the commit.
//! - A candidate that holds no lease wins only when somebody has known for one ttl that its set is committed
//!   ([`Grantor::learn`], [`LeaseReply::Granted`]), or where there was no set before it
//!   ([`Candidate::set_first_grantors`]). A holder renews with a new set at once: as long as its lease
//!   lasts, nobody else can have won with that set.

mod candidate;
mod grantor;
mod messages;

pub use candidate::{Candidate, CandidateAction};
pub use grantor::Grantor;
pub use messages::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
