//! Requests of trainers about a submitted batch job: reading results and item bodies, and ending the batch
//! job.

use std::sync::Arc;
use std::time::Duration;

use batch::{Entry, Job, JobId};
use bytes::Bytes;
use tokio::time::Instant;

use super::super::log_entries::{results, submitted_job};
use super::super::messages::{OwnerReply, ReadRequest, ResultPage};
use super::super::node::StoreNode;
use super::super::owned_job::JobState;
use super::super::state::OwnedEntry;
use super::ownership_status::NotOwner;
use super::COMMIT_TIMEOUT;

/// Maximum size of a page of results, in bytes of JSON. A single larger result makes a page by itself.
const MAX_PAGE_BYTES: usize = 1_000_000;

impl StoreNode {
    /// Returns committed results from position `request.after` on. If there is none yet, waits for one at
    /// most `request.long_poll_ms`; the page is empty if none is committed by then.
    pub(super) async fn read(self: &Arc<Self>, id: &JobId, request: ReadRequest) -> OwnerReply<ResultPage> {
        self.read_page(id, request).await.into()
    }

    async fn read_page(self: &Arc<Self>, id: &JobId, request: ReadRequest) -> Result<ResultPage, NotOwner> {
        let wait_deadline = Instant::now() + Duration::from_millis(request.long_poll_ms);
        self.confirm_ownership(id).await?;
        let after = usize::try_from(request.after).unwrap_or(usize::MAX);
        let has_more = |owned: &mut OwnedEntry| {
            let committed = results(owned.ownership.committed()).count();
            (committed > after && owned.ownership.is_established()).then_some(())
        };
        // If this times out without a result, the page is empty.
        self.wait_for_ownership(id, wait_deadline, has_more).await;
        // The wait may have outlasted the lease, which must be valid when the answer is made.
        self.confirm_ownership(id).await?;
        let committed = self.lock().ownerships.get(id).map(|owned| owned.ownership.committed().to_vec());
        committed.and_then(|committed| page(&committed, after)).ok_or(NotOwner::Unknown)
    }

    /// Returns the decoded body of an item; `None` if the batch job has no such item.
    pub(super) async fn item_body(self: &Arc<Self>, id: &JobId, item: &str) -> OwnerReply<Option<Bytes>> {
        self.find_item_body(id, item).await.into()
    }

    async fn find_item_body(self: &Arc<Self>, id: &JobId, item: &str) -> Result<Option<Bytes>, NotOwner> {
        self.confirm_ownership(id).await?;
        let job = self.parsed_job(id).ok_or(NotOwner::Unknown)?;
        let found = job.items.iter().find(|candidate| *candidate.id == *item);
        Ok(found.map(|item| Bytes::from(item.decoded_body())))
    }

    /// Returns the parsed batch job; parses it again from its log if the parsed form is no longer kept.
    fn parsed_job(&self, id: &JobId) -> Option<Arc<Job>> {
        let body = {
            let state = self.lock();
            let owned = state.ownerships.get(id)?;
            if owned.job.is_some() {
                return owned.job.clone();
            }
            submitted_job(owned.ownership.committed())?.body.clone()
        };
        Job::parse(&body).ok().map(Arc::new)
    }

    /// Ends a batch job for its trainer; succeeds once the end is committed. Ending it again succeeds as
    /// well.
    pub(super) async fn end(self: &Arc<Self>, id: &JobId) -> OwnerReply<()> {
        self.end_job(id).await.into()
    }

    async fn end_job(self: &Arc<Self>, id: &JobId) -> Result<(), NotOwner> {
        self.confirm_ownership(id).await?;
        if let Some(owned) = self.lock().ownerships.get_mut(id) {
            owned.append_missing(&[Arc::new(Entry::End)]);
            owned.state.send_replace(JobState::Ended);
        }
        self.send_due_requests(id);
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let is_committed = |owned: &mut OwnedEntry| owned.is_ended().then_some(());
        self.wait_for_ownership(id, deadline, is_committed).await.ok_or(NotOwner::Unknown)
    }
}

/// Returns the results from position `after` on, as many as fit into a page; `None` if the log lacks the
/// batch job.
fn page(committed: &[Arc<Entry>], after: usize) -> Option<ResultPage> {
    let submitted = submitted_job(committed)?;
    let mut deliveries = Vec::from(b"[");
    let mut next = after;
    for result in results(committed).skip(after) {
        let encoded = serde_json::to_vec(result).ok()?;
        if next > after && deliveries.len() + encoded.len() + 2 > MAX_PAGE_BYTES {
            break;
        }
        if next > after {
            deliveries.push(b',');
        }
        deliveries.extend_from_slice(&encoded);
        next += 1;
    }
    deliveries.push(b']');
    let next = u64::try_from(next).ok()?;
    Some(ResultPage { total: submitted.total, next, deliveries: deliveries.into() })
}
