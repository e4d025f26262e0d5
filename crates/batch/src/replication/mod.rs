//! The replicated log of a batch job: what stores keep, what an owner sends them, and which owner wins.
//!
//! The protocol is Multi-Paxos with one log for each batch job. A store that wants to own a job draws an
//! [`OwnershipTerm`], collects promises from a majority of the job's [`ReplicaSet`], adopts the most advanced log
//! among theirs and appends to it. An entry is committed once a majority has it under the owner's term.

mod log;
mod messages;
mod ownership;
mod peer_progress;
mod record;
mod replica_log;
mod replica_set;
mod replicas;
mod term;

pub use log::{Entry, SubmittedJob};
pub use messages::{ReplicaReply, ReplicaRequest};
pub use ownership::{Ownership, OwnershipPhase};
pub use record::Record;
pub use replica_log::ReplicaLog;
pub use replica_set::ReplicaSet;
pub use replicas::Replicas;
pub use term::{OwnershipTerm, StoreId};
