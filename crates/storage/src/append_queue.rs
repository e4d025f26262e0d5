//! The queue between the callers of a journal and the writer of its ring.
//!
//! The writer takes all queued records at once, so that they share one sync of the disk. It runs on a
//! separate thread ([`AppendQueue::run`]) or, in simulations, as a future ([`AppendQueue::run_paced`]).

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use futures_util::future::BoxFuture;
use tokio::sync::{oneshot, Notify};

use crate::ring::{AppendOutcome, Ring, RingUsage};
use crate::{Position, RecordContent};

/// A record to append, with the channel on which its caller waits for the outcome.
pub(crate) struct AppendRequest {
    pub record: Box<dyn RecordContent>,
    pub sender: oneshot::Sender<AppendOutcome>,
}

/// Records that the writer has not taken yet, and the state shared between callers and writer.
pub(crate) struct AppendQueue {
    state: Mutex<QueueState>,
    /// Wakes a writer that runs on a thread.
    changed: Condvar,
    /// Wakes a writer that runs as a future.
    queued: Notify,
}

struct QueueState {
    requests: Vec<AppendRequest>,
    /// Records before this position are no longer needed. The writer passes it to the ring with the next
    /// batch.
    released: Position,
    /// Usage of the ring after the last batch was written.
    usage: RingUsage,
    is_closed: bool,
    /// Whether the writer thread waits on `changed`, so that it must be notified.
    is_writer_idle: bool,
}

/// Requests that the writer takes from the queue at once and writes together.
struct Batch {
    requests: Vec<AppendRequest>,
    released: Position,
}

impl QueueState {
    fn take_batch(&mut self) -> Batch {
        Batch { requests: std::mem::take(&mut self.requests), released: self.released }
    }
}

impl AppendQueue {
    /// Creates an empty queue for a ring that was just opened.
    pub fn new(ring: &Ring) -> Self {
        let state = QueueState {
            requests: Vec::new(),
            released: Position(0),
            usage: ring.usage(),
            is_closed: false,
            is_writer_idle: false,
        };
        Self { state: Mutex::new(state), changed: Condvar::new(), queued: Notify::new() }
    }

    pub fn enqueue(&self, request: AppendRequest) {
        let mut state = self.lock();
        state.requests.push(request);
        let is_writer_idle = state.is_writer_idle;
        drop(state);
        if is_writer_idle {
            self.changed.notify_one();
        }
        self.queued.notify_one();
    }

    pub fn release(&self, position: Position) {
        let mut state = self.lock();
        state.released = state.released.max(position);
    }

    pub fn usage(&self) -> RingUsage {
        self.lock().usage
    }

    /// Ends a writer that runs on a thread, once the queue is empty.
    pub fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_one();
    }

    /// Writes the queued records, batch by batch, until the queue is closed and empty.
    pub fn run(&self, mut ring: Ring) {
        while let Some(batch) = self.next_batch() {
            self.write(&mut ring, batch);
        }
    }

    /// Writes the queued records as one batch each time that a future made by `sync_delay` completes.
    /// Never completes; the caller ends it by dropping the future.
    pub async fn run_paced(
        self: Arc<Self>,
        mut ring: Ring,
        mut sync_delay: impl FnMut() -> BoxFuture<'static, ()>,
    ) {
        loop {
            self.queued.notified().await;
            sync_delay().await;
            let batch = self.lock().take_batch();
            if !batch.requests.is_empty() {
                self.write(&mut ring, batch);
            }
        }
    }

    /// Blocks until there are requests; returns `None` once the queue is closed and empty.
    fn next_batch(&self) -> Option<Batch> {
        let mut state = self.lock();
        while state.requests.is_empty() {
            if state.is_closed {
                return None;
            }
            state.is_writer_idle = true;
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
            state.is_writer_idle = false;
        }
        Some(state.take_batch())
    }

    fn write(&self, ring: &mut Ring, batch: Batch) {
        ring.release(batch.released);
        let requests = batch.requests.into_iter();
        let (records, senders): (Vec<_>, Vec<_>) =
            requests.map(|request| (request.record, request.sender)).unzip();
        let contents: Vec<&dyn RecordContent> = records.iter().map(|record| &**record).collect();
        let outcomes = ring.append_contents(&contents);
        self.lock().usage = ring.usage();
        for (sender, outcome) in senders.into_iter().zip(outcomes) {
            // The send fails if the caller has dropped its future, which is no error.
            let _ = sender.send(outcome);
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
