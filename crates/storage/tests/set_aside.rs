//! [`set_aside`]: the files of a ring are renamed, and the next open creates a new ring.

mod common;

use std::path::Path;

use common::{open, DIRECTORY};
use storage::simulated::{LoseUnsynced, SimulatedDisk};
use storage::{is_set_aside_interrupted, set_aside};

/// Returns the names of all files in the directory of the ring.
fn file_names(disk: &SimulatedDisk) -> Vec<String> {
    disk.file_system().list(Path::new(DIRECTORY)).expect("the directory can be listed")
}

#[test]
fn given_a_ring_when_set_aside_then_its_files_are_kept_and_the_next_open_creates_a_new_ring() {
    let disk = SimulatedDisk::new(1);
    let (mut ring, _, first) = open(&disk);
    assert!(ring.append(&[b"one"]).iter().all(Result::is_ok));
    drop(ring);
    set_aside(&*disk.file_system(), Path::new(DIRECTORY)).expect("the ring is set aside");
    disk.lose_power(&mut LoseUnsynced);
    assert!(file_names(&disk).iter().any(|name| name == "unreadable-ring-000"), "{:?}", file_names(&disk));
    let (_, records, second) = open(&disk);
    assert!(second.is_new && second.incarnation != first.incarnation);
    assert!(records.is_empty(), "{records:?}");
}

#[test]
fn given_an_interrupted_set_aside_when_checked_then_it_is_reported_until_repeated() {
    let disk = SimulatedDisk::new(2);
    drop(open(&disk));
    let (file_system, directory) = (disk.file_system(), Path::new(DIRECTORY));
    assert!(!is_set_aside_interrupted(&*file_system, directory).expect("the directory can be listed"));
    drop(file_system.open(&directory.join("setting-aside")).expect("the marker file can be created"));
    file_system.sync_directory(directory).expect("the directory is synced");
    disk.lose_power(&mut LoseUnsynced);
    let file_system = disk.file_system();
    assert!(is_set_aside_interrupted(&*file_system, directory).expect("the directory can be listed"));
    set_aside(&*file_system, directory).expect("the ring is set aside");
    assert!(!is_set_aside_interrupted(&*file_system, directory).expect("the directory can be listed"));
}
