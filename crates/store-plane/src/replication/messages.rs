//! Messages between stores, and from traffic nodes to stores.

use std::sync::Arc;

use batch::{JobError, JobId, OwnershipTerm, ReplicaReply, StoreId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub(super) const REPLICATE_PATH: &str = "/batch/replicate";
pub(super) const HEARTBEAT_PATH: &str = "/batch/heartbeat";
pub(super) const TAKE_OVER_PATH: &str = "/batch/take-over";
pub(super) const SUBMIT_PATH: &str = "/batch/submit";
pub(super) const READ_PATH: &str = "/batch/read";
pub(super) const BODY_PATH: &str = "/batch/body";
pub(super) const END_PATH: &str = "/batch/end";
/// Where a store tells if it has moved its batch jobs to the present store set; the request is `()`.
pub const MIGRATION_STATUS_PATH: &str = "/batch/moved";

/// A call for one store; another incarnation at its address refuses it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Call<T> {
    pub to: StoreId,
    pub job: JobId,
    pub request: T,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ReplicateReply {
    pub reply: ReplicaReply,
    /// How long the store has known the batch job.
    pub age_ms: u64,
}

/// A store is asked to own a batch job.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct TakeOver {
    /// Who asks.
    pub from: StoreId,
    /// Whether the one who asks owned it and gives it up. Otherwise it holds a copy that it is not to keep any more.
    pub resigned: bool,
}

/// An owner tells another store which batch jobs it owns.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    pub to: StoreId,
    pub jobs: Vec<OwnedMark>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OwnedMark {
    pub job: JobId,
    pub term: OwnershipTerm,
    pub length: usize,
    /// Everything that earlier owners may have shown is committed under this term.
    pub established: bool,
}

/// Answers to the marks of a heartbeat, in order; `None` where a write is still on its way to the disk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HeartbeatReply {
    pub marks: Vec<Option<MarkReply>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum MarkReply {
    /// The store has all of it.
    Has,
    /// Something else.
    Other(ReplicaReply),
}

/// A batch job as it comes from a traffic node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Submission {
    pub host: Arc<str>,
    pub path: Arc<str>,
    pub body: Bytes,
    /// How long the caller waits.
    pub wait_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum SubmitReply {
    Accepted,
    Invalid(JobError),
    NotAccepted,
    Unknown,
    Elsewhere(StoreId),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ReadRequest {
    pub after: u64,
    pub hold_ms: u64,
}

/// Results of a batch job from some position on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// How many items the batch job has.
    pub total: u32,
    /// The position behind the last result of this page.
    pub next: u64,
    /// The results as a JSON array.
    pub deliveries: Bytes,
}

/// The answer of a store about a batch job that it may own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Answer<T> {
    Is(T),
    NoSuchJob,
    Unknown,
    Elsewhere(StoreId),
}

/// Whether a store has moved its batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MigrationStatus {
    /// The store.
    pub store: StoreId,
    /// It refuses all owners of older epochs, durably.
    pub epoch: u64,
    /// All that it holds is committed under that epoch.
    pub is_complete: bool,
}
