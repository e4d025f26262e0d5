//! Explores random runs with lost, repeated and reordered messages, restarts, lost disks, concurrent
//! proposers and changes of the acceptors. Each committed value must descend from the one before.

mod common;

use std::ops::Range;

use common::simulation::{ClusterSize, SeededFault, Simulation};
use yare::parameterized;

/// Number of random events in one run.
const STEPS: usize = 4000;

/// Runs a simulation until the oracle finds a violation, for at most `STEPS` events.
fn simulate(seed: u64, size: ClusterSize, fault: SeededFault) -> Simulation {
    let mut simulation = Simulation::new(seed, size, fault);
    simulation.run(STEPS);
    simulation
}

#[parameterized(
    three = { ClusterSize { acceptors: 3, spares: 0, proposers: 2 }, 0..1500 },
    three_and_a_spare = { ClusterSize { acceptors: 3, spares: 1, proposers: 2 }, 0..1500 },
    three_and_two_spares = { ClusterSize { acceptors: 3, spares: 2, proposers: 3 }, 0..1500 },
    four = { ClusterSize { acceptors: 4, spares: 1, proposers: 3 }, 0..1500 },
    two_and_a_spare = { ClusterSize { acceptors: 2, spares: 1, proposers: 2 }, 0..1500 },
    five = { ClusterSize { acceptors: 5, spares: 0, proposers: 3 }, 0..1500 },
    one_and_three_spares = { ClusterSize { acceptors: 1, spares: 3, proposers: 2 }, 0..1500 },
)]
fn given_any_faults_when_values_are_committed_then_each_descends_from_the_one_before(
    size: ClusterSize,
    seeds: Range<u64>,
) {
    let (mut chosen, mut confirmations, mut acceptor_changes) = (0, 0, 0);
    for seed in seeds.clone() {
        let simulation = simulate(seed, size, SeededFault::None);
        if let Some(violation) = &simulation.oracle.violation {
            panic!("seed {seed}: {violation}");
        }
        chosen += simulation.oracle.chosen_count();
        confirmations += simulation.confirmations;
        acceptor_changes += simulation.acceptor_changes;
    }
    println!("{size:?} chosen={chosen} confirmations={confirmations} acceptor_changes={acceptor_changes}");
    let runs = seeds.count();
    assert!(chosen > 3 * runs, "too few values were chosen: {chosen} in {runs} runs");
    assert!(confirmations > runs / 2, "too few values were confirmed: {confirmations} in {runs} runs");
    assert!(
        acceptor_changes > runs / 2,
        "the acceptors changed too rarely: {acceptor_changes} times in {runs} runs"
    );
}

#[parameterized(
    forgotten_promise = { SeededFault::ForgottenPromise },
    forgotten_value = { SeededFault::ForgottenValue },
    reply_before_durable = { SeededFault::ReplyBeforeDurable },
    any_incarnation = { SeededFault::AnyIncarnation },
    uncommitted_base = { SeededFault::UncommittedBase },
)]
fn given_a_seeded_fault_when_explored_then_the_oracle_finds_a_violation(fault: SeededFault) {
    let size = ClusterSize { acceptors: 3, spares: 2, proposers: 3 };
    let found = (0..20_000).find(|seed| simulate(*seed, size, fault).oracle.violation.is_some());
    println!("{fault:?}: first seed {found:?}");
    assert!(found.is_some());
}
