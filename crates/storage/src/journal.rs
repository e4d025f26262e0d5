//! The handle that the asynchronous parts of a process use.

use std::future::Future;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use error_stack::{Report, ResultExt};
use futures_util::future::BoxFuture;
use tokio::sync::{oneshot, Notify};

use crate::ring::RingIdentity;
use crate::{FileSystem, NativeFileSystem, Position, Recovered, Ring, RingOptions, StorageError, Usage};

/// Name of the thread that waits for the disk.
const THREAD_NAME: &str = "journal";

/// Appends records to a ring. Clones share it; the last one that is dropped ends it, after what was appended.
#[derive(Clone)]
pub struct Journal {
    backend: Backend,
}

#[derive(Clone)]
enum Backend {
    Queued(Arc<Handle>),
    Inline(Arc<Mutex<Ring>>),
}

type Outcome = Result<Position, StorageError>;

impl Journal {
    /// Opens or makes the ring in a folder; returns the records that survive. Waits for the disk.
    pub fn open(directory: &Path, options: RingOptions) -> Result<(Self, Recovered), Report<StorageError>> {
        Self::open_on(Arc::new(NativeFileSystem), directory, options)
    }

    /// As [`Journal::open`], on another file system.
    pub fn open_on(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        Ok((Self::threaded(ring)?, recovered))
    }

    /// As [`Journal::open`], but hands each record to `visitor` as it is read instead of collecting them all.
    /// The records of the result are empty.
    pub fn open_with(
        directory: &Path,
        options: RingOptions,
        mut visitor: impl FnMut(Position, Vec<u8>),
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, identity) = Ring::open(Arc::new(NativeFileSystem), directory, options, &mut visitor)?;
        Ok((Self::threaded(ring)?, recovered(identity, Vec::new())))
    }

    /// A journal without a thread, whose records become durable some time later: for simulations. The future that
    /// is returned writes them, in batches, whenever `pace` lets it; nothing is written after it is dropped.
    pub fn open_paced(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
        pace: impl FnMut() -> BoxFuture<'static, ()> + Send + 'static,
    ) -> Result<(Self, Recovered, BoxFuture<'static, ()>), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        let shared = Arc::new(Shared::new(&ring));
        let writing = Box::pin(Arc::clone(&shared).run_paced(ring, pace));
        Ok((Self { backend: Backend::Queued(Arc::new(Handle { shared })) }, recovered, writing))
    }

    /// A journal without a thread, whose [`append`](Journal::append) waits for the disk itself: for simulations.
    pub fn open_inline(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        Ok((Self { backend: Backend::Inline(Arc::new(Mutex::new(ring))) }, recovered))
    }

    fn threaded(ring: Ring) -> Result<Self, Report<StorageError>> {
        let shared = Arc::new(Shared::new(&ring));
        let worker = Arc::clone(&shared);
        let spawned = thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || worker.run(ring));
        spawned.map_err(StorageError::from)?;
        Ok(Self { backend: Backend::Queued(Arc::new(Handle { shared })) })
    }

    /// Appends a record; completes when it is durable. The record takes its place when this is called, not when
    /// the future is first polled, and is written also if the future is dropped.
    pub fn append(&self, record: Vec<u8>) -> impl Future<Output = Result<Position, StorageError>> + Send {
        let (sender, receiver) = oneshot::channel();
        match &self.backend {
            Backend::Queued(handle) => handle.shared.enqueue(Request { record, sender }),
            Backend::Inline(ring) => {
                let outcome = lock(ring).append(&[record]).pop();
                let _ = sender.send(outcome.unwrap_or(Err(StorageError::Closed)));
            }
        }
        async move { receiver.await.unwrap_or(Err(StorageError::Closed)) }
    }

    /// Tells that the records before `position` are no longer needed. Takes effect with the next append.
    pub fn release(&self, position: Position) {
        match &self.backend {
            Backend::Queued(handle) => {
                let mut queue = lock(&handle.shared.queue);
                queue.released = queue.released.max(position);
            }
            Backend::Inline(ring) => lock(ring).release(position),
        }
    }

    /// How full the ring was after the last append.
    pub fn usage(&self) -> Usage {
        match &self.backend {
            Backend::Queued(handle) => lock(&handle.shared.queue).usage,
            Backend::Inline(ring) => lock(ring).usage(),
        }
    }
}

