//! Data folders that a released program has written are opened by this one.
//!
//! `golden/stored_data/` holds the disks of three nodes and three stores as the program of commit fe88581 left them at the
//! end of `rushrudder local --steps 5`, deflated, and what that program read from them. Neither may ever change.

use std::fmt::Write as _;
use std::io::Read;
use std::path::{Path, PathBuf};

use batch::{Entry, Record, Replicas};
use control_plane::AcceptorService;
use register::Incarnation;
use storage::{Journal, Recovered, RingOptions};
use yare::parameterized;

const NODE_DISK: RingOptions = RingOptions { segment_bytes: NODE_SEGMENT_BYTES, segments: NODE_SEGMENTS };
const STORE_DISK: RingOptions = RingOptions { segment_bytes: STORE_SEGMENT_BYTES, segments: STORE_SEGMENTS };
const NODE_SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
const NODE_SEGMENTS: usize = 8;
const STORE_SEGMENT_BYTES: u64 = 16 * 1024 * 1024;
/// Of a store with a disk of 500 MB.
const STORE_SEGMENTS: usize = 20;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/stored_data").join(name)
}

/// A folder for temporary files, removed when it is dropped.
struct Folder(PathBuf);

impl Folder {
    /// A folder that holds the stored disk of a process.
    fn with_disk_of(process: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("stored-data-{process}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for temporary files can be made");
        let deflated = std::fs::read(golden(&format!("{process}.ring-000.deflate"))).expect("a golden file");
        let mut ring = Vec::new();
        flate2::read::DeflateDecoder::new(&*deflated).read_to_end(&mut ring).expect("a deflated file");
        std::fs::write(folder.join("ring-000"), ring).expect("the folder can be written");
        Self(folder)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Folder, options: RingOptions) -> (Journal, Recovered) {
    let (journal, recovered) =
        Journal::open(folder.path(), options).expect("the disk of fe88581 can be opened");
    assert!(!recovered.is_new, "the ring was there before");
    assert!(!recovered.records.is_empty());
    (journal, recovered)
}

fn assert_golden(name: &str, actual: &str) {
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(golden(name), actual).expect("the golden file can be written");
    }
    assert_eq!(actual, std::fs::read_to_string(golden(name)).expect("a golden file"));
}

#[parameterized(
    node_1 = { "node-1" },
    node_2 = { "node-2" },
    node_3 = { "node-3" },
)]
fn the_committed_control_state_of_an_acceptor_is_read(process: &str) {
    let folder = Folder::with_disk_of(process);
    let (journal, recovered) = open(&folder, NODE_DISK);
    let incarnation = Incarnation(recovered.incarnation);
    let acceptor = AcceptorService::new(journal, incarnation, &recovered.records);
    assert!(acceptor.is_initialized());
    let committed = acceptor.committed().expect("a committed value");
    let state = &committed.value;
    assert!(state.acceptors.iter().any(|member| member.incarnation == incarnation));
    let text = format!(
        "ballot {} of {}\nrevision {}\nfence {}\nedition {}\nnamed versions {:?}\nacceptors {}\nstores {} in epoch {}\n{}\n",
        committed.ballot.round,
        committed.ballot.proposer,
        state.revision,
        state.fence,
        state.configuration_version,
        state.target_versions,
        state.acceptors.len(),
        state.stores.members.len(),
        state.stores.epoch,
        state.configuration.text().expect("a document that can be unpacked"),
    );
    assert_golden(&format!("{process}.txt"), &text);
}

#[parameterized(
    store_1 = { "store-1" },
    store_2 = { "store-2" },
    store_3 = { "store-3" },
)]
fn the_logs_of_all_batch_jobs_of_a_store_are_read(process: &str) {
    let folder = Folder::with_disk_of(process);
    let (_journal, recovered) = open(&folder, STORE_DISK);
    let decode =
        |(_, bytes): (_, Vec<u8>)| rpc::decode::<Vec<Record>>(&bytes).expect("records of batch jobs");
    let replicas = Replicas::recover(recovered.records.into_iter().flat_map(decode));
    let mut text = format!("epoch {}\n", replicas.epoch());
    for (job, log) in replicas.logs() {
        let results = log.entries.iter().filter(|entry| matches!(***entry, Entry::Result(_))).count();
        let is_ended = log.entries.iter().any(|entry| matches!(**entry, Entry::End));
        writeln!(
            text,
            "{job}: promised round {}, accepted round {}, {} entries, {results} results, ended {is_ended}",
            log.promised.number,
            log.accepted.number,
            log.entries.len(),
        )
        .expect("a string can be written");
    }
    assert_golden(&format!("{process}.txt"), &text);
}
