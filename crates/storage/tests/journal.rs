//! [`Journal`] with a writer thread, and without one (inline).

mod common;

use std::future::Future;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::task::{Context, Poll, Waker};

use common::{contents, DIRECTORY, OPTIONS};
use storage::simulated::{LoseUnsynced, SimulatedDisk};
use storage::{Journal, Position, RingLocation, RingOptions, StorageError};
use tokio::runtime::{Builder, Runtime};

fn runtime() -> Runtime {
    Builder::new_current_thread().build().expect("the runtime starts")
}

fn open(disk: &SimulatedDisk, options: RingOptions) -> Journal {
    let (journal, _) =
        Journal::open_on(disk.file_system(), Path::new(DIRECTORY), options).expect("the journal opens");
    journal
}

#[test]
fn given_appends_when_completed_then_the_records_are_durable() {
    let disk = SimulatedDisk::new(31);
    let journal = open(&disk, OPTIONS);
    let positions: Vec<_> = runtime().block_on(async {
        let (first, second) = (journal.append(b"one".to_vec()), journal.append(b"two".to_vec()));
        vec![first.await, second.await]
    });
    disk.lose_power(&mut LoseUnsynced);
    assert_eq!(positions, [Ok(Position(1)), Ok(Position(2))]);
    assert_eq!(contents(&disk), [b"one", b"two"]);
}

#[test]
fn given_a_stalled_disk_when_records_are_appended_then_callers_do_not_block_and_records_share_syncs() {
    let disk = SimulatedDisk::new(32);
    let journal = open(&disk, RingOptions { segment_bytes: 1 << 16, segments: 2 });
    let before = disk.counters();
    disk.set_stalled(true);
    let appends: Vec<_> = (0..100).map(|number| journal.append(vec![number; 20])).collect();
    let mut last = pin!(journal.append(b"last".to_vec()));
    let mut context = Context::from_waker(Waker::noop());
    assert!(matches!(last.as_mut().poll(&mut context), Poll::Pending));
    disk.set_stalled(false);
    runtime().block_on(async {
        for append in appends {
            append.await.expect("the record is durable");
        }
        last.await.expect("the record is durable");
    });
    let after = disk.counters();
    assert!(after.syncs - before.syncs <= 2, "{before:?} {after:?}");
    assert!(after.writes - before.writes <= 2, "{before:?} {after:?}");
}

#[test]
fn given_a_dropped_append_future_when_a_later_append_completes_then_both_records_are_durable() {
    let disk = SimulatedDisk::new(33);
    let journal = open(&disk, OPTIONS);
    drop(journal.append(b"one".to_vec()));
    runtime().block_on(journal.append(b"two".to_vec())).expect("the record is durable");
    disk.kill();
    assert_eq!(contents(&disk), [b"one", b"two"]);
}

#[test]
fn given_a_killed_process_when_it_appends_then_the_append_fails() {
    let disk = SimulatedDisk::new(34);
    let journal = open(&disk, OPTIONS);
    disk.kill();
    let outcome = runtime().block_on(journal.append(b"one".to_vec()));
    assert!(matches!(outcome, Err(StorageError::Disk { .. })));
}

#[test]
fn given_released_records_when_the_ring_wraps_around_often_then_it_never_fills() {
    let disk = SimulatedDisk::new(35);
    let journal = open(&disk, OPTIONS);
    runtime().block_on(async {
        for number in 0..100 {
            let position = journal.append(vec![number; 100]).await.expect("the record is durable");
            journal.release(position);
            let usage = journal.usage();
            assert!(usage.used_bytes <= usage.capacity_bytes);
        }
    });
    let (_, recovered) =
        Journal::open_on(disk.file_system(), Path::new(DIRECTORY), OPTIONS).expect("the journal opens");
    assert_eq!(recovered.records.last(), Some(&(Position(100), vec![99; 100])));
}

#[test]
fn given_an_inline_journal_when_polled_once_then_the_append_is_complete() {
    let disk = SimulatedDisk::new(36);
    let opened = Journal::open_inline(disk.file_system(), Path::new(DIRECTORY), OPTIONS);
    let (journal, recovered) = opened.expect("the journal opens");
    let mut append = pin!(journal.append(b"one".to_vec()));
    let mut context = Context::from_waker(Waker::noop());
    assert!(recovered.is_new);
    assert_eq!(append.as_mut().poll(&mut context), Poll::Ready(Ok(Position(1))));
}

#[test]
fn given_the_native_file_system_when_reopened_then_the_records_are_found() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("journal").join("nested");
    let _ = std::fs::remove_dir_all(&directory);
    let (journal, first) = Journal::open(&directory, OPTIONS).expect("the journal opens");
    runtime().block_on(async {
        for number in 0..20 {
            let position = journal.append(vec![number; 90]).await.expect("the record is durable");
            journal.release(position);
        }
    });
    let (_, second) = Journal::open(&directory, OPTIONS).expect("the journal opens");
    let mut visited = Vec::new();
    let opened = Journal::open_with(&RingLocation::native(&directory, OPTIONS), |mut record| {
        visited.push((record.location().position, record.read_content()?));
        Ok(())
    });
    let (_, third) = opened.expect("the journal opens");
    assert!(first.is_new && !second.is_new);
    assert_eq!(first.incarnation, second.incarnation);
    assert_eq!(second.records.last(), Some(&(Position(20), vec![19; 90])));
    assert_eq!(visited, second.records);
    assert!(third.records.is_empty());
}
