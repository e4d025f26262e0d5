//! Rings on disks that run out of space.

mod common;

use common::{append, append_filled, contents, open, try_open};
use storage::simulated::{LoseUnsynced, SimulatedDisk};
use storage::{Ring, StorageError};
use yare::parameterized;

#[test]
fn given_no_space_for_the_first_file_when_opened_then_it_fails_until_space_is_freed() {
    let disk = SimulatedDisk::new(21);
    disk.set_capacity(Some(0));
    assert_eq!(try_open(disk.file_system()).map(|_| ()), Err(StorageError::NoSpace));
    disk.set_capacity(None);
    let (mut ring, _, identity) = open(&disk);
    assert!(identity.is_new);
    append_filled(&mut ring, 1, 10);
}

/// Appends records until there is no space; returns the number of durable records.
fn fill(ring: &mut Ring) -> u8 {
    let mut count = 0;
    loop {
        match append(ring, &[count; 150]) {
            Ok(_) => count += 1,
            Err(error) => {
                assert_eq!(error, StorageError::NoSpace);
                return count;
            }
        }
    }
}

#[parameterized(
    killed = { false },
    power_lost = { true },
)]
fn given_a_full_disk_when_space_is_freed_then_appends_succeed_and_no_durable_record_is_lost(
    loses_power: bool,
) {
    let disk = SimulatedDisk::new(22);
    let (mut ring, _, _) = open(&disk);
    // One page of 4096 bytes is allocated for the first file; the second file does not fit.
    disk.set_capacity(Some(4096));
    let durable = fill(&mut ring);
    assert!(durable > 0);
    for _ in 0..3 {
        assert_eq!(append(&mut ring, &[99; 5]), Err(StorageError::NoSpace));
    }
    disk.set_capacity(None);
    append(&mut ring, b"after").expect("the append succeeds");
    if loses_power {
        disk.lose_power(&mut LoseUnsynced);
    } else {
        disk.kill();
    }
    let found = contents(&disk);
    assert_eq!(found.len(), usize::from(durable) + 1);
    assert_eq!(found.last(), Some(&b"after".to_vec()));
}

#[test]
fn given_a_failed_start_of_a_segment_when_appending_then_the_previous_segment_is_not_extended() {
    let disk = SimulatedDisk::new(23);
    let (mut ring, _, _) = open(&disk);
    append_filled(&mut ring, 1, 250);
    // The record needs a new segment, whose header is written but not synced.
    disk.fail_syncs(1);
    append(&mut ring, &[2; 250]).expect_err("the sync fails");
    append_filled(&mut ring, 3, 10);
    disk.kill();
    assert_eq!(contents(&disk), [vec![1; 250], vec![3; 10]]);
}

#[test]
fn given_too_little_space_for_a_batch_when_appended_then_exactly_the_written_records_are_acknowledged() {
    let disk = SimulatedDisk::new(24);
    let (mut ring, _, _) = open(&disk);
    disk.set_capacity(Some(4096));
    let outcomes = ring.append(&[[1; 150], [2; 150], [3; 150], [4; 150]]);
    let acknowledged = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert_eq!(acknowledged, 2);
    disk.lose_power(&mut LoseUnsynced);
    assert_eq!(contents(&disk), [vec![1; 150], vec![2; 150]]);
}
