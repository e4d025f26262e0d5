//! Batch jobs on the store machines: replication, running items, results.

mod replication;
pub mod runner;

pub use replication::{
    replicas_of, Appended, BodyOutcome, EndOutcome, JobClient, JobState, JobStore, JournalFailed,
    MigrationStatus, OwnedJob, OwnershipLost, ReadOutcome, RecordJournal, ReplicatedLog, ResultPage,
    StoreLimits, SubmitOutcome, MIGRATION_STATUS_PATH,
};
