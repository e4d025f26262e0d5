//! Batch jobs of trainers, as state machines without I/O: the JSON documents, the replicated log of each job,
//! and the order in which items are started.
//!
//! - [`Job`] and [`ItemResult`] are the JSON documents that trainers exchange with the system. [`JobOutline`] is what
//!   stays in memory of a job while its items run.
//! - [`Replicas`] contains one store's replicas of the logs of all jobs. [`Ownership`] replicates the log of
//!   one job from the store that owns the job. The `store-plane` crate connects both with the journal and
//!   with other stores.
//! - [`JobSchedule`] selects the next item of one job; [`Precedence`] orders the next items of several jobs.

mod job;
mod outline;
mod replication;
mod schedule;

pub use job::{find_item_body, Item, ItemCondition, ItemId, ItemResult, Job, JobError, JobId, RewardRequest};
pub use outline::{ItemChanged, ItemOutline, JobOutline};
pub use replication::{
    Entry, EntryKind, LoadError, LogEntry, Ownership, OwnershipPhase, OwnershipTerm, Record, ReplicaLog,
    ReplicaReply, ReplicaRequest, ReplicaSet, Replicas, StoreId, StoredEntry, SubmittedJob,
};
pub use schedule::{ItemCandidate, ItemIndex, ItemPhase, JobForecast, JobSchedule, Precedence, Urgency};
