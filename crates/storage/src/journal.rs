//! [`Journal`]: the handle with which asynchronous code appends to a ring.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

use error_stack::{Report, ResultExt};
use futures_util::future::BoxFuture;
use tokio::sync::oneshot;

use crate::append_queue::{AppendQueue, AppendRequest};
use crate::layout::RingDirectory;
use crate::read_queue::{ReadQueue, ReadTask};
use crate::record_reader::RecordReader;
use crate::recovered_record::{RecordVisitor, RecoveredRecord};
use crate::{
    FileSystem, NativeFileSystem, Position, RecordContent, RecordLocation, Ring, RingIdentity, RingOptions,
    RingUsage, StorageError,
};

/// Name of the thread that writes to the ring and blocks on the disk.
const THREAD_NAME: &str = "journal";

/// Contents and identity of a ring, as found when its journal was opened.
#[derive(Clone, Debug)]
pub struct Recovered {
    /// All records that were recovered, oldest first. Some of them may have been released before.
    pub records: Vec<(Position, Vec<u8>)>,
    /// Random number drawn when the ring was created. It changes when the disk is replaced or wiped.
    pub incarnation: u64,
    /// Whether this open created the ring because the directory contained none.
    pub is_new: bool,
}

impl Recovered {
    fn new(identity: RingIdentity, records: Vec<(Position, Vec<u8>)>) -> Self {
        Self { records, incarnation: identity.incarnation, is_new: identity.is_new }
    }
}

/// Handle that appends records to a ring. Clones share the ring. When the last clone is dropped, the writer
/// thread, if the journal has one, writes the records still queued and ends.
#[derive(Clone)]
pub struct Journal {
    backend: Backend,
    /// The thread that reads records again; `None` in simulations, where the caller reads them itself.
    reads: Option<Arc<ReadQueue>>,
    reader: RecordReader,
}

#[derive(Clone)]
enum Backend {
    /// A thread or a future takes the records from a queue and writes them.
    Queued(Arc<QueueHandle>),
    /// `append` writes the record itself and blocks on the disk.
    Inline(Arc<Mutex<Ring>>),
}

/// Where a ring is, and with which options it is opened.
#[derive(Clone)]
pub struct RingLocation {
    /// The file system that contains the directory.
    pub file_system: Arc<dyn FileSystem>,
    /// Directory of the files of the ring.
    pub directory: PathBuf,
    /// Number and size of the files.
    pub options: RingOptions,
}

impl RingLocation {
    /// Returns the location of a ring on the native file system.
    #[must_use]
    pub fn native(directory: &Path, options: RingOptions) -> Self {
        Self { file_system: Arc::new(NativeFileSystem), directory: directory.to_owned(), options }
    }

    /// Returns a reader of the records of the ring.
    #[must_use]
    pub fn reader(&self) -> RecordReader {
        let file_system = Arc::clone(&self.file_system);
        RecordReader::of(RingDirectory::new(file_system, &self.directory, self.options))
    }

    /// Opens the ring, passes each record to `visitor`, and starts nothing.
    fn open(&self, visitor: RecordVisitor<'_>) -> Result<(Ring, RingIdentity), Report<StorageError>> {
        let opened = Ring::open_with(Arc::clone(&self.file_system), &self.directory, self.options, visitor);
        opened.attach_with(|| format!("directory {}", self.directory.display()))
    }

    /// Opens the ring and collects the contents of its records.
    fn open_and_collect(&self) -> Result<(Ring, Recovered), Report<StorageError>> {
        let mut records = Vec::new();
        let (ring, identity) = self.open(&mut |mut record: RecoveredRecord<'_>| {
            records.push((record.location().position, record.read_content()?));
            Ok(())
        })?;
        Ok((ring, Recovered::new(identity, records)))
    }
}

impl Journal {
    /// Opens or creates the ring in a directory of the native file system and returns the recovered
    /// records. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Ring::open`], or an error if the writer thread cannot be started.
    pub fn open(directory: &Path, options: RingOptions) -> Result<(Self, Recovered), Report<StorageError>> {
        Self::open_on(Arc::new(NativeFileSystem), directory, options)
    }

    /// Does the same as [`Journal::open`] on the given file system.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Journal::open`].
    pub fn open_on(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let location = RingLocation { file_system, directory: directory.to_owned(), options };
        let (ring, recovered) = location.open_and_collect()?;
        Ok((Self::spawn_writer(ring, &location)?, recovered))
    }

