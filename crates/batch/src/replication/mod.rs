//! The replicated log of a batch job: the replicas on stores, the requests of an owner, and the terms that
//! decide between owners.
//!
//! The protocol is Multi-Paxos with one log for each batch job. A store that claims a job uses an
//! [`OwnershipTerm`] above all that it has seen, collects promises from a majority of the job's
//! [`ReplicaSet`], adopts the most advanced log among theirs and appends to it. An entry is committed once a
//! majority has accepted it under the owner's term.

mod log;
mod log_entry;
mod log_fetch;
mod messages;
mod ownership;
mod peer_progress;
mod record;
mod replica_log;
mod replica_set;
mod replicas;
mod staged_entries;
mod term;

pub use log::{Entry, SubmittedJob};
pub use log_entry::{EntryKind, LoadError, LogEntry, StoredEntry};
pub use messages::{ReplicaReply, ReplicaRequest};
pub use ownership::{Ownership, OwnershipPhase};
pub use record::Record;
pub use replica_log::ReplicaLog;
pub use replica_set::ReplicaSet;
pub use replicas::Replicas;
pub use term::{OwnershipTerm, StoreId};
