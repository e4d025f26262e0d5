//! Random explorations: loss, repetition and reordering of messages, restarts, lost disks, concurrent proposers
//! and changes of the acceptors. Committed values must follow one from the other.

mod common;

use std::ops::Range;

use common::world::{Fault, Shape, World};
use yare::parameterized;

const STEPS: usize = 4000;

fn world(seed: u64, shape: Shape, fault: Fault) -> World {
    let mut world = World::new(seed, shape, fault);
    world.run(STEPS);
    world
}

#[parameterized(
    three = { Shape { acceptors: 3, spares: 0, proposers: 2 }, 0..1500 },
    three_and_a_spare = { Shape { acceptors: 3, spares: 1, proposers: 2 }, 0..1500 },
    three_and_two_spares = { Shape { acceptors: 3, spares: 2, proposers: 3 }, 0..1500 },
    four = { Shape { acceptors: 4, spares: 1, proposers: 3 }, 0..1500 },
    two_and_a_spare = { Shape { acceptors: 2, spares: 1, proposers: 2 }, 0..1500 },
    five = { Shape { acceptors: 5, spares: 0, proposers: 3 }, 0..1500 },
    one_and_three_spares = { Shape { acceptors: 1, spares: 3, proposers: 2 }, 0..1500 },
)]
fn given_any_trouble_when_values_are_committed_then_each_follows_the_one_before(
    shape: Shape,
    seeds: Range<u64>,
) {
    let (mut chosen, mut confirmations, mut member_changes) = (0, 0, 0);
    for seed in seeds.clone() {
        let world = world(seed, shape, Fault::Nothing);
        if let Some(fault) = &world.oracle.fault {
            panic!("seed {seed}: {fault}");
        }
        chosen += world.oracle.chosen_count();
        confirmations += world.confirmations;
        member_changes += world.member_changes;
    }
    println!("{shape:?} chosen={chosen} confirmations={confirmations} member_changes={member_changes}");
    let worlds = seeds.count();
    assert!(chosen > 3 * worlds, "the exploration gets somewhere: {chosen} in {worlds} worlds");
    assert!(confirmations > worlds / 2, "values are confirmed: {confirmations} in {worlds} worlds");
    assert!(member_changes > worlds / 2, "acceptors change: {member_changes} in {worlds} worlds");
}

#[parameterized(
    forgotten_promise = { Fault::ForgottenPromise },
    forgotten_value = { Fault::ForgottenValue },
    reply_before_durable = { Fault::ReplyBeforeDurable },
    any_incarnation = { Fault::AnyIncarnation },
    uncommitted_base = { Fault::UncommittedBase },
)]
fn given_a_seeded_fault_when_explored_then_it_is_found(fault: Fault) {
    let shape = Shape { acceptors: 3, spares: 2, proposers: 3 };
    let found = (0..20_000).find(|seed| world(*seed, shape, fault).oracle.fault.is_some());
    println!("{fault:?}: first seed {found:?}");
    assert!(found.is_some());
}
