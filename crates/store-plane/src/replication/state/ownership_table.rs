//! The batch jobs that a store owns or claims.

use std::collections::BTreeMap;
use std::sync::Arc;

use batch::{JobId, JobOutline, LogEntry, Ownership, OwnershipPhase};
use tokio::sync::watch;
use tokio::time::Instant;

use super::super::log_entries::{contains, has_all_results, is_ended};
use super::super::owned_job::JobState;

/// A batch job that this store owns or claims.
pub(crate) struct OwnedEntry {
    /// Identity of this ownership among all ownerships of this process; unchanged when the batch job is
    /// claimed again under a new store set.
    pub token: u64,
    /// The protocol state machine of the ownership.
    pub ownership: Ownership,
    /// Time at which this store last claimed the batch job or received a part of a log that the claim adopts.
    pub last_claim_progress: Instant,
    /// The batch job without the requests of its items; `None` until the ownership is established, and once the batch job has ended or has
    /// all results.
    pub job: Option<Arc<JobOutline>>,
    /// Whether the batch job is being loaded and parsed.
    pub is_parsing: bool,
    /// State that determines whether the runner runs items of the batch job.
    pub state: watch::Sender<JobState>,
    /// Sender that is notified of each change of the ownership; tasks that wait for commits subscribe to it.
    pub progress: watch::Sender<()>,
}

impl OwnedEntry {
    fn new(token: u64, ownership: Ownership) -> Self {
        Self {
            token,
            ownership,
            last_claim_progress: Instant::now(),
            job: None,
            is_parsing: false,
            state: watch::Sender::new(JobState::Open),
            progress: watch::Sender::new(()),
        }
    }

    /// Replaces the ownership by a claim under a new store set. The runner keeps running the items.
    pub fn claim_again(&mut self, claim: Ownership) {
        self.ownership = claim;
        self.last_claim_progress = Instant::now();
        self.progress.send_replace(());
    }

    /// Appends the entries that the log lacks. Does nothing unless the ownership is established.
    pub fn append_missing(&mut self, entries: &[LogEntry]) {
        if !self.ownership.is_established() {
            return;
        }
        for entry in entries {
            if !contains(self.ownership.log(), entry) {
                self.ownership.append([entry.clone()]);
            }
        }
    }

    /// Returns whether this store leads and the log is empty: the batch job doesn't exist, or is being
    /// submitted.
    pub fn is_leading_empty_log(&self) -> bool {
        self.ownership.phase() == OwnershipPhase::Leading && self.ownership.log().is_empty()
    }

    /// Returns whether the trainer has ended the batch job and this is committed.
    pub fn is_ended(&self) -> bool {
        is_ended(self.ownership.committed())
    }

    /// Returns whether each item of the batch job has a committed result.
    pub fn has_all_results(&self) -> bool {
        has_all_results(self.ownership.committed())
    }
}

/// All batch jobs that this store owns or claims.
#[derive(Default)]
pub(crate) struct OwnershipTable {
    entries: BTreeMap<JobId, OwnedEntry>,
    /// The token of the newest ownership; tokens start at 1.
    last_token: u64,
    /// Whether the process is shutting down, so that this store claims no batch job any more.
    is_draining: bool,
}

impl OwnershipTable {
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    pub fn contains(&self, job: &str) -> bool {
        self.entries.contains_key(job)
    }

    pub fn get(&self, job: &str) -> Option<&OwnedEntry> {
        self.entries.get(job)
    }

    pub fn get_mut(&mut self, job: &str) -> Option<&mut OwnedEntry> {
        self.entries.get_mut(job)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &OwnedEntry)> {
        self.entries.iter()
    }

    /// Returns the batch jobs whose entry satisfies a condition.
    pub fn jobs_where(&self, condition: impl Fn(&OwnedEntry) -> bool) -> Vec<JobId> {
        let matching = self.entries.iter().filter(|(_, owned)| condition(owned));
        matching.map(|(job, _)| Arc::clone(job)).collect()
    }

    /// Adds a batch job that this store has started to claim.
    pub fn insert(&mut self, job: &JobId, claim: Ownership) {
        self.last_token += 1;
        self.entries.insert(Arc::clone(job), OwnedEntry::new(self.last_token, claim));
    }

    /// Removes an ownership or claim, and notifies the runner and the tasks that wait for progress.
    pub fn release(&mut self, job: &str) {
        if let Some(owned) = self.entries.remove(job) {
            owned.state.send_replace(JobState::OwnershipLost);
            owned.progress.send_replace(());
        }
    }

    /// Removes all ownerships and claims, and sets the table to draining. Returns the batch jobs.
    pub fn drain(&mut self) -> Vec<JobId> {
        self.is_draining = true;
        let jobs: Vec<JobId> = self.entries.keys().cloned().collect();
        for job in &jobs {
            self.release(job);
        }
        jobs
    }
}
