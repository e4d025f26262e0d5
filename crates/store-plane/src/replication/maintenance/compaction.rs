//! Compaction of the journal: it is a ring, so old records that are still needed are written again at its head.

use batch::Record;

use super::super::node::StoreNode;
use super::super::state::ReplicationState;

/// Compaction begins when more than this part of the journal is in use.
const COMPACTION_THRESHOLD: f64 = 0.6;
/// At most this many batch jobs are written again in one round.
const MAX_SNAPSHOTS_PER_ROUND: usize = 8;

impl StoreNode {
    /// Writes snapshots of the batch jobs with the oldest records once the journal is filling up, and releases what no
    /// batch job needs any more.
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
    /// Queues snapshots, and the epoch, behind all earlier records. Nobody waits for them: the old records are released
    /// only once the new ones are durable.
    fn write_snapshots(&mut self) {
        for job in self.durability.jobs_with_oldest_records(MAX_SNAPSHOTS_PER_ROUND) {
            if !self.durability.has_pending_writes(&job) {
                let snapshot = self.replica.snapshot(&job);
                drop(self.durability.persist(vec![snapshot]));
            }
        }
        let epoch = Record::Epoch(self.replica.epoch());
        drop(self.durability.persist(vec![epoch]));
    }
}
