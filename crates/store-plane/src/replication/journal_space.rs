//! The space of the journal that is left for records other than those of its compaction.

use batch::{JobId, ReplicaRequest};
use storage::RingUsage;

use super::node::StoreNode;

/// Divisor that gives the part of the journal that is reserved for compaction.
const RESERVE_DIVISOR: u64 = 8;
/// Length up to which a record may take a part of the reserve.
const MAX_SHORT_RECORD_BYTES: u64 = 4096;

/// Whether a record of `length` bytes can be appended behind `pending_bytes` without the space that is reserved for
/// compaction. Short ones always can, so that a store still answers claims.
pub(super) fn has_space_for(usage: RingUsage, pending_bytes: u64, length: u64) -> bool {
    let RingUsage { used_bytes, capacity_bytes } = usage;
    let reserved_bytes = capacity_bytes / RESERVE_DIVISOR;
    length <= MAX_SHORT_RECORD_BYTES || used_bytes + pending_bytes + length + reserved_bytes <= capacity_bytes
}

impl StoreNode {
    /// Whether the journal has space for the entries of a request. If not, the request must not be executed: its
    /// entries would stay in memory, since they cannot be written.
    pub fn has_space_to_write(&self, job: &JobId, request: &ReplicaRequest) -> bool {
        let (bytes, pending_bytes) = {
            let state = self.lock();
            (state.replicas.written_bytes(job, request), state.durability.pending_append_bytes())
        };
        has_space_for(self.journal.usage(), pending_bytes as u64, bytes as u64)
    }

    /// Whether the journal has space for a submission of `bytes`.
    pub fn has_space_for_submission(&self, bytes: usize) -> bool {
        let pending_bytes = self.lock().durability.pending_append_bytes();
        has_space_for(self.journal.usage(), pending_bytes as u64, bytes as u64)
    }
}
