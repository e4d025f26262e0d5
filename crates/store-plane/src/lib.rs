//! Batch jobs on the store machines.
//!
//! A [`JobStore`] keeps the replicated logs of batch jobs and owns some of them; it sends each [`OwnedJob`]
//! to the [`runner`], which runs its items at model servers and appends their results to the log. Traffic
//! nodes submit batch jobs and read results through a [`JobClient`].

mod replication;
pub mod runner;

pub use replication::{
    replicas_of, Appended, BodyOutcome, EndOutcome, JobClient, JobState, JobStore, JournalFailed,
    MigrationStatus, OwnedJob, OwnershipLost, ReadOutcome, RecordJournal, ReplicatedLog, ResultPage,
    StoreLimits, StoreRecovery, SubmitOutcome, MIGRATION_STATUS_PATH,
};
