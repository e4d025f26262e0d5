//! Replication of batch jobs on the stores.
//!
//! Each batch job is a log of entries ([`batch::Entry`]) that is replicated on a few stores. One of them owns
//! the batch job: it appends entries, answers reads, and passes the batch job to the runner. The protocol is
//! implemented as a state machine in the crate `batch` ([`batch::Replicas`], [`batch::Ownership`]); this
//! module does its I/O:
//!
//! - [`placement`] determines which stores keep a batch job, in the order in which they take it over.
//! - [`state`] is the state of a store in memory, behind one mutex; [`node`] holds it together with the
//!   store's I/O.
//! - [`ownership`] claims batch jobs and replicates their logs; [`replicate`] executes the requests of
//!   owners. [`runner_start`] passes owned batch jobs to the runner, which reads their items through
//!   [`submitted_items`].
//! - [`writer`] makes records durable in the [`journal`]; no reply is sent before its records are durable.
//!   [`recovery`] reads them at the start. The contents of durable entries are on the disk, where
//!   [`record_layout`] finds them and [`loading`] reads them, and in a bounded cache.
//!   [`journal_space`] decides what may still be written.
//! - [`memory_budgets`] bounds what is in memory at once and grows with the batch jobs.
//! - [`heartbeat`], [`maintenance`] and [`handover`] detect failed owners and move batch jobs between stores.
//! - [`server`] answers the calls of other processes, [`client`] makes the calls of traffic nodes; both use
//!   [`messages`].
//! - [`store`] is the public handle with which the process opens and runs a store.

mod client;
mod handover;
mod heartbeat;
mod journal;
mod journal_space;
mod loading;
mod log_entries;
mod maintenance;
mod memory_budgets;
mod messages;
mod node;
mod owned_job;
mod ownership;
mod placement;
mod record_layout;
mod recovery;
mod replicate;
mod runner_start;
mod server;
mod state;
mod store;
mod store_limits;
mod submitted_items;
mod writer;

pub use client::{BodyOutcome, EndOutcome, JobClient, ReadOutcome, SubmitOutcome};
pub use journal::{Appended, JournalFailed, RecordJournal};
pub use messages::{MigrationStatus, ResultPage, MIGRATION_STATUS_PATH};
pub use owned_job::{JobState, OwnedJob, OwnershipLost, ReplicatedLog};
pub use placement::replicas_of;
pub use recovery::StoreRecovery;
pub use store::JobStore;
pub use store_limits::StoreLimits;

#[cfg(test)]
#[path = "../../tests/golden/messages.rs"]
mod golden;
