//! Compatibility with stored data: opens data directories that a released program has written.
//!
//! `golden/stored_data/` contains the journals of three nodes and three stores that the program of commit
//! fe88581 wrote in a run of `rushrudder local --steps 5`, in deflate format. For each journal, a text file
//! contains what that program read from it. These files must never change.

use std::fmt::Write as _;
use std::io::Read;
use std::path::{Path, PathBuf};

use batch::{EntryKind, Record, Replicas};
use control_plane::AcceptorService;
use golden_files::GoldenFiles;
use register::Incarnation;
use storage::{Journal, Recovered, RingOptions};
use yare::parameterized;

/// Size of the journal of a node.
const NODE_JOURNAL: RingOptions = RingOptions { segment_bytes: NODE_SEGMENT_BYTES, segments: NODE_SEGMENTS };
/// Size of the journal of a store.
const STORE_JOURNAL: RingOptions =
    RingOptions { segment_bytes: STORE_SEGMENT_BYTES, segments: STORE_SEGMENTS };
const NODE_SEGMENT_BYTES: u64 = 2 * 1024 * 1024;
const NODE_SEGMENTS: usize = 8;
const STORE_SEGMENT_BYTES: u64 = 16 * 1024 * 1024;
/// Number of journal segments of a store with a disk of 500 MB.
const STORE_SEGMENTS: usize = 20;

fn golden_files() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

/// A temporary directory, which is removed when the value is dropped.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    /// Creates a directory with the stored journal of a process.
    fn with_journal_of(process: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("stored-data-{process}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory can be created");
        let stored = golden_files().path(&format!("stored_data/{process}.ring-000.deflate"));
        let deflated = std::fs::read(stored).expect("the golden file exists");
        let mut ring = Vec::new();
        flate2::read::DeflateDecoder::new(&*deflated)
            .read_to_end(&mut ring)
            .expect("the golden file can be decompressed");
        std::fs::write(directory.join("ring-000"), ring).expect("the directory can be written");
        Self(directory)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Opens the journal in a directory, and checks that it existed and contains records.
fn open(directory: &TemporaryDirectory, options: RingOptions) -> (Journal, Recovered) {
    let (journal, recovered) =
        Journal::open(directory.path(), options).expect("the journal of commit fe88581 can be opened");
    assert!(!recovered.is_new, "the journal existed before");
    assert!(!recovered.records.is_empty());
    (journal, recovered)
}

fn assert_golden(name: &str, actual: &str) {
    golden_files().check(&format!("stored_data/{name}"), actual);
}

#[parameterized(
    node_1 = { "node-1" },
    node_2 = { "node-2" },
    node_3 = { "node-3" },
)]
fn given_the_stored_journal_of_a_node_when_opened_then_the_committed_control_state_is_recovered(
    process: &str,
) {
    let directory = TemporaryDirectory::with_journal_of(process);
    let (journal, recovered) = open(&directory, NODE_JOURNAL);
    let incarnation = Incarnation(recovered.incarnation);
    let acceptor = AcceptorService::new(journal, incarnation, &recovered.records);
    assert!(acceptor.is_initialized());
    let committed = acceptor.committed().expect("a value is committed");
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
        state.configuration.text().expect("the document can be decompressed"),
    );
    assert_golden(&format!("{process}.txt"), &text);
}

#[parameterized(
    store_1 = { "store-1" },
    store_2 = { "store-2" },
    store_3 = { "store-3" },
)]
fn given_the_stored_journal_of_a_store_when_opened_then_the_logs_of_all_batch_jobs_are_recovered(
    process: &str,
) {
    let directory = TemporaryDirectory::with_journal_of(process);
    let (_journal, recovered) = open(&directory, STORE_JOURNAL);
    let decode =
        |(_, bytes): (_, Vec<u8>)| rpc::decode::<Vec<Record>>(&bytes).expect("the record can be decoded");
    let mut replicas = Replicas::default();
    recovered.records.into_iter().flat_map(decode).for_each(|record| replicas.replay(record));
    let mut text = format!("epoch {}\n", replicas.epoch());
    for (job, log) in replicas.logs() {
        let results =
            log.entries.iter().filter(|entry| matches!(entry.kind(), EntryKind::Result { .. })).count();
        let is_ended = log.entries.iter().any(|entry| *entry.kind() == EntryKind::End);
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
