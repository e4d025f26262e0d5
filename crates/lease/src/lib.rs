//! A leader lease granted by a majority.
//!
//! Pure state machines on a steady clock that the caller hands in. A [`Grantor`] lends itself to one holder at a
//! time; a [`Candidate`] that is granted by a majority holds the lease until shortly before the first of those
//! grants can end.
//!
//! # Changes of the grantors
//!
//! The grantors are the acceptors of the register at the start of a round. Majorities of two sets meet if the
//! sets differ by one grantor at most. So the acceptors change at most once in a ttl, and a grantor refuses
//! candidates that know an older set than it does ([`Grantor::observe`]): a process that was frozen or cut off
//! can't win with grantors that were removed meanwhile.

mod candidate;
mod grantor;
mod messages;

pub use candidate::{Action, Candidate};
pub use grantor::Grantor;
pub use messages::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
