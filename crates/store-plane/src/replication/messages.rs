//! Messages between stores, and from traffic nodes to stores.
//!
//! The messages are encoded by `bincode`, which encodes by position: the order and the types of fields and
//! variants are part of the protocol between releases, while their names are not. `tests/golden/` contains
//! the encoded forms.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobError, JobId, OwnershipTerm, ReplicaReply, StoreId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Path of the requests of owners and claimants to replicas.
pub(super) const REPLICATE_PATH: &str = "/batch/replicate";
/// Path of heartbeats between stores.
pub(super) const HEARTBEAT_PATH: &str = "/batch/heartbeat";
/// Path of requests to take a batch job over; see [`TakeoverRequest`].
pub(super) const TAKEOVER_PATH: &str = "/batch/take-over";
/// Path of notices that an owner has released a batch job; see [`ReleaseNotice`].
pub(super) const RELEASED_PATH: &str = "/batch/released";
/// Path of submissions by traffic nodes.
pub(super) const SUBMIT_PATH: &str = "/batch/submit";
/// Path of reads of results.
pub(super) const READ_PATH: &str = "/batch/read";
/// Path of reads of the body of an item; the request is the id of the item.
pub(super) const BODY_PATH: &str = "/batch/body";
/// Path of requests to end a batch job; the request is `()`.
pub(super) const END_PATH: &str = "/batch/end";
/// Path at which a store reports its [`MigrationStatus`]; the request is `()`.
pub const MIGRATION_STATUS_PATH: &str = "/batch/moved";

/// A request to one incarnation of a store; another incarnation at the same address rejects it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct AddressedRequest<T> {
    /// The incarnation of the store that may answer.
    pub to: StoreId,
    /// The batch job that the request is about.
    pub job: JobId,
    pub request: T,
}

/// The answer to a [`batch::ReplicaRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ReplicateReply {
    pub reply: ReplicaReply,
    /// Age of the batch job according to the store, in milliseconds; at most the time since its submission.
    pub age_ms: u64,
}

impl ReplicateReply {
    /// Creates a reply with the age of the batch job at the store.
    pub fn new(reply: ReplicaReply, age: Duration) -> Self {
        Self { reply, age_ms: u64::try_from(age.as_millis()).unwrap_or(0) }
    }
}

/// Notice to a replica that the owner has released a batch job and no longer answers reads of it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ReleaseNotice {
    /// The store that has released the batch job.
    pub from: StoreId,
}

/// Request to a store to take a batch job over.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct TakeoverRequest {
    /// The store that sends the request.
    pub from: StoreId,
    /// `true` if the sender owned the batch job and has released it. `false` if the sender has its log but is
    /// no longer one of its replicas.
    pub is_from_owner: bool,
}

/// Report to a store which of the batch jobs that it keeps are owned by the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    /// The incarnation of the store that may answer.
    pub to: StoreId,
    /// The batch jobs that the sender owns and the addressed store keeps. Empty if the heartbeat only checks
    /// whether the store answers.
    pub jobs: Vec<JobHeartbeat>,
}

/// The part of a heartbeat about one batch job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JobHeartbeat {
    pub job: JobId,
    /// The term of the ownership.
    pub term: OwnershipTerm,
    /// Number of entries in the owner's log, committed or not.
    pub length: usize,
    /// The value of [`batch::Ownership::is_established`]: whether everything that earlier owners may have
    /// returned to trainers is committed under this term.
    pub is_established: bool,
}

/// The answers to the parts of a heartbeat, in the same order; `None` for a batch job whose records are not
/// durable yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HeartbeatReply {
    pub replies: Vec<Option<JobHeartbeatReply>>,
}

/// The answer to a [`JobHeartbeat`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum JobHeartbeatReply {
    /// The store has the owner's complete log.
    UpToDate,
    /// Any other state of the store's log.
    Replica(ReplicaReply),
}

/// A batch job as submitted by a trainer, forwarded by a traffic node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Submission {
    /// The `Host` header of the submission.
    pub host: Arc<str>,
    /// The path of the submission.
    pub path: Arc<str>,
    /// The batch job as JSON.
    pub body: Bytes,
    /// Timeout of the caller, in milliseconds from the start of its call.
    pub timeout_ms: u64,
}

/// The answer to a [`Submission`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum SubmitReply {
    /// The batch job is committed.
    Accepted,
    /// The body is not a valid batch job.
    Invalid(JobError),
    /// This call has not sent any part of the batch job to any store.
    NotAccepted,
    /// The batch job may have been accepted, or may still be.
    Unknown,
    /// Another store owns the batch job.
    Redirect(StoreId),
}

/// Request for results. The position of a result is its index among the results in the log, starting at 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ReadRequest {
    /// Position of the first result to return.
    pub after: u64,
    /// Maximum time to wait for a result if there is none yet, in milliseconds.
    pub long_poll_ms: u64,
}

/// Consecutive results of a batch job, starting at the requested position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items of the batch job.
    pub total: u32,
    /// The position after the last result of this page, where the next read starts.
    pub next: u64,
    /// The results as a JSON array, in the order in which they were committed.
    pub deliveries: Bytes,
}

/// The answer of a store about a batch job that it may own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum OwnerReply<T> {
    Success(T),
    NoSuchJob,
    /// The answer could not be determined; the request may be sent again.
    Unknown,
    /// The store with this id owns the batch job, or has its log and can redirect further.
    Redirect(StoreId),
}

/// Progress of a store in migrating its batch jobs to the present store set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MigrationStatus {
    /// The incarnation of the store that reports.
    pub store: StoreId,
    /// The epoch of the newest store set that the store has recorded durably; it rejects all owners of older
    /// epochs.
    pub epoch: u64,
    /// Whether all logs that the store keeps are committed under the present store set.
    pub is_complete: bool,
}
