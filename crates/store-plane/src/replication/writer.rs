//! Makes queued records durable in the order of the queue, in batches.

use std::future::Future;
use std::io;
use std::sync::Arc;

use batch::Record;
use futures_util::future::join_all;
use storage::{RecordContent, RecordLocation};
use tokio::sync::mpsc;

use super::journal::{Appended, JournalFailed};
use super::journal_space::has_space_for;
use super::node::StoreNode;
use super::record_layout::RecordLayout;
use super::state::WriteRequest;

/// Maximum number of write requests that are appended to the journal at once.
const MAX_BATCH_LENGTH: usize = 256;
/// Size of the encoded records above which no further ones are passed to the journal until these are durable.
const MAX_PENDING_BYTES: u64 = 4 * 1024 * 1024;
/// Length above which records are encoded while they are written, so that a large log is not in memory a second
/// time.
const MAX_ENCODED_BYTES: u64 = 1024 * 1024;

/// The task that takes write requests from the queue and appends their records to the journal.
pub(super) struct JournalWriter {
    node: Arc<StoreNode>,
    queue: mpsc::UnboundedReceiver<WriteRequest>,
}

impl JournalWriter {
    pub fn new(node: Arc<StoreNode>, queue: mpsc::UnboundedReceiver<WriteRequest>) -> Self {
        Self { node, queue }
    }

    /// Writes until dropped. After a failed append, the following requests of the batch and all queued
    /// requests fail as well.
    pub async fn run(mut self) {
        let mut requests = Vec::with_capacity(MAX_BATCH_LENGTH);
        while !requests.is_empty() || self.queue.recv_many(&mut requests, MAX_BATCH_LENGTH).await > 0 {
            let durable = self.write(&requests).await;
            let failed = requests.split_off(durable);
            for request in requests.drain(..) {
                // Sending fails if the receiver was dropped, which means that nothing waits for the write.
                let _ = request.done.send(());
            }
            if !failed.is_empty() {
                requests = self.drop_failed(failed);
            }
            self.node.continue_compaction();
        }
    }

    /// Appends the records of all requests. Returns how many requests, from the first one on, are durable.
    async fn write(&self, requests: &[WriteRequest]) -> usize {
        let mut durable = 0;
        while durable < requests.len() {
            for outcome in join_all(self.start_appends(&requests[durable..])).await {
                match outcome {
                    Ok((layout, location)) => {
                        let records = &requests[durable].records;
                        self.node.lock().durability.on_durable(records, layout, location);
                        durable += 1;
                    }
                    Err(error) => {
                        log::error!("failed to write records of batch jobs: {error}");
                        return durable;
                    }
                }
            }
        }
        durable
    }

    /// Starts to append the records of the first requests: of all of them, or of as many as have
    /// [`MAX_PENDING_BYTES`] together. Each future returns where the record and its entries are; the location is
    /// `None` if there are no records to write.
    fn start_appends(
        &self,
        requests: &[WriteRequest],
    ) -> Vec<impl Future<Output = Result<(RecordLayout, Option<RecordLocation>), JournalFailed>>> {
        let mut pending_bytes = 0;
        let mut appends = Vec::new();
        for request in requests {
            if pending_bytes >= MAX_PENDING_BYTES {
                break;
            }
            // Nothing may be written behind a request that is refused.
            let append = self.start_append(request, pending_bytes);
            let is_refused = append.is_err();
            pending_bytes += append.as_ref().map_or(0, |append| append.layout.length);
            appends.push(async move {
                match append? {
                    PendingAppend { layout, appended: Some(appended) } => Ok((layout, Some(appended.await?))),
                    PendingAppend { layout, appended: None } => Ok((layout, None)),
                }
            });
            if is_refused {
                break;
            }
        }
        appends
    }

    /// Starts to append the records of one request. `pending_bytes` are being appended before them.
    fn start_append(
        &self,
        request: &WriteRequest,
        pending_bytes: u64,
    ) -> Result<PendingAppend, JournalFailed> {
        let records = &request.records;
        if records.is_empty() {
            return Ok(PendingAppend { layout: RecordLayout::default(), appended: None });
        }
        let layout = RecordLayout::of(records).map_err(|error| {
            log::error!("{error}");
            JournalFailed
        })?;
        if !request.is_compaction && !has_space_for(self.node.journal.usage(), pending_bytes, layout.length) {
            log::warn!(bytes = layout.length; "the journal of batch jobs has only the space of its compaction left");
            return Err(JournalFailed);
        }
        let appended = self.node.journal.append(encode(records, &layout));
        Ok(PendingAppend { layout, appended: Some(appended) })
    }

    /// Drops the failed request, which is the first one, and all requests queued behind it, without acknowledging
    /// any, since later records may depend on the failed ones. The next write of each affected batch job is a
    /// snapshot. Returns the snapshots of compaction among them, which depend on nothing and are still written.
    fn drop_failed(&mut self, mut failed: Vec<WriteRequest>) -> Vec<WriteRequest> {
        // Records are queued only under this lock, so no request can follow the failed ones before it is
        // released.
        let mut state = self.node.lock();
        while let Ok(request) = self.queue.try_recv() {
            failed.push(request);
        }
        let behind = failed.split_off(1);
        let (kept, dropped): (Vec<_>, Vec<_>) = behind.into_iter().partition(|request| request.is_compaction);
        for request in failed.iter().chain(&dropped) {
            state.durability.on_write_failed(&request.records);
        }
        kept
    }
}

/// An append to the journal that was started, or that has nothing to write.
struct PendingAppend {
    layout: RecordLayout,
    appended: Option<Appended>,
}

/// Records of batch jobs that are encoded while they are written. Entries that are not in memory are read from
/// the disk for it.
struct EncodedRecords {
    records: Arc<Vec<Record>>,
    /// Length of the encoded form in bytes.
    length: usize,
}

impl RecordContent for EncodedRecords {
    fn length(&self) -> usize {
        self.length
    }

    fn write_to(&self, writer: &mut dyn io::Write) -> io::Result<()> {
        rpc::encode_into(&*self.records, writer)
    }
}

/// Returns the content of the journal record of `records`, which has this layout.
fn encode(records: &Arc<Vec<Record>>, layout: &RecordLayout) -> Box<dyn RecordContent> {
    let are_resident = layout.entries.iter().all(|placed| placed.entry.resident().is_some());
    if are_resident && layout.length <= MAX_ENCODED_BYTES {
        return Box::new(rpc::encode(&**records));
    }
    let length = usize::try_from(layout.length).unwrap_or(usize::MAX);
    Box::new(EncodedRecords { records: Arc::clone(records), length })
}
