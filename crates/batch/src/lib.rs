//! Batch jobs of trainers: their types, the replicated log that keeps them, and the order of their items.

mod job;
mod log;
mod ownership;
mod replica;
mod schedule;

pub use job::{Condition, Item, ItemId, ItemResult, Job, JobError, JobId, RewardRequest};
pub use log::{Ballot, Entry, HandedIn, Record, StoreId};
pub use ownership::{Copies, Ownership, Phase};
pub use replica::{Replica, ReplicaLog, ReplicaReply, ReplicaRequest};
pub use schedule::{Candidate, ItemIndex, ItemPhase, JobOrder, Outlook, Precedence, Urgency};
