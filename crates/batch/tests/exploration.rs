//! Seeded random runs of a simulated cluster of stores and owners. Messages are lost, duplicated and
//! reordered; machines crash and lose their disks; the store set changes.

mod cluster;

use cluster::{Cluster, Fault};
use yare::parameterized;

/// Number of random steps of each run.
const STEPS: usize = 4000;

#[parameterized(
    three_stores = { 3, 1, 0..3000 },
    five_stores = { 5, 2, 0..1500 },
    one_store_replaced = { 1, 1, 0..1000 },
)]
fn given_faults_when_owners_commit_then_nothing_is_lost_or_changed(
    members: usize,
    spares: usize,
    seeds: std::ops::Range<u64>,
) {
    let (mut committed, mut changes) = (0, 0);
    for seed in seeds {
        let mut cluster = Cluster::new(seed, members, spares, Fault::Nothing);
        if let Err(violation) = cluster.run(STEPS) {
            panic!("seed {seed}: {violation}");
        }
        committed += cluster.committed();
        changes += cluster.completed_changes();
        match cluster.recover() {
            Ok(true) => {}
            Ok(false) => panic!("seed {seed}: no entry can be added after the faults"),
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }

    assert!(committed > 1000, "the exploration commits too few entries: {committed}");
    assert!(changes > 100, "the exploration changes the store set too rarely: {changes}");
}

/// Checks that the random runs detect faulty implementations, so that their success is meaningful.
#[parameterized(
    forgotten_promises = { Fault::ForgetsPromises },
    early_replies = { Fault::RepliesBeforeSync },
    old_identity_without_disk = { Fault::KeepsIdentityWithoutDisk },
)]
fn given_a_faulty_store_when_explored_then_it_is_caught(fault: Fault) {
    let caught = (0..3000).any(|seed| Cluster::new(seed, 3, 1, fault).run(STEPS).is_err());

    assert!(caught, "{fault:?} was not caught");
}
