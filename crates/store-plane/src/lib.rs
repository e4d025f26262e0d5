//! Batch jobs on the store machines: replication, running items, results.

mod replication;
pub mod runner;

pub use replication::{
    copies_of, Appended, BodyOutcome, Deposed, EndOutcome, JobClient, JobState, JobStore, JournalFailed,
    Limits, MovedReply, OwnedJob, Page, ReadOutcome, RecordJournal, SubmitOutcome, MOVED_PATH,
};
