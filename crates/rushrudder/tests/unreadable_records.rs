//! Recovery of a journal with damaged records. A disk with a record that cannot be decoded counts as failed;
//! a disk whose last record was torn by a loss of power does not.

use std::path::Path;

use control_plane::check_acceptor_record;
use error_stack::Report;
use rushrudder::control::{first_unreadable, open_or_set_aside};
use storage::simulated::{LoseUnsynced, SimulatedDisk};
use storage::{Journal, Recovered, RingOptions, StorageError};
use yare::parameterized;

const DIRECTORY: &str = "/data";
const OPTIONS: RingOptions = RingOptions { segment_bytes: 4096, segments: 4 };

/// Opens the journal on a simulated disk as an acceptor does. If the disk counts as failed, a new journal is
/// created.
fn open(disk: &SimulatedDisk) -> (Journal, Recovered) {
    let file_system = disk.file_system();
    let unreadable = |recovered: &Recovered| first_unreadable(recovered, check_acceptor_record);
    let open = || Journal::open_inline(disk.file_system(), Path::new(DIRECTORY), OPTIONS);
    let opened: Result<_, Report<StorageError>> =
        open_or_set_aside(&*file_system, Path::new(DIRECTORY), unreadable, open);
    opened.expect("the journal can be opened")
}

/// Valid record of an acceptor: a promise of round 0.
const PROMISE: &[u8] = &[0, 0, 0];

#[parameterized(
    unknown_format = { b"a record of another build" },
    excess_bytes = { &[0, 0, 0, 0] },
    empty = { b"" },
)]
fn given_a_record_that_cannot_be_decoded_when_the_disk_is_opened_then_it_counts_as_failed(record: &[u8]) {
    let disk = SimulatedDisk::new(1);
    let (journal, first) = open(&disk);
    drop(journal.append(PROMISE.to_vec()));
    drop(journal.append(record.to_vec()));
    drop(journal);
    let (journal, second) = open(&disk);
    assert!(second.is_new && second.incarnation != first.incarnation, "{second:?}");
    assert!(second.records.is_empty(), "{second:?}");
    let names = disk.file_system().list(Path::new(DIRECTORY)).expect("the directory can be listed");
    assert!(
        names.iter().any(|name| name == "unreadable-ring-000"),
        "the files of the old journal are kept: {names:?}"
    );
    drop(journal.append(PROMISE.to_vec()));
    drop(journal);
    let (_, third) = open(&disk);
    assert_eq!((third.incarnation, third.records.len()), (second.incarnation, 1));
}

#[test]
fn given_a_torn_last_record_when_the_disk_is_opened_then_the_records_before_it_are_recovered() {
    let disk = SimulatedDisk::new(2);
    let (journal, first) = open(&disk);
    drop(journal.append(PROMISE.to_vec()));
    disk.fail_syncs(1);
    drop(journal.append(PROMISE.to_vec()));
    disk.lose_power(&mut LoseUnsynced);
    let (_, second) = open(&disk);
    assert_eq!((second.incarnation, second.records.len()), (first.incarnation, 1));
}

#[test]
fn given_an_interrupted_set_aside_when_the_disk_is_opened_then_it_counts_as_failed() {
    let disk = SimulatedDisk::new(3);
    let (journal, first) = open(&disk);
    drop(journal.append(PROMISE.to_vec()));
    drop(journal);
    drop(
        disk.file_system()
            .open(&Path::new(DIRECTORY).join("setting-aside"))
            .expect("the file can be created"),
    );
    let (_, second) = open(&disk);
    assert!(second.is_new && second.incarnation != first.incarnation);
}
