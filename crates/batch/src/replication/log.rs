//! Entries and ends of the log of a batch job.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::term::OwnershipTerm;
use crate::ItemResult;

/// A batch job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedJob {
    /// The `Host` header of the submission.
    pub host: Arc<str>,
    /// The path of the submission.
    pub path: Arc<str>,
    /// The body as it was received: the JSON of a [`Job`](crate::Job).
    pub body: Bytes,
    /// Number of items in the job.
    pub total: u32,
}

/// One entry of the log of a batch job. The first entry of each log is [`Entry::Job`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The batch job as it was submitted.
    Job(SubmittedJob),
    /// The result of an item. Trainers read the results in the order of the log.
    Result(ItemResult),
    /// Marks that the trainer ended the batch job.
    End,
}

/// The end of a log. The greater of two log ends belongs to the more advanced log: the one with the higher
/// term, or with equal terms the longer one. The derived order relies on the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LogEnd {
    /// The term under which the log was last written.
    pub accepted: OwnershipTerm,
    /// Number of entries of the log.
    pub length: usize,
}
