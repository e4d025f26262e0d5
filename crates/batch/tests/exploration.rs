//! Seeded exploration of stores and owners over loss, duplication, reordering, crashes, lost disks and changes of
//! the store set.

mod world;

use world::{Fault, World};
use yare::parameterized;

const STEPS: usize = 4000;

#[parameterized(
    three_stores = { 3, 1, 0..3000 },
    five_stores = { 5, 2, 0..1500 },
    one_store_moving = { 1, 1, 0..1000 },
)]
fn given_trouble_when_owners_commit_then_nothing_is_lost_or_changed(
    members: usize,
    spares: usize,
    seeds: std::ops::Range<u64>,
) {
    let (mut committed, mut moved) = (0, 0);
    for seed in seeds {
        let mut world = World::new(seed, members, spares, Fault::Nothing);
        if let Err(violation) = world.run(STEPS) {
            panic!("seed {seed}: {violation}");
        }
        committed += world.shown();
        moved += world.epochs_moved;
        match world.calm_down() {
            Ok(true) => {}
            Ok(false) => panic!("seed {seed}: no entry can be added after the trouble"),
            Err(violation) => panic!("seed {seed}: {violation}"),
        }
    }

    assert!(committed > 1000, "the exploration commits too little: {committed}");
    assert!(moved > 100, "the exploration moves too little: {moved}");
}

#[parameterized(
    forgotten_promises = { Fault::ForgetsPromises },
    early_replies = { Fault::RepliesBeforeSync },
    old_identity_without_disk = { Fault::KeepsIdentityWithoutDisk },
)]
fn given_a_faulty_store_when_explored_then_it_is_caught(fault: Fault) {
    let caught = (0..3000).any(|seed| World::new(seed, 3, 1, fault).run(STEPS).is_err());

    assert!(caught, "{fault:?} was not caught");
}
