//! Batch jobs of trainers: their types, the replicated log that keeps them, and the order of their items.

mod job;
mod log;
mod ownership;
mod replica;
mod schedule;

pub use job::{Item, ItemCondition, ItemId, ItemResult, Job, JobError, JobId, RewardRequest};
pub use log::{Ballot, Entry, Record, StoreId, SubmittedJob};
pub use ownership::{Ownership, OwnershipPhase, ReplicaSet};
pub use replica::{Replica, ReplicaLog, ReplicaReply, ReplicaRequest};
pub use schedule::{ItemCandidate, ItemIndex, ItemPhase, JobOrder, Outlook, Precedence, Urgency};
