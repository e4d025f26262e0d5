//! Reconciliation of the members by the leader: replaces failed stores, removes drained ones and adds waiting
//! ones.
//!
//! This module owns the leader's observation of the members, which only [`Reconciler`] writes, by pinging
//! them. The pure function [`state::change::next_reconciliation`] derives the next step from it, which is
//! then proposed to the register.

mod migration_watch;
mod reconciler;

pub use migration_watch::PendingStore;
pub use reconciler::Reconciler;
