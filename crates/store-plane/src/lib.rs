//! Batch jobs on the store machines: replication, running items, results.

mod replication;
pub mod runner;
mod runner_end;
mod runner_job;
pub mod runner_owned;
pub mod runner_ports;
pub mod runner_sender;
mod runner_start;
pub mod runner_texts;

pub use replication::{
    copies_of, Appended, BodyOutcome, Deposed, EndOutcome, JobClient, JobState, JobStore, JournalFailed,
    Limits, MovedReply, OwnedJob, Page, ReadOutcome, RecordJournal, SubmitOutcome, MOVED_PATH,
};
