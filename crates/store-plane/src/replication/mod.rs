//! Batch jobs kept on several stores: the replication protocol's I/O, ownership, and the calls of traffic nodes.

mod answers;
mod client;
mod copies;
mod heartbeat;
mod journal;
mod messages;
mod owned;
mod owner;
mod resign;
mod state;
mod store;
mod tend;
mod writer;

pub use client::{BodyOutcome, EndOutcome, JobClient, ReadOutcome, SubmitOutcome};
pub use copies::copies_of;
pub use journal::{Appended, JournalFailed, RecordJournal};
pub use messages::{MovedReply, Page, MOVED_PATH};
pub use owned::{Deposed, JobState, OwnedJob};
pub use store::{JobStore, Limits};

#[cfg(test)]
#[path = "../../tests/golden/messages.rs"]
mod golden;
