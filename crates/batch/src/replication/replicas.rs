//! The replicas of all batch jobs that one store keeps, as a state machine without I/O.
//!
//! Each change returns the [`Record`]s that make it durable. The caller must write them to the journal, in
//! order, before it sends the reply.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::log::{message_prefix, size_bytes, LogEnd};
use super::log_entry::LogEntry;
use super::messages::{ReplicaReply, ReplicaRequest};
use super::record::Record;
use super::replica_log::ReplicaLog;
use super::staged_entries::StagedEntries;
use super::term::OwnershipTerm;
use crate::JobId;

/// The replicas of all batch jobs that one store keeps.
#[derive(Clone, Debug, Default)]
pub struct Replicas {
    /// Lowest epoch whose terms are accepted, for every batch job. Never decreases.
    epoch: u64,
    logs: BTreeMap<JobId, ReplicaLog>,
    /// The entries that owners have sent ahead, at most those of one owner for each batch job. Not durable.
    staged: BTreeMap<JobId, StagedEntries>,
}

/// The parameters of [`ReplicaRequest::Append`] and [`ReplicaRequest::Stage`].
struct Append {
    term: OwnershipTerm,
    adopted: OwnershipTerm,
    start: usize,
    entries: Vec<LogEntry>,
}

impl Replicas {
    /// Applies the next record of a journal.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Epoch(epoch) => self.epoch = self.epoch.max(epoch),
            Record::Promise { job, term } => {
                let log = self.logs.entry(job).or_default();
                log.promised = log.promised.max(term);
            }
            Record::Append { job, term, start, entries } => {
                let log = self.logs.entry(job).or_default();
                // If earlier records of the log were released from the journal, the append may start beyond
                // the log's end. It is then skipped, because a later snapshot restores the log.
                if start <= log.entries.len() {
                    log.write(term, start, entries);
                }
            }
            Record::Snapshot { job, promised, accepted, entries } => {
                self.logs.insert(job, ReplicaLog::new(promised, accepted, entries));
            }
            Record::Delete { job } => {
                self.logs.remove(&job);
            }
        }
    }

    /// Returns the epoch below which all terms are rejected.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Rejects terms of all epochs below `epoch` from now on. Returns the record that makes this durable;
    /// `None` if these epochs are rejected already.
    pub fn raise_epoch(&mut self, epoch: u64) -> Option<Record> {
        if epoch <= self.epoch {
            return None;
        }
        self.epoch = epoch;
        self.staged.retain(|_, staged| staged.term.epoch >= epoch);
        Some(Record::Epoch(epoch))
    }

    /// Returns the log of a batch job; `None` if the store has no replica of it.
    #[must_use]
    pub fn log(&self, job: &str) -> Option<&ReplicaLog> {
        self.logs.get(job)
    }

    /// Returns the size of the entries that owners have sent ahead for batch jobs other than `job`, in bytes.
    #[must_use]
    pub fn staged_bytes_of_others(&self, job: &str) -> usize {
        let others = self.staged.iter().filter(|(other, _)| ***other != *job);
        others.map(|(_, staged)| size_bytes(&staged.entries)).sum()
    }

    /// Drops the entries that owners have sent ahead for the batch jobs that `is_abandoned` selects. If their
    /// owner is still there, it sends them again.
    pub fn drop_staged(&mut self, is_abandoned: impl Fn(&JobId) -> bool) {
        self.staged.retain(|job, _| !is_abandoned(job));
    }

    /// Iterates over the logs of all batch jobs that this store replicates.
    pub fn logs(&self) -> impl Iterator<Item = (&JobId, &ReplicaLog)> {
        self.logs.iter()
    }

    /// Returns a record that replaces all earlier records about a batch job.
    #[must_use]
    pub fn snapshot(&self, job: &JobId) -> Record {
        match self.logs.get(job) {
            None => Record::Delete { job: Arc::clone(job) },
            Some(log) => Record::Snapshot {
                job: Arc::clone(job),
                promised: log.promised,
                accepted: log.accepted,
                entries: log.entries.clone(),
            },
        }
    }

    /// Handles a request of an owner. The reply may be sent once the returned records, and all records
    /// returned earlier, are durable.
    pub fn handle(&mut self, job: &JobId, request: ReplicaRequest) -> (ReplicaReply, Vec<Record>) {
        match request {
            ReplicaRequest::Prepare { term, accepted, length } => {
                self.handle_prepare(job, term, LogEnd { accepted, length })
            }
            ReplicaRequest::Append { term, adopted, start, entries } => {
                self.handle_append(job, Append { term, adopted, start, entries })
            }
            ReplicaRequest::Stage { term, adopted, start, entries } => {
                (self.handle_stage(job, Append { term, adopted, start, entries }), Vec::new())
            }
            ReplicaRequest::Fetch { term, accepted, start } => {
                (self.handle_fetch(job, term, accepted, start), Vec::new())
            }
            ReplicaRequest::Query => (self.status(job), Vec::new()),
            ReplicaRequest::Delete { term } => self.handle_delete(job, term),
        }
    }

    /// Compares the store's log with the log of the owner of `term`, which has `length` entries, and changes
    /// nothing. Returns [`ReplicaReply::Appended`] with the number of entries that both logs have if the
    /// store's log was last written under `term`, otherwise [`ReplicaReply::LogMismatch`]; or
    /// [`ReplicaReply::Rejected`] if a higher term was promised.
    #[must_use]
    pub fn check_append(&self, job: &str, term: OwnershipTerm, length: usize) -> ReplicaReply {
        if let Some(rejection) = self.rejection(job, term) {
            return rejection;
        }
        match self.logs.get(job).map(ReplicaLog::end) {
            Some(end) if end.accepted == term => {
                ReplicaReply::Appended { term, length: end.length.min(length) }
            }
            end => {
                let LogEnd { accepted, length } = end.unwrap_or_default();
                ReplicaReply::LogMismatch { term, accepted, length }
            }
        }
    }

    /// Returns the highest term that was promised for a batch job; at least the lowest term of the store's
    /// epoch.
    fn promised(&self, job: &str) -> OwnershipTerm {
        let promised = self.logs.get(job).map_or(OwnershipTerm::default(), |log| log.promised);
        promised.max(OwnershipTerm::lowest_of(self.epoch))
    }

    /// Returns the rejection of a request under `term` if a higher term was promised; otherwise `None`.
    fn rejection(&self, job: &str, term: OwnershipTerm) -> Option<ReplicaReply> {
        let promised = self.promised(job);
        (term < promised).then_some(ReplicaReply::Rejected { promised })
    }

    fn handle_prepare(
        &mut self,
        job: &JobId,
        term: OwnershipTerm,
        claimant_end: LogEnd,
    ) -> (ReplicaReply, Vec<Record>) {
        if let Some(rejection) = self.rejection(job, term) {
            return (rejection, Vec::new());
        }
        if self.staged.get(job).is_some_and(|staged| staged.term < term) {
            self.staged.remove(job);
        }
        let log = self.logs.entry(Arc::clone(job)).or_default();
        let mut records = Vec::new();
        if term > log.promised {
            log.promised = term;
            records.push(Record::Promise { job: Arc::clone(job), term });
        }
        let LogEnd { accepted, length } = log.end();
        let (start, entries) = log.entries_ahead_of(claimant_end);
        (ReplicaReply::Promised { term, accepted, length, start, entries }, records)
    }

    fn handle_append(&mut self, job: &JobId, append: Append) -> (ReplicaReply, Vec<Record>) {
        if let Some(rejection) = self.rejection(job, append.term) {
            return (rejection, Vec::new());
        }
        let Append { term, adopted, mut start, mut entries } = self.with_staged_entries(job, append);
        let log = self.logs.entry(Arc::clone(job)).or_default();
        let LogEnd { accepted, length } = log.end();
        let is_same_term = accepted == term;
        let fits = start <= length && (is_same_term || start == 0 || accepted == adopted);
        if !fits {
            return (ReplicaReply::LogMismatch { term, accepted, length }, Vec::new());
        }
        if is_same_term {
            // The request may be delayed or repeated. Under one term the log only grows, so entries that it
            // already has are skipped.
            entries.drain(..entries.len().min(length - start));
            start = length;
            if entries.is_empty() {
                return (ReplicaReply::Appended { term, length }, Vec::new());
            }
        } else {
            // What is on the disk is not written again, so that a full disk can still take part in a new term.
            let stored = log.stored_prefix(start, &entries);
            log.replace_stored(start, &entries[..stored]);
            entries.drain(..stored);
            start += stored;
        }
        log.write(term, start, entries.clone());
        let length = log.entries.len();
        let record = Record::Append { job: Arc::clone(job), term, start, entries };
        (ReplicaReply::Appended { term, length }, vec![record])
    }

    /// Returns the size of the entries that a request makes the store write, in bytes.
    #[must_use]
    pub fn written_bytes(&self, job: &str, request: &ReplicaRequest) -> usize {
        let ReplicaRequest::Append { term, start, entries, .. } = request else { return 0 };
        let staged = self.staged.get(job).filter(|staged| staged.can_precede(*term, *start));
        let (first, staged_entries) = staged.map_or((*start, &[][..]), |staged| {
            (staged.start, &staged.entries[..(*start - staged.start).min(staged.entries.len())])
        });
        let all = || staged_entries.iter().chain(entries);
        let kept = self.logs.get(job).map_or(0, |log| match log.accepted == *term {
            true => log.entries.len().saturating_sub(first),
            false => log.stored_prefix(first, all()),
        });
        all().skip(kept).map(LogEntry::size_bytes).sum()
    }

    /// Returns the append preceded by the entries that are staged for it. They are no longer staged then.
    fn with_staged_entries(&mut self, job: &str, append: Append) -> Append {
        let staged = self.staged.remove(job);
        match staged.filter(|staged| staged.can_precede(append.term, append.start)) {
            Some(mut staged) => {
                staged.add(append.start, append.entries);
                Append { start: staged.start, entries: staged.entries, ..append }
            }
            None => append,
        }
    }

    fn handle_stage(&mut self, job: &JobId, append: Append) -> ReplicaReply {
        let Append { term, adopted, start, entries } = append;
        if let Some(rejection) = self.rejection(job, term) {
            return rejection;
        }
        let LogEnd { accepted, length } = self.logs.get(job).map(ReplicaLog::end).unwrap_or_default();
        if accepted == term {
            // The request was delayed: the append for which it was sent ahead has been applied.
            return ReplicaReply::Appended { term, length };
        }
        let staged = self.staged.remove(job).filter(|staged| staged.can_precede(term, start));
        let follows_log = start == 0 || (accepted == adopted && start <= length);
        let Some(mut staged) =
            staged.or_else(|| follows_log.then(|| StagedEntries { term, start, entries: Vec::new() }))
        else {
            return ReplicaReply::LogMismatch { term, accepted, length };
        };
        staged.add(start, entries);
        let length = staged.end();
        self.staged.insert(Arc::clone(job), staged);
        ReplicaReply::Staged { term, length }
    }

    fn handle_fetch(
        &self,
        job: &str,
        term: OwnershipTerm,
        accepted: OwnershipTerm,
        start: usize,
    ) -> ReplicaReply {
        if let Some(rejection) = self.rejection(job, term) {
            return rejection;
        }
        let log = self.logs.get(job).filter(|log| log.promised == term && log.accepted == accepted);
        match log.and_then(|log| log.entries.get(start..)) {
            Some(entries) => {
                let entries = message_prefix(entries).to_vec();
                ReplicaReply::Fetched { term, accepted, start, entries }
            }
            None => {
                let LogEnd { accepted, length } = self.logs.get(job).map(ReplicaLog::end).unwrap_or_default();
                ReplicaReply::LogMismatch { term, accepted, length }
            }
        }
    }

    fn status(&self, job: &str) -> ReplicaReply {
        let length = self.logs.get(job).map_or(0, |log| log.entries.len());
        ReplicaReply::Status { promised: self.promised(job), length }
    }

    fn handle_delete(&mut self, job: &JobId, term: OwnershipTerm) -> (ReplicaReply, Vec<Record>) {
        if let Some(rejection) = self.rejection(job, term) {
            return (rejection, Vec::new());
        }
        // Deleting the log also deletes its promise. The raised epoch still rejects owners of older store
        // sets.
        let mut records = Vec::from_iter(self.raise_epoch(term.epoch));
        self.staged.remove(job);
        if self.logs.remove(job).is_some() {
            records.push(Record::Delete { job: Arc::clone(job) });
        }
        (ReplicaReply::Deleted { term }, records)
    }
}
