//! What one store knows of all batch jobs, as a state machine without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Ballot, Entry, JobId, Record};

/// What an owner asks of a store about one batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Promise to accept nothing below the ballot, and tell the log if it is ahead of the claimant's.
    Claim {
        /// The ballot.
        ballot: Ballot,
        /// The ballot of the claimant's own log.
        accepted: Ballot,
        /// The length of the claimant's own log.
        length: usize,
    },
    /// Cut the log to `from` entries and extend it. The first write under a ballot carries everything up to the
    /// end of the log that the owner adopted; it fits if the store's log has ballot `base` and `from` entries.
    Write {
        /// The ballot.
        ballot: Ballot,
        /// The ballot of the log that the owner adopted.
        base: Ballot,
        /// How many entries are left out.
        from: usize,
        /// The entries behind them.
        entries: Vec<Arc<Entry>>,
    },
    /// Tell what is known; promises nothing.
    Query,
    /// The batch job is whole elsewhere, or over: drop it.
    Forget {
        /// The ballot of the owner that says so.
        ballot: Ballot,
    },
}

/// What a store answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// The promise is given.
    Promised {
        /// The ballot promised.
        ballot: Ballot,
        /// The ballot of the store's log.
        accepted: Ballot,
        /// The length of the store's log.
        length: usize,
        /// The entries from this one on follow.
        from: usize,
        /// What the claimant lacks.
        entries: Vec<Arc<Entry>>,
    },
    /// The log has the owner's content up to this length.
    Written {
        /// The owner's ballot.
        ballot: Ballot,
        /// The length.
        length: usize,
    },
    /// The write does not fit the store's log.
    Behind {
        /// The owner's ballot.
        ballot: Ballot,
        /// The ballot of the store's log.
        accepted: Ballot,
        /// The length of the store's log.
        length: usize,
    },
    /// A higher ballot was promised.
    Rejected {
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// What the store knows.
    Holds {
        /// The ballot promised.
        promised: Ballot,
        /// The length of the store's log.
        length: usize,
    },
    /// The batch job is dropped.
    Forgotten {
        /// The owner's ballot.
        ballot: Ballot,
    },
}

/// The log of one batch job as one store has it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLog {
    /// Nothing below this ballot is accepted.
    pub promised: Ballot,
    /// The ballot of the log.
    pub accepted: Ballot,
    /// The log.
    pub entries: Vec<Arc<Entry>>,
}

/// All batch jobs of one store.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    epoch: u64,
    logs: BTreeMap<JobId, ReplicaLog>,
}

impl Replica {
    /// A store that holds what `records` say, oldest first.
    pub fn recover(records: impl IntoIterator<Item = Record>) -> Self {
        let mut replica = Self::default();
        records.into_iter().for_each(|record| replica.replay(record));
        replica
    }

    fn replay(&mut self, record: Record) {
        match record {
            Record::Epoch(epoch) => self.epoch = self.epoch.max(epoch),
            Record::Promise { job, ballot } => {
                let log = self.logs.entry(job).or_default();
                log.promised = log.promised.max(ballot);
            }
            Record::Write { job, ballot, from, entries } => {
                let log = self.logs.entry(job).or_default();
                if from <= log.entries.len() {
                    log.replace(ballot, from, entries);
                }
            }
            Record::Snapshot { job, promised, accepted, entries } => {
                self.logs.insert(job, ReplicaLog { promised, accepted, entries });
            }
            Record::Forget { job } => {
                self.logs.remove(&job);
            }
        }
    }

    /// The epoch below which nothing is accepted.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Refuses all older epochs from now on, once the record is durable.
    pub fn raise_epoch(&mut self, epoch: u64) -> Option<Record> {
        if epoch <= self.epoch {
            return None;
        }
        self.epoch = epoch;
        Some(Record::Epoch(epoch))
    }

    /// The log of a batch job.
    #[must_use]
    pub fn log(&self, job: &str) -> Option<&ReplicaLog> {
        self.logs.get(job)
    }

    /// All batch jobs.
    pub fn logs(&self) -> impl Iterator<Item = (&JobId, &ReplicaLog)> {
        self.logs.iter()
    }

    /// A record of all that is known of a batch job.
    #[must_use]
    pub fn snapshot(&self, job: &JobId) -> Record {
        match self.logs.get(job) {
            None => Record::Forget { job: Arc::clone(job) },
            Some(log) => Record::Snapshot {
                job: Arc::clone(job),
                promised: log.promised,
                accepted: log.accepted,
                entries: log.entries.clone(),
            },
        }
    }

