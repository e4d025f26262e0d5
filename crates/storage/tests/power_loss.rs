//! Recovery after losses of power that tear or drop unsynced writes.

mod common;

use std::ops::Range;
use std::path::Path;

use common::{append, append_filled, contents, open};
use storage::simulated::{PendingWrite, SimulatedDisk, WriteFaultModel, WriteOutcome};
use yare::parameterized;

/// Fault model in which the same range of each write and all names survive.
struct KeepRange(Range<usize>);

impl WriteFaultModel for KeepRange {
    fn write_outcome(&mut self, write: &PendingWrite<'_>) -> WriteOutcome {
        WriteOutcome::torn(self.0.start.min(write.length)..self.0.end.min(write.length))
    }

    fn keeps_name(&mut self, _path: &Path) -> bool {
        true
    }
}

/// Part of a torn write that survives: the bytes before or after the split.
#[derive(Clone, Copy)]
enum SurvivingPart {
    Before,
    After,
}

impl SurvivingPart {
    fn range(self, split: usize, length: usize) -> Range<usize> {
        match self {
            Self::Before => 0..split,
            Self::After => split..length,
        }
    }
}

/// Creates a disk with two acknowledged records and the unsynced writes of a failed append of `record`;
/// returns it with the length of the longest unsynced write. The first acknowledged record has `filled`
/// bytes, which decides whether `record` fits into the same segment.
fn disk_with_unsynced(record: &[u8], filled: usize) -> (SimulatedDisk, usize) {
    let disk = SimulatedDisk::new(11);
    let (mut ring, _, _) = open(&disk);
    append_filled(&mut ring, 1, filled);
    append_filled(&mut ring, 2, 10);
    disk.fail_syncs(1);
    append(&mut ring, record).expect_err("the sync fails");
    let mut length = 0;
    disk.for_each_pending(|write| length = length.max(write.length));
    (disk, length)
}

#[parameterized(
    start_of_record = { 50, SurvivingPart::Before },
    end_of_record = { 50, SurvivingPart::After },
    start_of_segment_header = { 380, SurvivingPart::Before },
    end_of_segment_header = { 380, SurvivingPart::After },
)]
fn given_a_torn_write_when_recovered_then_only_complete_records_are_found(
    filled: usize,
    part: SurvivingPart,
) {
    let record: Vec<u8> = (1..=90).collect();
    let (disk, length) = disk_with_unsynced(&record, filled);
    assert!(length > 0);
    for split in 0..=length {
        let copy = disk.duplicate();
        copy.lose_power(&mut KeepRange(part.range(split, length)));
        let (mut ring, mut records, _) = open(&copy);
        let acknowledged: Vec<_> = records.drain(..2).map(|(_, record)| record).collect();
        assert_eq!(acknowledged, [vec![1; filled], vec![2; 10]], "split {split}");
        let torn: Vec<_> = records.into_iter().map(|(_, record)| record).collect();
        assert!(torn.is_empty() || torn == std::slice::from_ref(&record), "split {split}");
        append(&mut ring, b"next").expect("the append succeeds");
        copy.kill();
        assert_eq!(contents(&copy).last(), Some(&b"next".to_vec()), "split {split}");
    }
}

/// "new-1" replaces "old-1", so that the bytes of "old-2" follow it. The generation drawn after the failed
/// write keeps "old-2" from continuing the chain.
#[test]
fn given_a_failed_batch_when_partly_overwritten_then_its_remaining_records_do_not_reappear() {
    let disk = SimulatedDisk::new(12);
    let (mut ring, _, _) = open(&disk);
    disk.fail_syncs(1);
    let failed = ring.append(&[b"old-1", b"old-2"]);
    assert!(failed.iter().all(Result::is_err));
    append(&mut ring, b"new-1").expect("the record is durable");
    disk.kill();
    assert_eq!(contents(&disk), [b"new-1"]);
}

/// "next" replaces "lost" with the same length, so that the bytes of "kept" follow it. The generation drawn
/// at the open keeps "kept" from continuing the chain.
#[test]
fn given_a_lost_record_before_a_surviving_one_when_appending_then_the_surviving_one_does_not_reappear() {
    let disk = SimulatedDisk::new(13);
    let (mut ring, _, _) = open(&disk);
    append(&mut ring, b"first").expect("the record is durable");
    disk.fail_syncs(1);
    ring.append(&[b"lost", b"kept"]);
    // 32 bytes is the length of a record header.
    let lost_bytes = 32 + b"lost".len();
    disk.lose_power(&mut KeepRange(lost_bytes..usize::MAX));
    let (mut ring, records, _) = open(&disk);
    assert_eq!(records.len(), 1);
    append(&mut ring, b"next").expect("the record is durable");
    disk.kill();
    assert_eq!(contents(&disk), [b"first".to_vec(), b"next".to_vec()]);
}

/// An open syncs the records that it returns, as their writer may have been killed before its own sync.
#[test]
fn given_recovered_unsynced_records_when_power_is_lost_then_they_survive() {
    let disk = SimulatedDisk::new(14);
    let (mut ring, _, _) = open(&disk);
    disk.fail_syncs(1);
    append(&mut ring, b"unsynced").expect_err("the sync fails");
    disk.kill();
    assert_eq!(contents(&disk), [b"unsynced"]);
    disk.lose_power(&mut storage::simulated::LoseUnsynced);
    assert_eq!(contents(&disk), [b"unsynced"]);
}
