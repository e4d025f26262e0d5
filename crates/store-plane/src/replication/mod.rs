//! Batch jobs kept on several stores: the replication protocol's I/O, ownership, and the calls of traffic nodes.

mod answers;
mod client;
mod heartbeat;
mod journal;
mod messages;
mod owned;
mod owner;
mod replicas;
mod resign;
mod state;
mod store;
mod tend;
mod writer;

pub use client::{BodyOutcome, EndOutcome, JobClient, ReadOutcome, SubmitOutcome};
pub use journal::{Appended, JournalFailed, RecordJournal};
pub use messages::{MigrationStatus, ResultPage, MIGRATION_STATUS_PATH};
pub use owned::{JobState, OwnedJob, OwnershipLost};
pub use replicas::replicas_of;
pub use store::{JobStore, StoreLimits};

#[cfg(test)]
#[path = "../../tests/golden/messages.rs"]
mod golden;
