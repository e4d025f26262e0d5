//! Texts that are kept in memory, in case that their items come again in a later batch job.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use batch::{Item, ItemId};

use crate::runner::ports::{ItemProgress, JobAddress};

/// Memory that is counted for a kept text besides its events.
const ENTRY_BYTES: usize = 256;
/// Memory that is counted for an event besides its data.
const EVENT_BYTES: usize = 64;

/// Whether a text that was made by `versions` satisfies the version rules of a batch job.
#[must_use]
pub fn versions_fit(versions: &BTreeSet<u64>, oldest_version: u64, single_version: bool) -> bool {
    let fresh = versions.first().is_none_or(|&oldest| oldest >= oldest_version);
    fresh && (!single_version || versions.len() <= 1)
}

/// What is kept of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptText {
    /// Its events.
    pub progress: ItemProgress,
    /// Whether that is the whole text.
    pub is_whole: bool,
    /// The stamp of the reward call, once it was made.
    pub grade: Option<String>,
}

impl KeptText {
    fn bytes(&self) -> usize {
        let events: usize = self.progress.events.iter().map(|event| event.len() + EVENT_BYTES).sum();
        ENTRY_BYTES + events + self.grade.as_ref().map_or(0, String::len)
    }
}

/// Tells requests apart that would make different texts or grades under the same id.
fn fingerprint(address: &JobAddress, item: &Item) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&address.host, &address.model, &item.path, &item.headers, &item.body).hash(&mut hasher);
    let reward = item.reward.as_ref().map(|call| (&call.id, &call.host, &call.path, &call.body));
    reward.hash(&mut hasher);
    hasher.finish()
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    text: KeptText,
}

/// A bounded set of kept texts; the oldest give way.
#[derive(Debug)]
pub struct KeptTexts {
    entries: HashMap<ItemId, Entry>,
    ages: VecDeque<ItemId>,
    bytes: usize,
    bytes_most: usize,
}

impl KeptTexts {
    /// An empty set that holds about `bytes_most` at most.
    #[must_use]
    pub fn new(bytes_most: usize) -> Self {
        Self { entries: HashMap::new(), ages: VecDeque::new(), bytes: 0, bytes_most }
    }

    /// Keeps a text in place of what was kept of the item before.
    pub fn keep(&mut self, address: &JobAddress, item: &Item, text: KeptText) {
        self.bytes += text.bytes();
        let entry = Entry { fingerprint: fingerprint(address, item), text };
        match self.entries.insert(item.id.clone(), entry) {
            Some(before) => self.bytes -= before.text.bytes(),
            None => self.ages.push_back(item.id.clone()),
        }
        self.make_room();
    }

    /// What is kept of an item, if it is of the same request.
    #[must_use]
    pub fn find(&self, address: &JobAddress, item: &Item) -> Option<&KeptText> {
        let entry = self.entries.get(&item.id)?;
        (entry.fingerprint == fingerprint(address, item)).then_some(&entry.text)
    }

    fn make_room(&mut self) {
        while self.bytes > self.bytes_most {
            let Some(oldest) = self.ages.pop_front() else { return };
            if let Some(entry) = self.entries.remove(&oldest) {
                self.bytes -= entry.text.bytes();
            }
        }
    }
}
