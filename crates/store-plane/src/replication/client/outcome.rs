//! The outcomes of the calls of a [`JobClient`](super::JobClient).

use batch::JobError;
use bytes::Bytes;

use super::super::messages::ResultPage;

/// The outcome of submitting a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The batch job is durable: its items will be run and its results kept.
    Accepted,
    /// The body is not a valid batch job.
    Invalid(JobError),
    /// The batch job was not stored: no item of it will ever run because of this call.
    NotAccepted,
    /// No store gave a definite answer in time; the batch job may have been accepted.
    Unknown,
}

/// The outcome of reading results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The results from the requested position on; empty if none was committed within the long poll.
    Page(ResultPage),
    /// There is no such batch job.
    NoSuchJob,
    /// No store gave a definite answer in time.
    Unknown,
}

/// The outcome of reading the body of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// The decoded body.
    Body(Bytes),
    /// There is no such batch job, or it has no such item.
    NoSuchItem,
    /// No store gave a definite answer in time.
    Unknown,
}

/// The outcome of ending a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The end of the batch job is durable.
    Ended,
    /// There is no such batch job.
    NoSuchJob,
    /// No store gave a definite answer in time; the batch job may have been ended.
    Unknown,
}
