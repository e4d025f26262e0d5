//! Submission of batch jobs by traffic nodes.

use std::sync::Arc;
use std::time::Duration;

use batch::{Entry, JobError, JobId, JobOutline, LogEntry, OwnershipPhase, SubmittedJob};
use tokio::time::Instant;

use super::super::messages::{Submission, SubmitReply};
use super::super::node::StoreNode;
use super::super::state::OwnedEntry;
use super::{COMMIT_TIMEOUT, OWNERSHIP_TIMEOUT};

/// Minimum time between the answer and the timeout of the caller.
const REPLY_MARGIN: Duration = Duration::from_millis(120);

impl StoreNode {
    /// Accepts a batch job once it is committed. Returns `NotAccepted` only if this call has not sent any
    /// part of the batch job to any store.
    pub(super) async fn submit(self: &Arc<Self>, id: JobId, submission: Submission) -> SubmitReply {
        let timeout = Duration::from_millis(submission.timeout_ms).saturating_sub(REPLY_MARGIN);
        let commit_deadline = Instant::now() + timeout.min(OWNERSHIP_TIMEOUT + COMMIT_TIMEOUT);
        // The append must happen in the first half of the time, so that the rest remains for the commit.
        let append_deadline = Instant::now() + (timeout / 2).min(OWNERSHIP_TIMEOUT);
        let entry = match validate(submission) {
            Ok(submitted) => LogEntry::from(Entry::Job(submitted)),
            Err(error) => return SubmitReply::Invalid(error),
        };
        if !self.has_space_for_submission(entry.size_bytes()) {
            log::warn!("batch job {id} is not accepted here: the journal has no space for it");
            return SubmitReply::NotAccepted;
        }
        if self.has_undurable_backlog() {
            // The disk is slower than the submissions, and those before this one are still in memory.
            return SubmitReply::NotAccepted;
        }
        if let Err(owner) = self.acquire_unless_owned_elsewhere(&id) {
            return owner.map_or(SubmitReply::NotAccepted, SubmitReply::Redirect);
        }
        let append = |owned: &mut OwnedEntry| append_first(owned, &entry);
        if self.wait_for_ownership(&id, append_deadline, append).await.is_none() {
            let owner = self.live_owner_elsewhere(&id);
            return owner.map_or(SubmitReply::NotAccepted, SubmitReply::Redirect);
        }
        self.send_due_requests(&id);
        let is_committed = |owned: &mut OwnedEntry| {
            (owned.ownership.is_established() && !owned.ownership.committed().is_empty()).then_some(())
        };
        match self.wait_for_ownership(&id, commit_deadline, is_committed).await {
            Some(()) => SubmitReply::Accepted,
            None => SubmitReply::Unknown,
        }
    }
}

/// Checks that the body is a valid batch job. The log stores the body unchanged.
fn validate(submission: Submission) -> Result<SubmittedJob, JobError> {
    let job = JobOutline::parse(&submission.body)?;
    let total = u32::try_from(job.items.len()).unwrap_or(u32::MAX);
    let Submission { host, path, body, .. } = submission;
    Ok(SubmittedJob { host, path, body, total })
}

/// Appends the batch job to its log unless the log has it already. Returns `None` while this store doesn't
/// lead.
fn append_first(owned: &mut OwnedEntry, entry: &LogEntry) -> Option<()> {
    if owned.is_leading_empty_log() {
        owned.ownership.append([entry.clone()]);
    }
    (owned.ownership.phase() == OwnershipPhase::Leading).then_some(())
}
