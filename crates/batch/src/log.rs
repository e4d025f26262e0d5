//! The replicated log of a batch job: ballots, entries, and what a store writes to its disk.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{ItemResult, JobId};

/// Identity of a store: the incarnation of its disk.
pub type StoreId = u64;

/// Names one ownership of a batch job. Unique: no two claims use the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Epoch of the store set that the owner acts on.
    pub epoch: u64,
    /// The higher round wins.
    pub round: u64,
    /// The owner.
    pub owner: StoreId,
    /// Random number of the claim.
    pub nonce: u64,
}

impl Ballot {
    /// A ballot that wins over `highest`, made by `owner` under the store set of `epoch`. `None` while the owner's
    /// store set is an old one: it doesn't know which stores to ask.
    #[must_use]
    pub fn above(highest: Self, epoch: u64, owner: StoreId, nonce: u64) -> Option<Self> {
        let round = if highest.epoch == epoch { highest.round + 1 } else { 1 };
        (highest.epoch <= epoch).then_some(Self { epoch, round, owner, nonce })
    }

    /// The lowest ballot of an epoch; no owner has it.
    #[must_use]
    pub fn floor(epoch: u64) -> Self {
        Self { epoch, ..Self::default() }
    }
}

/// A batch job as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedJob {
    /// The `Host` header.
    pub host: Arc<str>,
    /// The path.
    pub path: Arc<str>,
    /// The body as it came.
    pub body: Bytes,
    /// How many items it has.
    pub total: u32,
}

/// One entry of the log. The first is the batch job itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The batch job.
    Job(SubmittedJob),
    /// A result; its position is its rank among the results.
    Result(ItemResult),
    /// The trainer ended the batch job.
    End,
}

/// What a store must have on its disk before a reply leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Nothing of an older epoch is accepted any more.
    Epoch(u64),
    /// A promise for a batch job.
    Promise {
        /// The batch job.
        job: JobId,
        /// Nothing below it is accepted.
        ballot: Ballot,
    },
    /// The log is cut to `from` entries, then extended, under a ballot.
    Write {
        /// The batch job.
        job: JobId,
        /// Promised and accepted.
        ballot: Ballot,
        /// How many entries stay.
        from: usize,
        /// The entries behind them.
        entries: Vec<Arc<Entry>>,
    },
    /// All that is known of a batch job.
    Snapshot {
        /// The batch job.
        job: JobId,
        /// Nothing below it is accepted.
        promised: Ballot,
        /// The ballot of the log.
        accepted: Ballot,
        /// The log.
        entries: Vec<Arc<Entry>>,
    },
    /// The batch job is dropped.
    Forget {
        /// The batch job.
        job: JobId,
    },
}

impl Record {
    /// The batch job that the record is about.
    #[must_use]
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::Epoch(_) => None,
            Self::Promise { job, .. }
            | Self::Write { job, .. }
            | Self::Snapshot { job, .. }
            | Self::Forget { job } => Some(job),
        }
    }
}
