//! [`LogEntry`]: an entry of a log, whose content may be on the disk only.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::Xxh3;

use super::log::{Entry, ENTRY_OVERHEAD_BYTES};
use crate::ItemId;

/// Error of [`LogEntry::load`]: the content of an entry could not be read from the disk. Contains the cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadError(pub String);

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an entry of a batch job could not be read from the disk: {}", self.0)
    }
}

impl std::error::Error for LoadError {}

/// An entry as it is stored on a disk.
pub trait StoredEntry: Send + Sync {
    /// Reads the entry. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails, or if what is stored is not the entry any more.
    fn load(&self) -> Result<Entry, LoadError>;

    /// Reads the bytes of `range` of the encoded form of the entry, which are not verified. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails, or if the encoded form is shorter.
    fn read(&self, range: Range<u64>) -> Result<Vec<u8>, LoadError>;

    /// Returns the length of the encoded form of the entry in bytes, and its CRC-32.
    fn encoded_form(&self) -> (u64, u32);
}

/// What is known of an entry while its content is on the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// The batch job as it was submitted.
    Job {
        /// Number of items in the job.
        total: u32,
    },
    /// The result of an item.
    Result {
        /// Identity of the item.
        id: ItemId,
    },
    /// Marks that the trainer ended the batch job.
    End,
}

impl EntryKind {
    fn of(entry: &Entry) -> Self {
        match entry {
            Entry::Job(submitted) => Self::Job { total: submitted.total },
            Entry::Result(result) => Self::Result { id: Arc::clone(&result.id) },
            Entry::End => Self::End,
        }
    }
}

/// An entry of a log. Its content is in memory, on the disk of this store, or both. Clones share the content, so
/// that what one of them no longer keeps in memory, none does.
#[derive(Clone)]
pub struct LogEntry {
    shared: Arc<SharedEntry>,
}

struct SharedEntry {
    kind: EntryKind,
    size_bytes: usize,
    content: Mutex<EntryContent>,
}

/// Where the content is; at least one of them is present.
struct EntryContent {
    resident: Option<Arc<Entry>>,
    stored: Option<Arc<dyn StoredEntry>>,
    /// Hash of the content, which is computed when it is needed; present once the content is stored.
    hash: Option<u64>,
}

impl EntryContent {
    fn hash(&mut self) -> Option<u64> {
        self.hash = self.hash.or_else(|| self.resident.as_deref().map(hash_of));
        self.hash
    }
}

impl From<Entry> for LogEntry {
    fn from(entry: Entry) -> Self {
        Self::from(Arc::new(entry))
    }
}

impl From<Arc<Entry>> for LogEntry {
    fn from(entry: Arc<Entry>) -> Self {
        let (kind, size_bytes) = (EntryKind::of(&entry), entry.size_bytes());
        let content = Mutex::new(EntryContent { resident: Some(entry), stored: None, hash: None });
        Self { shared: Arc::new(SharedEntry { kind, size_bytes, content }) }
    }
}

impl LogEntry {
    /// Returns what is known of the entry without its content.
    #[must_use]
    pub fn kind(&self) -> &EntryKind {
        &self.shared.kind
    }

    /// Returns about how many bytes the entry takes, see [`Entry::size_bytes`].
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.shared.size_bytes
    }

    /// Returns the size of the content alone in bytes, which is less than the entry takes in a message or on a
    /// disk.
    #[must_use]
    pub fn content_bytes(&self) -> usize {
        self.shared.size_bytes.saturating_sub(ENTRY_OVERHEAD_BYTES)
    }

    /// Returns the content if it is in memory.
    #[must_use]
    pub fn resident(&self) -> Option<Arc<Entry>> {
        self.lock().resident.clone()
    }

    /// Returns the entry on the disk; `None` if it is not durable yet.
    #[must_use]
    pub fn stored(&self) -> Option<Arc<dyn StoredEntry>> {
        self.lock().stored.clone()
    }

    /// Returns the content, which is read from the disk if it is not in memory. It does not stay in memory for
    /// that. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// Fails if the content cannot be read.
    pub fn load(&self) -> Result<Arc<Entry>, LoadError> {
        let stored = {
            let content = self.lock();
            match (&content.resident, &content.stored) {
                (Some(entry), _) => return Ok(Arc::clone(entry)),
                (None, stored) => stored.clone(),
            }
        };
        let stored = stored.ok_or_else(|| LoadError("it is neither in memory nor on the disk".to_owned()))?;
        stored.load().map(Arc::new)
    }

    /// Records that the entry was written to the disk, or written again elsewhere. Returns whether it was
    /// not on the disk before.
    pub fn set_stored(&self, stored: Arc<dyn StoredEntry>) -> bool {
        let mut content = self.lock();
        content.hash();
        content.stored.replace(stored).is_none()
    }

    /// Whether `durable` has the same content and is on the disk.
    pub(super) fn is_stored_as(&self, durable: &Self) -> bool {
        let is_alike = (self.kind(), self.size_bytes()) == (durable.kind(), durable.size_bytes());
        if !is_alike || durable.stored().is_none() {
            return false;
        }
        // A separate statement, since both may be the same entry.
        let hash = self.lock().hash();
        hash.is_some() && hash == durable.lock().hash()
    }

    /// Uses the content of `durable` on the disk, which is the same ([`is_stored_as`](Self::is_stored_as)), and
    /// removes its own from memory.
    pub(super) fn use_stored(&self, durable: &Self) {
        if let Some(stored) = durable.stored() {
            self.set_stored(stored);
            self.evict();
        }
    }

    /// Keeps a content in memory that was loaded from the disk. Returns whether none was in memory before.
    pub fn keep_loaded(&self, loaded: Arc<Entry>) -> bool {
        let mut content = self.lock();
        let is_absent = content.resident.is_none();
        content.resident.get_or_insert(loaded);
        is_absent
    }

    /// Removes the content from memory if it is on the disk.
    pub fn evict(&self) {
        let mut content = self.lock();
        if content.stored.is_some() {
            content.resident = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, EntryContent> {
        self.shared.content.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn hash_of(entry: &Entry) -> u64 {
    let mut hasher = Xxh3::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

impl PartialEq for LogEntry {
    /// Whether both contents can be read and are equal.
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.shared, &other.shared)
            || matches!((self.load(), other.load()), (Ok(entry), Ok(other)) if entry == other)
    }
}

impl Eq for LogEntry {}

impl fmt::Debug for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shared = &self.shared;
        f.debug_struct("LogEntry")
            .field("kind", &shared.kind)
            .field("size_bytes", &shared.size_bytes)
            .finish()
    }
}

impl Serialize for LogEntry {
    /// Encodes the content as an [`Entry`], and fails if it cannot be read.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.load().map_err(serde::ser::Error::custom)?.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for LogEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Entry::deserialize(deserializer).map(Self::from)
    }
}
