//! The handle that the asynchronous parts of a process use.

use std::future::Future;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

use error_stack::{Report, ResultExt};
use tokio::sync::oneshot;

use crate::ring::Identity;
use crate::{FileSystem, NativeFileSystem, Options, Position, Recovered, Ring, StorageError, Usage};

/// Name of the thread that waits for the disk.
const THREAD_NAME: &str = "journal";

/// Appends records to a ring. Clones share it; the last one that is dropped ends it, after what was appended.
#[derive(Clone)]
pub struct Journal {
    backend: Backend,
}

#[derive(Clone)]
enum Backend {
    Threaded(Arc<Handle>),
    Inline(Arc<Mutex<Ring>>),
}

type Outcome = Result<Position, StorageError>;

impl Journal {
    /// Opens or makes the ring in a folder; returns the records that survive. Waits for the disk.
    pub fn open(directory: &Path, options: Options) -> Result<(Self, Recovered), Report<StorageError>> {
        Self::open_on(Arc::new(NativeFileSystem), directory, options)
    }

    /// As [`Journal::open`], on another file system.
    pub fn open_on(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: Options,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        Ok((Self::threaded(ring)?, recovered))
    }

    /// As [`Journal::open`], but hands each record to `visitor` as it is read instead of collecting them all.
    /// The records of the result are empty.
    pub fn open_with(
        directory: &Path,
        options: Options,
        mut visitor: impl FnMut(Position, Vec<u8>),
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, identity) = Ring::open(Arc::new(NativeFileSystem), directory, options, &mut visitor)?;
        Ok((Self::threaded(ring)?, recovered(identity, Vec::new())))
    }

    /// A journal without a thread, whose [`append`](Journal::append) waits for the disk itself: for simulations.
    pub fn open_inline(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: Options,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        Ok((Self { backend: Backend::Inline(Arc::new(Mutex::new(ring))) }, recovered))
    }

    fn threaded(ring: Ring) -> Result<Self, Report<StorageError>> {
        let shared = Arc::new(Shared {
            queue: Mutex::new(Queue { usage: ring.usage(), ..Queue::default() }),
            changed: Condvar::new(),
        });
        let worker = Arc::clone(&shared);
        let spawned = thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || worker.run(ring));
        spawned.map_err(StorageError::from)?;
        Ok(Self { backend: Backend::Threaded(Arc::new(Handle { shared })) })
    }

    /// Appends a record; completes when it is durable. The record takes its place when this is called, not when
    /// the future is first polled, and is written also if the future is dropped.
    pub fn append(&self, record: Vec<u8>) -> impl Future<Output = Result<Position, StorageError>> + Send {
        let (sender, receiver) = oneshot::channel();
        match &self.backend {
            Backend::Threaded(handle) => handle.shared.enqueue(Request { record, sender }),
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
            Backend::Threaded(handle) => {
                let mut queue = lock(&handle.shared.queue);
                queue.released = queue.released.max(position);
            }
            Backend::Inline(ring) => lock(ring).release(position),
        }
    }

    /// How full the ring was after the last append.
    pub fn usage(&self) -> Usage {
        match &self.backend {
            Backend::Threaded(handle) => lock(&handle.shared.queue).usage,
            Backend::Inline(ring) => lock(ring).usage(),
        }
    }
}

fn open_ring(
    file_system: Arc<dyn FileSystem>,
    directory: &Path,
    options: Options,
) -> Result<(Ring, Recovered), Report<StorageError>> {
    let mut records = Vec::new();
    let mut visitor = |position, record| records.push((position, record));
    let opened = Ring::open(file_system, directory, options, &mut visitor);
    let (ring, identity) = opened.attach_with(|| format!("folder {}", directory.display()))?;
    Ok((ring, recovered(identity, records)))
}

fn recovered(identity: Identity, records: Vec<(Position, Vec<u8>)>) -> Recovered {
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
    changed: Condvar,
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
    fn enqueue(&self, request: Request) {
        let mut queue = lock(&self.queue);
        queue.requests.push(request);
        let is_idle = queue.is_idle;
        drop(queue);
        if is_idle {
            self.changed.notify_one();
        }
    }

    /// Writes what is queued, until the queue is closed and empty.
    fn run(&self, mut ring: Ring) {
        while let Some((requests, released)) = self.next_batch() {
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