fn open_ring(
    file_system: Arc<dyn FileSystem>,
    directory: &Path,
    options: RingOptions,
) -> Result<(Ring, Recovered), Report<StorageError>> {
    let mut records = Vec::new();
    let mut visitor = |position, record| records.push((position, record));
    let opened = Ring::open(file_system, directory, options, &mut visitor);
    let (ring, identity) = opened.attach_with(|| format!("folder {}", directory.display()))?;
    Ok((ring, recovered(identity, records)))
}

fn recovered(identity: RingIdentity, records: Vec<(Position, Vec<u8>)>) -> Recovered {
    Recovered { records, incarnation: identity.incarnation, fresh: identity.fresh }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Closes the queue when the last clone of the journal is dropped.
struct Handle {
    shared: Arc<Shared>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        lock(&self.shared.queue).is_closed = true;
        self.shared.changed.notify_one();
    }
}

struct Shared {
    queue: Mutex<Queue>,
    /// For a writer on a thread of its own ...
    changed: Condvar,
    /// ... and for one that is a future.
    queued: Notify,
}

struct Queue {
    requests: Vec<Request>,
    released: Position,
    usage: Usage,
    is_closed: bool,
    is_idle: bool,
}

impl Default for Queue {
    fn default() -> Self {
        let (released, usage) = (Position(0), Usage::default());
        Self { requests: Vec::new(), released, usage, is_closed: false, is_idle: false }
    }
}

struct Request {
    record: Vec<u8>,
    sender: oneshot::Sender<Outcome>,
}

impl Shared {
    fn new(ring: &Ring) -> Self {
        let queue = Mutex::new(Queue { usage: ring.usage(), ..Queue::default() });
        Self { queue, changed: Condvar::new(), queued: Notify::new() }
    }

    fn enqueue(&self, request: Request) {
        let mut queue = lock(&self.queue);
        queue.requests.push(request);
        let is_idle = queue.is_idle;
        drop(queue);
        if is_idle {
            self.changed.notify_one();
        }
        self.queued.notify_one();
    }

    /// Writes what is queued, until the queue is closed and empty.
    fn run(&self, mut ring: Ring) {
        while let Some((requests, released)) = self.next_batch() {
            self.write(&mut ring, requests, released);
        }
    }

    /// Writes what is queued when `pace` lets it, until dropped.
    async fn run_paced(self: Arc<Self>, mut ring: Ring, mut pace: impl FnMut() -> BoxFuture<'static, ()>) {
        loop {
            self.queued.notified().await;
            pace().await;
            let (requests, released) = {
                let mut queue = lock(&self.queue);
                (std::mem::take(&mut queue.requests), queue.released)
            };
            if !requests.is_empty() {
                self.write(&mut ring, requests, released);
            }
        }
    }

    fn write(&self, ring: &mut Ring, requests: Vec<Request>, released: Position) {
        ring.release(released);
        let (records, senders): (Vec<_>, Vec<_>) =
            requests.into_iter().map(|request| (request.record, request.sender)).unzip();
        let outcomes = ring.append(&records);
        lock(&self.queue).usage = ring.usage();
        for (sender, outcome) in senders.into_iter().zip(outcomes) {
            // The caller may have stopped waiting.
            let _ = sender.send(outcome);
        }
    }

    fn next_batch(&self) -> Option<(Vec<Request>, Position)> {
        let mut queue = lock(&self.queue);
        while queue.requests.is_empty() {
            if queue.is_closed {
                return None;
            }
            queue.is_idle = true;
            queue = self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner);
            queue.is_idle = false;
        }
        Some((std::mem::take(&mut queue.requests), queue.released))
    }
}
