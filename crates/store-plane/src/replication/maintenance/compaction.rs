//! Compaction of the journal. The journal is a ring, so old records that are still needed are written again
//! at its head before their space is released.

use batch::{JobId, Record};
use storage::RingUsage;

use super::super::node::StoreNode;
use super::super::state::ReplicationState;

/// Part of the journal in use, in percent, above which compaction starts.
const COMPACTION_THRESHOLD_PERCENT: u64 = 60;
/// Divisor that gives the part of the journal that records which are not needed have to take before
/// the others are written again.
const MIN_GARBAGE_DIVISOR: u64 = 8;
/// Divisor that gives the part of the free space that one round may fill.
const ROUND_DIVISOR: u64 = 2;

impl StoreNode {
    /// Begins the next round of compaction as soon as the snapshots of the last one are durable, since others may
    /// fill the journal meanwhile.
    pub fn continue_compaction(&self) {
        let has_finished_round = self.lock().durability.end_compaction();
        if has_finished_round {
            self.compact();
        }
    }

    /// Writes snapshots of the batch jobs with the oldest records if the journal is too full, and releases
    /// the records that are no longer needed.
    pub fn compact(&self) {
        let mut state = self.lock();
        let usage = self.journal.usage();
        if state.has_enough_garbage(usage) && !state.durability.is_compacting() {
            state.write_snapshots(usage.capacity_bytes.saturating_sub(usage.used_bytes));
        }
        let oldest_needed = state.durability.oldest_needed_position();
        drop(state);
        if oldest_needed < u64::MAX {
            self.journal.release(oldest_needed);
        }
    }
}

impl ReplicationState {
    /// Whether the journal is too full, and enough of it is taken by records that are not needed.
    fn has_enough_garbage(&self, usage: RingUsage) -> bool {
        let RingUsage { used_bytes, capacity_bytes } = usage;
        if used_bytes * 100 <= capacity_bytes * COMPACTION_THRESHOLD_PERCENT {
            return false;
        }
        let needed_bytes: u64 = self.replicas.logs().map(|(_, log)| log.content_bytes() as u64).sum();
        used_bytes.saturating_sub(needed_bytes) > capacity_bytes / MIN_GARBAGE_DIVISOR
    }

    /// Queues snapshots and the epoch behind all earlier records. Does not wait until they are durable, since
    /// the old records are released only after that, and the next round follows only then.
    fn write_snapshots(&mut self, free_bytes: u64) {
        let jobs = self.jobs_to_compact(free_bytes);
        for job in jobs.iter().filter(|job| !self.durability.has_pending_writes(job)).collect::<Vec<_>>() {
            let snapshot = self.replicas.snapshot(job);
            drop(self.durability.persist_compacted(vec![snapshot]));
        }
        let epoch = Record::Epoch(self.replicas.epoch());
        let durable = self.durability.persist_compacted(vec![epoch]);
        self.durability.set_compacting(durable);
    }

    /// Returns the batch jobs with the oldest records whose snapshots together fill a part of the free space; at
    /// least one, if its snapshot fits.
    fn jobs_to_compact(&self, free_bytes: u64) -> Vec<JobId> {
        let mut bytes = 0;
        let fits = |job: &JobId| {
            let is_first = bytes == 0;
            bytes += self.replicas.log(job).map_or(0, |log| log.content_bytes() as u64);
            bytes <= free_bytes / ROUND_DIVISOR || (is_first && bytes < free_bytes)
        };
        self.durability.jobs_by_oldest_record().into_iter().take_while(fits).collect()
    }
}