    /// Carries out a request. The reply may leave once these records, and all that came before them, are durable.
    pub fn handle(&mut self, job: &JobId, request: ReplicaRequest) -> (ReplicaReply, Vec<Record>) {
        match request {
            ReplicaRequest::Claim { ballot, accepted, length } => self.promise(job, ballot, accepted, length),
            ReplicaRequest::Write { ballot, base, from, entries } => {
                self.write(job, ballot, base, from, entries)
            }
            ReplicaRequest::Query => (self.holds(job), Vec::new()),
            ReplicaRequest::Forget { ballot } => self.forget(job, ballot),
        }
    }

    /// What a write of nothing at the end of a log of `length` entries would be answered; changes nothing.
    #[must_use]
    pub fn check(&self, job: &str, ballot: Ballot, length: usize) -> ReplicaReply {
        let promised = self.promised(job);
        if ballot < promised {
            return ReplicaReply::Rejected { promised };
        }
        match self.logs.get(job) {
            Some(log) if log.accepted == ballot => {
                ReplicaReply::Written { ballot, length: log.entries.len().min(length) }
            }
            Some(log) => ReplicaReply::Behind { ballot, accepted: log.accepted, length: log.entries.len() },
            None => ReplicaReply::Behind { ballot, accepted: Ballot::default(), length: 0 },
        }
    }

    fn promised(&self, job: &str) -> Ballot {
        let promised = self.logs.get(job).map_or(Ballot::default(), |log| log.promised);
        promised.max(Ballot::floor(self.epoch))
    }

    fn promise(
        &mut self,
        job: &JobId,
        ballot: Ballot,
        accepted: Ballot,
        length: usize,
    ) -> (ReplicaReply, Vec<Record>) {
        let promised = self.promised(job);
        if ballot < promised {
            return (ReplicaReply::Rejected { promised }, Vec::new());
        }
        let log = self.logs.entry(Arc::clone(job)).or_default();
        let mut records = Vec::new();
        if ballot > log.promised {
            log.promised = ballot;
            records.push(Record::Promise { job: Arc::clone(job), ballot });
        }
        let (from, entries) = log.ahead_of(accepted, length);
        let length = log.entries.len();
        (ReplicaReply::Promised { ballot, accepted: log.accepted, length, from, entries }, records)
    }

    fn write(
        &mut self,
        job: &JobId,
        ballot: Ballot,
        base: Ballot,
        from: usize,
        mut entries: Vec<Arc<Entry>>,
    ) -> (ReplicaReply, Vec<Record>) {
        let promised = self.promised(job);
        if ballot < promised {
            return (ReplicaReply::Rejected { promised }, Vec::new());
        }
        let log = self.logs.entry(Arc::clone(job)).or_default();
        let have = log.entries.len();
        let owned = log.accepted == ballot;
        let fits = from <= have && (owned || from == 0 || log.accepted == base);
        if !fits {
            let reply = ReplicaReply::Behind { ballot, accepted: log.accepted, length: have };
            return (reply, Vec::new());
        }
        let mut start = from;
        if owned {
            entries.drain(..entries.len().min(have - from));
            start = have;
            if entries.is_empty() {
                return (ReplicaReply::Written { ballot, length: have }, Vec::new());
            }
        }
        log.replace(ballot, start, entries.clone());
        let length = log.entries.len();
        let record = Record::Write { job: Arc::clone(job), ballot, from: start, entries };
        (ReplicaReply::Written { ballot, length }, vec![record])
    }

    fn holds(&self, job: &str) -> ReplicaReply {
        let length = self.logs.get(job).map_or(0, |log| log.entries.len());
        ReplicaReply::Holds { promised: self.promised(job), length }
    }

    fn forget(&mut self, job: &JobId, ballot: Ballot) -> (ReplicaReply, Vec<Record>) {
        let promised = self.promised(job);
        if ballot < promised {
            return (ReplicaReply::Rejected { promised }, Vec::new());
        }
        let mut records: Vec<Record> = self.raise_epoch(ballot.epoch).into_iter().collect();
        if self.logs.remove(job).is_some() {
            records.push(Record::Forget { job: Arc::clone(job) });
        }
        (ReplicaReply::Forgotten { ballot }, records)
    }
}

impl ReplicaLog {
    fn replace(&mut self, ballot: Ballot, from: usize, entries: Vec<Arc<Entry>>) {
        self.entries.truncate(from);
        self.entries.extend(entries);
        self.accepted = ballot;
        self.promised = self.promised.max(ballot);
    }

    /// The entries that a log of ballot `accepted` and `length` entries lacks, if this one is ahead of it.
    fn ahead_of(&self, accepted: Ballot, length: usize) -> (usize, Vec<Arc<Entry>>) {
        if (self.accepted, self.entries.len()) <= (accepted, length) {
            return (self.entries.len(), Vec::new());
        }
        let from = if self.accepted == accepted { length } else { 0 };
        (from, self.entries[from..].to_vec())
    }
}
