//! Divides the memory of a store among what grows with its batch jobs.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use batch::StoreId;
use rpc::{BudgetShare, MessageBudget};

/// Part of the memory for contents of entries that are on the disk as well.
const CACHE_DIVISOR: usize = 8;
/// Part of the memory for entries that owners have sent ahead, unless a single log needs more.
const STAGED_DIVISOR: usize = 4;
/// Part of the memory for entries that wait until they are durable, unless a single entry needs more.
const UNDURABLE_DIVISOR: usize = 8;
/// Part of the memory for requests of owners that are handled at the same time.
const REPLICATION_DIVISOR: usize = 16;
/// Part of the memory for submissions that are handled at the same time.
const SUBMISSION_DIVISOR: usize = 16;
/// Part of the memory for entries that are loaded from the disk at the same time to answer requests.
const LOAD_DIVISOR: usize = 16;
/// Part of the memory for requests to one store that are in flight at the same time.
const SENDING_DIVISOR: usize = 32;

/// The parts of a store's memory. Each bounds the bytes that are in memory for one purpose; a single message or
/// log that is larger than its part is in memory by itself.
pub(super) struct MemoryBudgets {
    /// Bytes of the cache of entries.
    pub cache_bytes: usize,
    /// Bytes of the entries that owners have sent ahead.
    pub staged_bytes: usize,
    /// Bytes of the entries that wait until they are durable, above which no batch job is accepted.
    pub undurable_bytes: usize,
    /// Requests of owners.
    pub replication: MessageBudget,
    /// Submissions of batch jobs.
    pub submissions: MessageBudget,
    /// Entries that are loaded to answer requests.
    pub loads: MessageBudget,
    /// Requests to each store.
    sending: Mutex<BTreeMap<StoreId, MessageBudget>>,
    sending_bytes: usize,
}

impl MemoryBudgets {
    /// Divides `memory_bytes`.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            cache_bytes: memory_bytes / CACHE_DIVISOR,
            staged_bytes: memory_bytes / STAGED_DIVISOR,
            undurable_bytes: memory_bytes / UNDURABLE_DIVISOR,
            replication: MessageBudget::new(memory_bytes / REPLICATION_DIVISOR),
            submissions: MessageBudget::new(memory_bytes / SUBMISSION_DIVISOR),
            loads: MessageBudget::new(memory_bytes / LOAD_DIVISOR),
            sending: Mutex::default(),
            sending_bytes: memory_bytes / SENDING_DIVISOR,
        }
    }

    /// Waits until a request with entries of `bytes` may be sent to a store; `None` if that takes too long.
    pub async fn acquire_for_sending(&self, store: StoreId, bytes: usize) -> Option<BudgetShare> {
        let budget = {
            let mut sending = self.sending.lock().unwrap_or_else(PoisonError::into_inner);
            sending.entry(store).or_insert_with(|| MessageBudget::new(self.sending_bytes)).clone()
        };
        budget.acquire(bytes).await
    }
}
