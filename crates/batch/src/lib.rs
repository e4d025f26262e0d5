//! Batch jobs of trainers: their types, the replicated log that keeps them, and the order of their items.

mod job;
mod schedule;

pub use job::{Condition, Item, ItemId, ItemResult, Job, JobError, JobId, RewardRequest};
pub use schedule::{Candidate, ItemIndex, ItemPhase, JobOrder, Precedence, Urgency};
