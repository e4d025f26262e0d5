//! Batch jobs of trainers, as state machines without I/O: their documents, the replicated log of each job, and the
//! order in which items are started.
//!
//! - [`Job`] and [`ItemResult`] are the JSON documents that trainers exchange with the system.
//! - [`Replicas`] is what one store keeps of all jobs; [`Ownership`] is the leader's side of the replication of one
//!   job. The `store-plane` crate connects them with its journal and with other stores.
//! - [`JobSchedule`] chooses the next item of one job; [`Precedence`] orders the next items of several jobs.

mod job;
mod replication;
mod schedule;

pub use job::{Item, ItemCondition, ItemId, ItemResult, Job, JobError, JobId, RewardRequest};
pub use replication::{
    Entry, Ownership, OwnershipPhase, OwnershipTerm, Record, ReplicaLog, ReplicaReply, ReplicaRequest,
    ReplicaSet, Replicas, StoreId, SubmittedJob,
};
pub use schedule::{ItemCandidate, ItemIndex, ItemPhase, JobForecast, JobSchedule, Precedence, Urgency};
