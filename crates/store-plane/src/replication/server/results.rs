//! Requests of trainers about a submitted batch job: reading results and item bodies, and ending the batch
//! job.

use std::sync::Arc;
use std::time::Duration;

use batch::{find_item_body, Entry, JobId, LogEntry};
use bytes::Bytes;
use tokio::time::Instant;

use super::super::log_entries::{item_count, results};
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
        let entries = {
            let state = self.lock();
            let owned = state.ownerships.get(id).ok_or(NotOwner::Unknown)?;
            page_entries(owned.ownership.committed(), after).ok_or(NotOwner::Unknown)?
        };
        let page = self.load_page(entries, after).await;
        // The wait may have outlasted the lease, which must be valid when the answer is made.
        self.confirm_ownership(id).await?;
        page.ok_or(NotOwner::Unknown)
    }

    /// Loads the results of a page; `None` if they cannot be read or the disk takes too long.
    async fn load_page(&self, entries: PageEntries, after: usize) -> Option<ResultPage> {
        let bytes = entries.results.iter().map(LogEntry::size_bytes).sum();
        let _share = self.budgets.loads.acquire(bytes).await?;
        let loaded = self.load_entries(entries.results.clone()).await;
        let results = loaded.inspect_err(|error| log::error!("{error}")).ok()?;
        self.cache_loaded(entries.results, &results);
        page(entries.total, &results, after)
    }

    /// Returns the decoded body of an item; `None` if the batch job has no such item.
    pub(super) async fn item_body(self: &Arc<Self>, id: &JobId, item: &str) -> OwnerReply<Option<Bytes>> {
        self.find_item_body(id, item).await.into()
    }

    async fn find_item_body(self: &Arc<Self>, id: &JobId, item: &str) -> Result<Option<Bytes>, NotOwner> {
        self.confirm_ownership(id).await?;
        let (submission, job) = {
            let state = self.lock();
            let owned = state.ownerships.get(id).ok_or(NotOwner::Unknown)?;
            let submission = owned.ownership.committed().first().cloned().ok_or(NotOwner::Unknown)?;
            (submission, owned.job.clone())
        };
        if let Some(job) = job {
            let Some(outline) = job.item(item) else { return Ok(None) };
            let loaded = self.load_item(id, submission, outline).await;
            let item = loaded.inspect_err(|error| log::error!("{error}")).map_err(|_| NotOwner::Unknown)?;
            return Ok(Some(Bytes::from(item.decoded_body())));
        }
        let share = self.budgets.loads.acquire(submission.size_bytes()).await;
        let _share = share.ok_or(NotOwner::Unknown)?;
        let loaded = self.load_entry(submission).await.inspect_err(|error| log::error!("{error}"));
        match &*loaded.map_err(|_| NotOwner::Unknown)? {
            Entry::Job(submitted) => Ok(find_item_body(&submitted.body, item).map(Bytes::from)),
            Entry::Result(_) | Entry::End => Err(NotOwner::Unknown),
        }
    }

    /// Ends a batch job for its trainer; succeeds once the end is committed. Ending it again succeeds as
    /// well.
    pub(super) async fn end(self: &Arc<Self>, id: &JobId) -> OwnerReply<()> {
        self.end_job(id).await.into()
    }

    async fn end_job(self: &Arc<Self>, id: &JobId) -> Result<(), NotOwner> {
        self.confirm_ownership(id).await?;
        if let Some(owned) = self.lock().ownerships.get_mut(id) {
            owned.append_missing(&[LogEntry::from(Entry::End)]);
            owned.state.send_replace(JobState::Ended);
        }
        self.send_due_requests(id);
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let is_committed = |owned: &mut OwnedEntry| owned.is_ended().then_some(());
        self.wait_for_ownership(id, deadline, is_committed).await.ok_or(NotOwner::Unknown)
    }
}

/// What a page of results is made of.
struct PageEntries {
    /// Number of items of the batch job.
    total: u32,
    /// The results that may fit into the page.
    results: Vec<LogEntry>,
}

/// Returns the results from position `after` on, as many as may fit into a page; `None` if the log lacks the
/// batch job.
fn page_entries(committed: &[LogEntry], after: usize) -> Option<PageEntries> {
    let total = item_count(committed)?;
    let mut bytes = 0;
    let fits = |entry: &&LogEntry| {
        let is_first = bytes == 0;
        bytes += entry.size_bytes();
        is_first || bytes <= MAX_PAGE_BYTES
    };
    let results = results(committed).map(|(_, entry)| entry).skip(after).take_while(fits).cloned().collect();
    Some(PageEntries { total, results })
}

/// Returns a page of `results`, of which the first has the position `after`, as many as fit; `None` if one is not
/// in memory.
fn page(total: u32, results: &[LogEntry], after: usize) -> Option<ResultPage> {
    let mut deliveries = Vec::from(b"[");
    let mut next = after;
    for entry in results {
        let entry = entry.resident()?;
        let Entry::Result(result) = &*entry else { return None };
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
    Some(ResultPage { total, next, deliveries: deliveries.into() })
}
