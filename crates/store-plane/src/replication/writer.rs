//! Makes queued records durable in their order, several at once.

use std::sync::Arc;

use futures_util::future::join_all;
use tokio::sync::mpsc;

use super::node::StoreNode;
use super::state::WriteRequest;

/// At most this many requests are appended to the journal at once.
const MAX_BATCH_LENGTH: usize = 256;

/// The task that takes requests from the write queue.
pub(super) struct JournalWriter {
    node: Arc<StoreNode>,
    queue: mpsc::UnboundedReceiver<WriteRequest>,
}

impl JournalWriter {
    pub fn new(node: Arc<StoreNode>, queue: mpsc::UnboundedReceiver<WriteRequest>) -> Self {
        Self { node, queue }
    }

    /// Writes until the store is dropped.
    pub async fn run(mut self) {
        let mut requests = Vec::with_capacity(MAX_BATCH_LENGTH);
        while self.queue.recv_many(&mut requests, MAX_BATCH_LENGTH).await > 0 {
            let durable = self.write(&requests).await;
            let failed = requests.split_off(durable);
            for request in requests.drain(..) {
                // The receiver is gone if nobody waits for the write.
                let _ = request.done.send(());
            }
            if !failed.is_empty() {
                self.drop_failed(failed);
            }
        }
    }

    /// Appends all requests; returns how many of the first are durable.
    async fn write(&self, requests: &[WriteRequest]) -> usize {
        let append = |request: &WriteRequest| {
            let encoded = (!request.records.is_empty()).then(|| rpc::encode(&request.records));
            let appended = encoded.map(|record| self.node.journal.append(record));
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
                Ok(position) => self.node.lock().durability.on_durable(&request.records, position),
                Err(error) => {
                    log::error!("failed to write records of batch jobs: {error}");
                    return index;
                }
            }
        }
        requests.len()
    }

    /// After a failure, nothing that was queued behind it is acknowledged either, since those records may build on the
    /// lost ones. The next write of each batch job concerned is a snapshot.
    fn drop_failed(&mut self, mut failed: Vec<WriteRequest>) {
        // While the lock is held, nothing more can be queued.
        let mut state = self.node.lock();
        while let Ok(request) = self.queue.try_recv() {
            failed.push(request);
        }
        for request in &failed {
            state.durability.on_lost(&request.records);
        }
    }
}
