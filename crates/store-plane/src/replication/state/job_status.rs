//! The status of each batch job apart from its log, mostly derived from messages of other stores.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, OwnershipTerm};
use tokio::time::Instant;

/// Time without contact after which an owner is considered failed. Until then, a store that the owner has
/// contacted promises nothing to another claimant, so that the owner's read lease ends before another store
/// can own the batch job.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(700);
/// Duration of the read lease: an owner answers reads only if a majority has acknowledged a message that it
/// sent within this time. A new owner needs the promise of a store in that majority, which promises nothing
/// earlier than [`OWNER_TIMEOUT`] after the contact. The lease is shorter than the timeout because each of
/// the two clocks may be wrong by a tenth (700 ms x 0.9 x 0.9 = 567 ms).
pub(crate) const READ_LEASE: Duration = Duration::from_millis(560);

/// The status of one batch job at this store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobStatus {
    /// Time at which a store, which may be this one, last contacted this store as owner or claimant. Also set
    /// when this store releases a stale claim or ownership, or when its claim or ownership is rejected, to
    /// delay its next claim. `None` after a handover to this store, and until the first contact after the
    /// start of this process.
    pub owner_last_contact: Option<Instant>,
    /// The earliest time at which the batch job is known to have existed, from this process and the replies
    /// of other stores; its age is counted from then.
    pub known_since: Option<Instant>,
    /// The epoch under which the owner last reported its adopted log as committed.
    pub committed_epoch: Option<u64>,
    /// The highest term for which a claim or ownership of this store was rejected; the next claim needs a
    /// higher one.
    pub highest_rejection: Option<OwnershipTerm>,
    /// Whether the owner that made contact last has released the batch job since, so that its read lease has
    /// ended.
    pub is_released: bool,
}

/// The status of all batch jobs. Batch jobs with the default status have no entry.
#[derive(Default)]
pub(crate) struct JobStatusTable {
    jobs: BTreeMap<JobId, JobStatus>,
}

impl JobStatusTable {
    /// Returns the status of a batch job; the default if the table has no entry.
    pub fn get(&self, job: &str) -> JobStatus {
        self.jobs.get(job).copied().unwrap_or_default()
    }

    fn entry(&mut self, job: &JobId) -> &mut JobStatus {
        self.jobs.entry(Arc::clone(job)).or_default()
    }

    /// Records that a store has made contact as owner or claimant.
    pub fn record_owner_contact(&mut self, job: &JobId, now: Instant) {
        let status = self.entry(job);
        status.owner_last_contact = Some(now);
        status.is_released = false;
    }

    /// Records that the owner has released the batch job and no longer answers reads.
    pub fn record_released(&mut self, job: &JobId) {
        self.entry(job).is_released = true;
    }

    /// Returns how long the read lease of the owner that made contact last may still be valid; `None` once it
    /// has ended. Without a known contact the time is counted from `started`, since contacts before a restart
    /// are not stored.
    pub fn owner_lease_remaining(&self, job: &str, started: Instant, now: Instant) -> Option<Duration> {
        if self.get(job).is_released {
            return None;
        }
        let since_contact = self.time_since_owner_contact(job, started, now);
        OWNER_TIMEOUT.checked_sub(since_contact).filter(|remaining| !remaining.is_zero())
    }

    /// Records that the owner has handed the batch job over, so that it has no live owner.
    pub fn clear_owner_contact(&mut self, job: &JobId) {
        self.entry(job).owner_last_contact = None;
    }

    /// Returns whether a store has made contact as the owner within [`OWNER_TIMEOUT`].
    pub fn has_live_owner(&self, job: &str) -> bool {
        self.get(job).owner_last_contact.is_some_and(|contact| contact.elapsed() < OWNER_TIMEOUT)
    }

    /// Returns the time since the last contact of an owner, or since `started` if there was none.
    pub fn time_since_owner_contact(&self, job: &str, started: Instant, now: Instant) -> Duration {
        now.saturating_duration_since(self.get(job).owner_last_contact.unwrap_or(started))
    }

    /// Records that the batch job exists at `now`, unless it is known to have existed before.
    pub fn record_known(&mut self, job: &JobId, now: Instant) {
        self.entry(job).known_since.get_or_insert(now);
    }

    /// Records that the batch job existed at `since`, as another store reports.
    pub fn record_known_since(&mut self, job: &JobId, since: Instant) {
        let known_since = self.entry(job).known_since.get_or_insert(since);
        *known_since = (*known_since).min(since);
    }

    /// Returns how long the batch job has been known at `now`; never more than the time since its submission.
    pub fn age(&self, job: &str, now: Instant) -> Duration {
        self.get(job).known_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records that the owner has committed its adopted log under this epoch.
    pub fn record_committed_epoch(&mut self, job: &JobId, epoch: u64) {
        self.entry(job).committed_epoch = Some(epoch);
    }

    /// Records that a claim or ownership of this store was rejected because a replica has promised a higher
    /// term.
    pub fn record_rejection(&mut self, job: &JobId, promised: OwnershipTerm) {
        let status = self.entry(job);
        status.highest_rejection = status.highest_rejection.max(Some(promised));
    }

    /// Removes the status of a batch job whose log was deleted.
    pub fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }
}
