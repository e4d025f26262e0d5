//! The handle by which the asynchronous parts of a process append to a ring.

use std::future::Future;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use error_stack::{Report, ResultExt};
use futures_util::future::BoxFuture;
use tokio::sync::oneshot;

use crate::append_queue::{AppendQueue, AppendRequest};
use crate::{
    FileSystem, NativeFileSystem, Position, Ring, RingIdentity, RingOptions, RingUsage, StorageError,
};

/// Name of the thread that waits for the disk.
const THREAD_NAME: &str = "journal";

/// What was found when a journal was opened.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// The records that survive, oldest first. Some of them may have been released.
    pub records: Vec<(Position, Vec<u8>)>,
    /// A random number, drawn when the ring was created; a replaced disk has another.
    pub incarnation: u64,
    /// Whether the ring was created when it was opened.
    pub is_new: bool,
}

impl Recovered {
    fn new(identity: RingIdentity, records: Vec<(Position, Vec<u8>)>) -> Self {
        Self { records, incarnation: identity.incarnation, is_new: identity.is_new }
    }
}

/// Appends records to a ring. Clones share it; dropping the last one ends it, after what was appended.
#[derive(Clone)]
pub struct Journal {
    backend: Backend,
}

#[derive(Clone)]
enum Backend {
    /// A writer of its own takes the records from a queue.
    Queued(Arc<QueueHandle>),
    /// The caller of `append` waits for the disk.
    Inline(Arc<Mutex<Ring>>),
}

impl Journal {
    /// Opens or creates the ring in a folder; returns the records that survive. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// As [`Ring::open`].
    pub fn open(directory: &Path, options: RingOptions) -> Result<(Self, Recovered), Report<StorageError>> {
        Self::open_on(Arc::new(NativeFileSystem), directory, options)
    }

    /// As [`Journal::open`], on another file system.
    ///
    /// # Errors
    ///
    /// As [`Ring::open`].
    pub fn open_on(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        Ok((Self::spawn_writer(ring)?, recovered))
    }

    /// As [`Journal::open`], but hands each record to `visitor` as it is read instead of collecting them all.
    /// The records of the result are empty.
    ///
    /// # Errors
    ///
    /// As [`Ring::open`].
    pub fn open_with(
        directory: &Path,
        options: RingOptions,
        mut visitor: impl FnMut(Position, Vec<u8>),
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, identity) = Ring::open(Arc::new(NativeFileSystem), directory, options, &mut visitor)?;
        Ok((Self::spawn_writer(ring)?, Recovered::new(identity, Vec::new())))
    }

    /// A journal without a thread, whose records become durable some time later: for simulations. The future that
    /// is returned writes what is queued, in batches, each time that a future of `pace` completes; nothing is written
    /// after it is dropped.
    ///
    /// # Errors
    ///
    /// As [`Ring::open`].
    pub fn open_paced(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
        pace: impl FnMut() -> BoxFuture<'static, ()> + Send + 'static,
    ) -> Result<(Self, Recovered, BoxFuture<'static, ()>), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        let queue = Arc::new(AppendQueue::new(&ring));
        let writer = Box::pin(Arc::clone(&queue).run_paced(ring, pace));
        Ok((Self::queued(queue), recovered, writer))
    }

    /// A journal without a thread, whose [`append`](Journal::append) waits for the disk itself: for simulations.
    ///
    /// # Errors
    ///
    /// As [`Ring::open`].
    pub fn open_inline(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, recovered) = open_ring(file_system, directory, options)?;
        Ok((Self { backend: Backend::Inline(Arc::new(Mutex::new(ring))) }, recovered))
    }

    fn spawn_writer(ring: Ring) -> Result<Self, Report<StorageError>> {
        let queue = Arc::new(AppendQueue::new(&ring));
        let writer = Arc::clone(&queue);
        let spawned = thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || writer.run(ring));
        spawned.map_err(StorageError::from)?;
        Ok(Self::queued(queue))
    }

    fn queued(queue: Arc<AppendQueue>) -> Self {
        Self { backend: Backend::Queued(Arc::new(QueueHandle { queue })) }
    }

    /// Appends a record; completes when it is durable. The record takes its position when this is called, not when
    /// the future is first polled, and is written even if the future is dropped.
    ///
    /// # Errors
    ///
    /// When the record is too long, the ring is full, or the disk failed. After a failure of the disk the records that
    /// were queued together with this one fail too; later appends try again.
    pub fn append(&self, record: Vec<u8>) -> impl Future<Output = Result<Position, StorageError>> + Send {
        let (sender, receiver) = oneshot::channel();
        match &self.backend {
            Backend::Queued(handle) => handle.queue.enqueue(AppendRequest { record, sender }),
            Backend::Inline(ring) => {
                let outcome = lock(ring).append(&[record]).pop();
                let _ = sender.send(outcome.unwrap_or(Err(StorageError::Closed)));
            }
        }
        async move { receiver.await.unwrap_or(Err(StorageError::Closed)) }
    }

    /// Declares that the records before `position` are no longer needed. Takes effect with the next append.
    pub fn release(&self, position: Position) {
        match &self.backend {
            Backend::Queued(handle) => handle.queue.release(position),
            Backend::Inline(ring) => lock(ring).release(position),
        }
    }

    /// How full the ring was after the last append.
    pub fn usage(&self) -> RingUsage {
        match &self.backend {
            Backend::Queued(handle) => handle.queue.usage(),
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
    Ok((ring, Recovered::new(identity, records)))
}

fn lock(ring: &Mutex<Ring>) -> MutexGuard<'_, Ring> {
    ring.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Closes the queue when the last clone of the journal is dropped.
struct QueueHandle {
    queue: Arc<AppendQueue>,
}

impl Drop for QueueHandle {
    fn drop(&mut self) {
        self.queue.close();
    }
}
