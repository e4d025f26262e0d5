//! Makes records durable in order, several at once.

use std::sync::Arc;

use batch::Record;
use futures_util::future::join_all;
use tokio::sync::{mpsc, oneshot};

use super::journal::RecordJournal;
use super::store::Shared;

/// Requests that go to the disk together at most.
const BATCH_MOST: usize = 256;

/// Records to be made durable as one; `done` is told when they, and all before them, are. Dropped when that failed.
pub(super) struct WriteRequest {
    pub records: Vec<Record>,
    pub done: oneshot::Sender<()>,
}

/// Writes until the store is dropped. After a failure, nothing that was queued behind it is acknowledged: those
/// records may build on the lost ones. The batch jobs concerned are written whole the next time.
pub(super) async fn run(
    shared: Arc<Shared>,
    journal: Arc<dyn RecordJournal>,
    mut queue: mpsc::UnboundedReceiver<WriteRequest>,
) {
    let mut requests = Vec::with_capacity(BATCH_MOST);
    while queue.recv_many(&mut requests, BATCH_MOST).await > 0 {
        let durable = write(&shared, &*journal, &requests).await;
        let mut failed = requests.split_off(durable);
        for request in requests.drain(..) {
            let _ = request.done.send(());
        }
        if !failed.is_empty() {
            shared.writes_failed(|| {
                while let Ok(request) = queue.try_recv() {
                    failed.push(request);
                }
                failed.into_iter().flat_map(|request| request.records).collect()
            });
        }
    }
}

/// Writes all requests; returns how many of the first are durable.
async fn write(shared: &Shared, journal: &dyn RecordJournal, requests: &[WriteRequest]) -> usize {
    let append = |request: &WriteRequest| {
        let encoded = (!request.records.is_empty()).then(|| rpc::encode(&request.records));
        let appended = encoded.map(|record| journal.append(record));
        async move {
            match appended {
                Some(appended) => appended.await.map(Some),
                None => Ok(None),
            }
        }
    };
    let outcomes = join_all(requests.iter().map(append)).await;
    for (index, (request, outcome)) in requests.iter().zip(outcomes).enumerate() {
        match outcome {
            Ok(position) => shared.write_done(&request.records, position),
            Err(failed) => {
                log::error!("batch jobs: {failed}");
                return index;
            }
        }
    }
    requests.len()
}
