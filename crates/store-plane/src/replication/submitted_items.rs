//! Reads single items of submitted batch jobs, whose submissions need not be in memory.

use std::ops::Range;

use batch::{Entry, EntryKind, Item, ItemOutline, JobId, LoadError, LogEntry};
use tokio::sync::oneshot;

use super::node::StoreNode;

impl StoreNode {
    /// Returns an item of a batch job. `submission` is the first entry of the job's log when it was parsed. If its
    /// content can no longer be read, since this store has adopted the log of another replica, the item is read
    /// from the present log.
    ///
    /// # Errors
    ///
    /// Fails if the item cannot be read.
    pub async fn load_item(
        &self,
        job: &JobId,
        submission: LogEntry,
        item: &ItemOutline,
    ) -> Result<Item, LoadError> {
        let error = match self.load_item_of(submission, item).await {
            Ok(item) => return Ok(item),
            Err(error) => error,
        };
        let present = {
            let state = self.lock();
            let owned = state.ownerships.get(job);
            owned.and_then(|owned| owned.ownership.log().first().cloned())
        };
        match present {
            Some(submission) => self.load_item_of(submission, item).await,
            None => Err(error),
        }
    }

    async fn load_item_of(&self, submission: LogEntry, item: &ItemOutline) -> Result<Item, LoadError> {
        if submission.resident().is_some() {
            return read_item(&submission, item);
        }
        let share = self.budgets.loads.acquire(item.json.len()).await;
        let _share = share.ok_or_else(|| LoadError("there is no memory for it".to_owned()))?;
        let (sender, loaded) = oneshot::channel();
        let item = item.clone();
        self.journal.run_read(Box::new(move || {
            // Sending fails if nobody waits any more.
            let _ = sender.send(read_item(&submission, &item));
        }));
        loaded.await.unwrap_or_else(|_| Err(LoadError("the reader of the disk has ended".to_owned())))
    }
}

/// Reads an item from the content of the first entry of a log. Blocks on the disk unless the content is in memory.
fn read_item(submission: &LogEntry, item: &ItemOutline) -> Result<Item, LoadError> {
    let parse = |json: &[u8]| item.parse(json).map_err(|error| LoadError(error.to_string()));
    if let Some(entry) = submission.resident() {
        let Entry::Job(submitted) = &*entry else { return Err(no_submission()) };
        return parse(submitted.body.get(item.json.clone()).unwrap_or_default());
    }
    let stored = submission.stored().ok_or_else(no_submission)?;
    let (length, _) = stored.encoded_form();
    parse(&stored.read(encoded_range(submission, length, &item.json)?)?)
}

/// Returns where the bytes of `range` of the body of a submission stand in the encoded form of its entry, which has
/// `length` bytes: the body is followed by the number of items only.
fn encoded_range(submission: &LogEntry, length: u64, range: &Range<usize>) -> Result<Range<u64>, LoadError> {
    let EntryKind::Job { total } = submission.kind() else { return Err(no_submission()) };
    let behind_start = (submission.content_bytes() + rpc::encoded_length(total)) as u64;
    let start = length.checked_sub(behind_start).ok_or_else(no_submission)?;
    Ok(start + range.start as u64..start + range.end as u64)
}

fn no_submission() -> LoadError {
    LoadError("it is not a submission".to_owned())
}