    /// Does the same as [`Journal::open`], but passes each record to `visitor` as it is found instead of
    /// collecting them all: [`Recovered::records`] is empty.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Journal::open`] and those of `visitor`.
    pub fn open_with(
        location: &RingLocation,
        mut visitor: impl FnMut(RecoveredRecord<'_>) -> Result<(), StorageError>,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let (ring, identity) = location.open(&mut visitor)?;
        Ok((Self::spawn_writer(ring, location)?, Recovered::new(identity, Vec::new())))
    }

    /// Opens a journal for simulations, with a future instead of the writer thread. After records are
    /// queued, the returned future awaits a future made by `sync_delay`, then writes all queued records as
    /// one batch. Nothing is written after the returned future is dropped, and pending appends then do not
    /// complete as long as a clone of the journal exists.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Ring::open`].
    pub fn open_paced(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
        sync_delay: impl FnMut() -> BoxFuture<'static, ()> + Send + 'static,
    ) -> Result<(Self, Recovered, BoxFuture<'static, ()>), Report<StorageError>> {
        let location = RingLocation { file_system, directory: directory.to_owned(), options };
        let (ring, recovered) = location.open_and_collect()?;
        let (journal, writer) = Self::paced(ring, &location, sync_delay);
        Ok((journal, recovered, writer))
    }

    /// Does the same as [`Journal::open_paced`], but passes each record to `visitor` as [`Journal::open_with`]
    /// does.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Journal::open_with`].
    pub fn open_paced_with(
        location: &RingLocation,
        mut visitor: impl FnMut(RecoveredRecord<'_>) -> Result<(), StorageError>,
        sync_delay: impl FnMut() -> BoxFuture<'static, ()> + Send + 'static,
    ) -> Result<(Self, Recovered, BoxFuture<'static, ()>), Report<StorageError>> {
        let (ring, identity) = location.open(&mut visitor)?;
        let (journal, writer) = Self::paced(ring, location, sync_delay);
        Ok((journal, Recovered::new(identity, Vec::new()), writer))
    }

    fn paced(
        ring: Ring,
        location: &RingLocation,
        sync_delay: impl FnMut() -> BoxFuture<'static, ()> + Send + 'static,
    ) -> (Self, BoxFuture<'static, ()>) {
        let queue = Arc::new(AppendQueue::new(&ring));
        let writer = Box::pin(Arc::clone(&queue).run_paced(ring, sync_delay));
        let backend = Backend::Queued(Arc::new(QueueHandle { queue }));
        (Self { backend, reads: None, reader: location.reader() }, writer)
    }

    /// Opens a journal for simulations, without a thread: [`append`](Journal::append) writes the record
    /// before it returns.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Ring::open`].
    pub fn open_inline(
        file_system: Arc<dyn FileSystem>,
        directory: &Path,
        options: RingOptions,
    ) -> Result<(Self, Recovered), Report<StorageError>> {
        let location = RingLocation { file_system, directory: directory.to_owned(), options };
        let (ring, recovered) = location.open_and_collect()?;
        let backend = Backend::Inline(Arc::new(Mutex::new(ring)));
        Ok((Self { backend, reads: None, reader: location.reader() }, recovered))
    }

    fn spawn_writer(ring: Ring, location: &RingLocation) -> Result<Self, Report<StorageError>> {
        let queue = Arc::new(AppendQueue::new(&ring));
        let writer = Arc::clone(&queue);
        let spawned = thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(move || writer.run(ring));
        spawned.map_err(StorageError::from)?;
        let backend = Backend::Queued(Arc::new(QueueHandle { queue }));
        Ok(Self { backend, reads: Some(Arc::new(ReadQueue::start()?)), reader: location.reader() })
    }

    /// Appends a record and completes when it is durable. The order of the records is the order of the calls,
    /// not of the first polls of the futures. The record is written even if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the record is too long, the ring is full or the disk fails. In the last two cases, all
    /// records of the batch that are not written yet fail too. Later appends may succeed.
    pub fn append(&self, record: Vec<u8>) -> impl Future<Output = Result<Position, StorageError>> + Send {
        let appended = self.append_content(Box::new(record));
        async move { appended.await.map(|location| location.position) }
    }

    /// Does the same as [`append`](Self::append) for a record that is encoded while it is written. Returns
    /// where its content can be read again.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`append`](Self::append).
    pub fn append_content(
        &self,
        record: Box<dyn RecordContent>,
    ) -> impl Future<Output = Result<RecordLocation, StorageError>> + Send {
        let (sender, receiver) = oneshot::channel();
        match &self.backend {
            Backend::Queued(handle) => handle.queue.enqueue(AppendRequest { record, sender }),
            Backend::Inline(ring) => {
                let outcome = lock(ring).append_contents(&[&*record]).pop();
                let _ = sender.send(outcome.unwrap_or(Err(StorageError::Closed)));
            }
        }
        async move { receiver.await.unwrap_or(Err(StorageError::Closed)) }
    }

    /// Declares that the records before `position` are no longer needed. With a queue, the ring applies the
    /// release when it writes the next batch.
    pub fn release(&self, position: Position) {
        match &self.backend {
            Backend::Queued(handle) => handle.queue.release(position),
            Backend::Inline(ring) => lock(ring).release(position),
        }
    }

    /// Returns a reader of the records of the ring, which blocks on the disk.
    #[must_use]
    pub fn reader(&self) -> RecordReader {
        self.reader.clone()
    }

    /// Runs a task that reads records, on a thread of its own. In simulations it has run when this returns.
    pub fn run_read(&self, task: ReadTask) {
        match &self.reads {
            Some(reads) => reads.push(task),
            None => task(),
        }
    }

    /// Returns how full the ring was after the last batch was written, or when it was opened.
    pub fn usage(&self) -> RingUsage {
        match &self.backend {
            Backend::Queued(handle) => handle.queue.usage(),
            Backend::Inline(ring) => lock(ring).usage(),
        }
    }
}

fn lock(ring: &Mutex<Ring>) -> MutexGuard<'_, Ring> {
    ring.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Handle to the queue, shared by the clones of a journal. Dropping it closes the queue, so that the writer
/// thread ends.
struct QueueHandle {
    queue: Arc<AppendQueue>,
}

impl Drop for QueueHandle {
    fn drop(&mut self) {
        self.queue.close();
    }
}
