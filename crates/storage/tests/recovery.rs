//! Recovery of a ring when it is opened.

mod common;

use std::path::Path;

use common::{append, append_filled, contents, open, try_open, DIRECTORY, OPTIONS};
use storage::simulated::{LoseUnsynced, SimulatedDisk};
use storage::{Position, Ring, RingOptions, RingUsage, StorageError};
use yare::parameterized;

#[test]
fn given_an_empty_disk_when_opened_then_the_ring_is_new_and_keeps_its_incarnation() {
    let disk = SimulatedDisk::new(1);
    let (_, records, first) = open(&disk);
    disk.lose_power(&mut LoseUnsynced);
    let (_, _, second) = open(&disk);
    assert!(records.is_empty());
    assert!(first.is_new);
    assert!(!second.is_new);
    assert_eq!(first.incarnation, second.incarnation);
}

#[test]
fn given_a_wiped_disk_when_opened_then_the_incarnation_changes() {
    let disk = SimulatedDisk::new(1);
    let (_, _, first) = open(&disk);
    disk.wipe();
    let (_, _, second) = open(&disk);
    assert!(second.is_new);
    assert_ne!(first.incarnation, second.incarnation);
}

#[test]
fn given_acknowledged_records_when_power_is_lost_then_all_are_recovered_in_order() {
    let disk = SimulatedDisk::new(2);
    let (mut ring, _, _) = open(&disk);
    let outcomes = ring.append(&[b"one".as_slice(), b"", b"three"]);
    append(&mut ring, b"four").expect("the record is durable");
    disk.lose_power(&mut LoseUnsynced);
    let (_, records, _) = open(&disk);
    let positions: Vec<_> = records.iter().map(|(position, _)| *position).collect();
    assert_eq!(positions[..3], outcomes.into_iter().map(Result::unwrap).collect::<Vec<_>>());
    assert_eq!(contents(&disk), [b"one".as_slice(), b"", b"three", b"four"]);
}

#[test]
fn given_a_ring_that_wrapped_around_often_when_opened_then_overwritten_records_are_not_recovered() {
    let disk = SimulatedDisk::new(3);
    let (mut ring, _, _) = open(&disk);
    for number in 0..200_u8 {
        let position = append_filled(&mut ring, number, 100);
        ring.release(position);
    }
    disk.lose_power(&mut LoseUnsynced);
    let found = contents(&disk);
    let first = 200 - found.len();
    let expected: Vec<_> = (first..200).map(|number| vec![number as u8; 100]).collect();
    assert_eq!(found, expected);
    assert!(found.len() <= 8, "released segments were read: {} records found", found.len());
}

#[test]
fn given_a_full_ring_when_records_are_released_then_appends_succeed_again() {
    let disk = SimulatedDisk::new(4);
    let (mut ring, _, _) = open(&disk);
    let mut last = Position(0);
    let error = loop {
        match append(&mut ring, &[7; 200]) {
            Ok(position) => last = position,
            Err(error) => break error,
        }
    };
    assert_eq!(error, StorageError::RingFull);
    assert_eq!(append(&mut ring, &[7; 200]), Err(StorageError::RingFull));
    let full = ring.usage();
    ring.release(last);
    assert!(ring.usage().used_bytes < full.used_bytes / 2);
    let next = append(&mut ring, &[8; 200]).expect("the append succeeds");
    assert_eq!(next, Position(last.0 + 1));
    disk.lose_power(&mut LoseUnsynced);
    assert_eq!(contents(&disk).last(), Some(&vec![8; 200]));
}

#[test]
fn given_a_new_ring_when_opened_then_its_usage_is_small() {
    let (ring, _, _) = open(&SimulatedDisk::new(5));
    let RingUsage { used_bytes, capacity_bytes } = ring.usage();
    assert_eq!(capacity_bytes, 2048);
    assert!(used_bytes < 100);
}

#[parameterized(
    at_the_limit = { 0, true },
    above_the_limit = { 1, false },
)]
fn given_a_record_near_the_limit_when_appended_then_it_is_accepted_only_if_it_fits(
    excess: usize,
    fits: bool,
) {
    let disk = SimulatedDisk::new(6);
    let (mut ring, _, _) = open(&disk);
    let limit = OPTIONS.max_record_bytes();
    let records = [vec![1; 10], vec![2; limit + excess], vec![3; 10]];
    let outcomes = ring.append(&records);
    assert!(outcomes[0].is_ok() && outcomes[2].is_ok());
    assert_eq!(outcomes[1].is_ok(), fits);
    disk.lose_power(&mut LoseUnsynced);
    assert_eq!(contents(&disk).len(), if fits { 3 } else { 2 });
}

#[parameterized(
    in_a_record = { 64 + 32 + 5 },
    in_a_record_header = { 64 + 9 },
    in_the_segment_header = { 20 },
)]
fn given_a_corrupt_older_segment_when_opened_then_the_segment_is_reported(offset: u64) {
    let disk = SimulatedDisk::new(7);
    let (mut ring, _, _) = open(&disk);
    for number in 0..8 {
        append_filled(&mut ring, number, 120);
    }
    disk.kill();
    disk.corrupt(&Path::new(DIRECTORY).join("ring-001"), offset);
    let outcome = try_open(disk.file_system()).map(|_| ());
    assert_eq!(outcome, Err(StorageError::Corrupt { segment: 1 }));
}

#[parameterized(
    one_segment = { RingOptions { segment_bytes: 512, segments: 1 } },
    no_space_for_a_record = { RingOptions { segment_bytes: 96, segments: 4 } },
)]
fn given_invalid_options_when_opened_then_they_are_rejected(options: RingOptions) {
    let disk = SimulatedDisk::new(8);
    let outcome = Ring::open(disk.file_system(), Path::new(DIRECTORY), options, &mut |_, _| {});
    assert_eq!(outcome.map(|_| ()), Err(StorageError::InvalidOptions));
}

#[test]
fn given_changed_options_when_opened_then_it_fails_and_the_records_are_kept() {
    let disk = SimulatedDisk::new(9);
    let (mut ring, _, _) = open(&disk);
    append_filled(&mut ring, 1, 10);
    disk.kill();
    let options = RingOptions { segment_bytes: 1024, segments: 4 };
    let outcome = Ring::open(disk.file_system(), Path::new(DIRECTORY), options, &mut |_, _| {});
    let expected = StorageError::OptionsChanged { segment_bytes: 512, segments: 4 };
    assert_eq!(outcome.map(|_| ()), Err(expected));
    assert_eq!(contents(&disk), [vec![1; 10]]);
}

#[test]
fn given_a_large_ring_with_few_records_when_reopened_then_few_bytes_are_read() {
    let disk = SimulatedDisk::new(10);
    let options = RingOptions { segment_bytes: 1 << 20, segments: 16 };
    let open_large = || Ring::open(disk.file_system(), Path::new(DIRECTORY), options, &mut |_, _| {});
    let (mut ring, _) = open_large().expect("the ring opens");
    append_filled(&mut ring, 1, 1000);
    let before = disk.counters();
    open_large().expect("the ring opens");
    let after = disk.counters();
    assert!(after.read_bytes - before.read_bytes < 80_000, "{after:?}");
    assert!(after.syncs - before.syncs <= 2, "{after:?}");
}
