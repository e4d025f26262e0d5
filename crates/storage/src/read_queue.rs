//! The thread on which the contents of records are read again, so that a slow disk blocks nothing else.

use std::sync::mpsc;
use std::thread;

use crate::StorageError;

/// Name of the thread that reads and blocks on the disk.
const THREAD_NAME: &str = "journal-reader";

/// Work that reads from the disk.
pub type ReadTask = Box<dyn FnOnce() + Send>;

/// Handle to a thread that runs tasks one after the other, so that one read at a time is in memory. The thread
/// ends when the handle is dropped and the tasks are done.
pub(crate) struct ReadQueue {
    tasks: mpsc::Sender<ReadTask>,
}

impl ReadQueue {
    /// Starts the thread.
    pub fn start() -> Result<Self, StorageError> {
        let (tasks, queued) = mpsc::channel::<ReadTask>();
        let run = move || queued.into_iter().for_each(|task| task());
        thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(run)?;
        Ok(Self { tasks })
    }

    /// Queues a task.
    pub fn push(&self, task: ReadTask) {
        // The thread ends only if a task panicked. Whoever waits for the task then sees its channel closed.
        let _ = self.tasks.send(task);
    }
}
