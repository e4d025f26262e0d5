//! Compaction of the journal. The journal is a ring, so old records that are still needed are written again
//! at its head before their space is released.

use batch::Record;

use super::super::node::StoreNode;
use super::super::state::ReplicationState;

/// Fraction of the journal in use above which compaction starts.
const COMPACTION_THRESHOLD: f64 = 0.6;
/// Maximum number of batch jobs whose snapshots are written in one maintenance round.
const MAX_SNAPSHOTS_PER_ROUND: usize = 8;

impl StoreNode {
    /// Writes snapshots of the batch jobs with the oldest records if the journal is too full, and releases
    /// the records that are no longer needed.
    pub fn compact(&self) {
        let mut state = self.lock();
        if self.journal.fill() > COMPACTION_THRESHOLD {
            state.write_snapshots();
        }
        let oldest_needed = state.durability.oldest_needed_position();
        drop(state);
        if oldest_needed < u64::MAX {
            self.journal.release(oldest_needed);
        }
    }
}

impl ReplicationState {
    /// Queues snapshots and the epoch behind all earlier records. Does not wait until they are durable, since
    /// the old records are released only after that.
    fn write_snapshots(&mut self) {
        for job in self.durability.jobs_with_oldest_records(MAX_SNAPSHOTS_PER_ROUND) {
            if !self.durability.has_pending_writes(&job) {
                let snapshot = self.replicas.snapshot(&job);
                drop(self.durability.persist(vec![snapshot]));
            }
        }
        let epoch = Record::Epoch(self.replicas.epoch());
        drop(self.durability.persist(vec![epoch]));
    }
}
