//! The status of each batch job besides its log, mostly from messages of other stores.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, OwnershipTerm};
use tokio::time::Instant;

/// An owner that made no contact for this long is considered failed. Until then a store that it has contacted promises
/// nothing to another claimant, so that its read lease ends first.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(700);
/// An owner answers reads if a majority acknowledged something that it sent within this time. Any other owner needs the
/// promise of one of those stores, which it gives [`OWNER_TIMEOUT`] after that contact at the earliest; both clocks may
/// be wrong by a tenth (700 ms x 0.9 x 0.9 = 567 ms).
pub(crate) const READ_LEASE: Duration = Duration::from_millis(560);

/// What is known about one batch job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobStatus {
    /// When a store, which may be this one, last acted as the owner here. Also set when this store gives one up, to
    /// delay its next one; `None` after a hand-over, and until the first contact of this process.
    pub owner_last_contact: Option<Instant>,
    /// Since when the batch job exists, as far as this process and the stores that it called know.
    pub known_since: Option<Instant>,
    /// The epoch under which the owner last reported its log as committed.
    pub committed_epoch: Option<u64>,
    /// The highest term in favour of which a claim of this store was rejected.
    pub highest_rejection: Option<OwnershipTerm>,
    /// Whether the owner that made contact last has given the batch job up since: its read lease is void.
    pub is_released: bool,
}

/// The status of all batch jobs; those of which nothing is known have no entry.
#[derive(Default)]
pub(crate) struct JobStatusTable {
    jobs: BTreeMap<JobId, JobStatus>,
}

impl JobStatusTable {
    /// The status of a batch job; the default if nothing is known.
    pub fn get(&self, job: &str) -> JobStatus {
        self.jobs.get(job).copied().unwrap_or_default()
    }

    fn entry(&mut self, job: &JobId) -> &mut JobStatus {
        self.jobs.entry(Arc::clone(job)).or_default()
    }

    /// A store has acted as the owner.
    pub fn record_owner_contact(&mut self, job: &JobId, now: Instant) {
        let status = self.entry(job);
        status.owner_last_contact = Some(now);
        status.is_released = false;
    }

    /// The owner has given the batch job up and answers no reads any more.
    pub fn record_released(&mut self, job: &JobId) {
        self.entry(job).is_released = true;
    }

    /// How long the read lease of the owner that made contact last may still be valid; `None` once it has ended. A store
    /// that `started` recently may have forgotten a contact.
    pub fn owner_lease_remaining(&self, job: &str, started: Instant, now: Instant) -> Option<Duration> {
        if self.get(job).is_released {
            return None;
        }
        let since_contact = self.time_since_owner_contact(job, started, now);
        OWNER_TIMEOUT.checked_sub(since_contact).filter(|remaining| !remaining.is_zero())
    }

    /// The owner has handed the batch job over.
    pub fn clear_owner_contact(&mut self, job: &JobId) {
        self.entry(job).owner_last_contact = None;
    }

    /// Whether a store has acted as the owner within [`OWNER_TIMEOUT`].
    pub fn has_live_owner(&self, job: &str) -> bool {
        self.get(job).owner_last_contact.is_some_and(|contact| contact.elapsed() < OWNER_TIMEOUT)
    }

    /// The time since the last contact of an owner, or since `started` if there was none.
    pub fn time_since_owner_contact(&self, job: &str, started: Instant, now: Instant) -> Duration {
        now.saturating_duration_since(self.get(job).owner_last_contact.unwrap_or(started))
    }

    /// The batch job is known from now on, unless it already was.
    pub fn record_known(&mut self, job: &JobId, now: Instant) {
        self.entry(job).known_since.get_or_insert(now);
    }

    /// Another store has known the batch job since this time.
    pub fn record_known_since(&mut self, job: &JobId, since: Instant) {
        let known_since = self.entry(job).known_since.get_or_insert(since);
        *known_since = (*known_since).min(since);
    }

    /// How long the batch job has been known at `now`; never more than the time since its submission.
    pub fn age(&self, job: &str, now: Instant) -> Duration {
        self.get(job).known_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// The owner has committed its log under this epoch.
    pub fn record_committed_epoch(&mut self, job: &JobId, epoch: u64) {
        self.entry(job).committed_epoch = Some(epoch);
    }

    /// A claim of this store was rejected in favour of a term.
    pub fn record_rejection(&mut self, job: &JobId, promised: OwnershipTerm) {
        let status = self.entry(job);
        status.highest_rejection = status.highest_rejection.max(Some(promised));
    }

    /// Removes what is known about a batch job that the replica has dropped.
    pub fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }
}
