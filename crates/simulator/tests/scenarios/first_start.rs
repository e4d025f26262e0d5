//! First start of a system in which the first coordinator fails. The coordinator is the seed that forms the
//! initial value of the register from the announcements of the machines.

use std::time::Duration;

use simulator::{Fleet, FleetShape, OperatorOrder};

use crate::scenario::{assert_status, document};
use crate::support::{seconds, SEEDS};

#[test]
fn given_a_coordinator_that_fails_during_the_first_start_when_another_takes_over_then_the_system_starts() {
    for seed in 0..40 {
        let mut fleet = Fleet::start(seed, FleetShape::default());
        // Removes node 0, the first coordinator, at a different moment of the first start with each seed.
        fleet.run_for(Duration::from_millis(2400 + 60 * seed));
        fleet.remove_machine(0);
        let order = OperatorOrder::Put { expected: 0, body: document(1) };
        assert_status(&fleet.execute_order(seconds(40), &order), 200);
        let acceptors =
            fleet.machines().filter_map(|machine| fleet.state(machine)).map(|state| state.acceptors.clone());
        assert!(
            acceptors.collect::<Vec<_>>().windows(2).all(|pair| pair[0] == pair[1]),
            "seed {seed}: processes have different acceptors"
        );
    }
}

#[test]
fn given_a_coordinator_that_reached_some_machines_when_another_takes_over_then_all_agree_on_one_value() {
    for seed in SEEDS {
        let mut fleet = Fleet::start(seed, FleetShape::default());
        // Node 0, the first coordinator, receives no messages from the stores, and node 2 receives none from
        // node 0.
        for store in 3..6 {
            fleet.network.partition_one_way(store, 0);
        }
        fleet.network.partition_one_way(0, 2);
        fleet.run_for(Duration::from_millis(5600));
        fleet.remove_machine(0);
        fleet.network.heal();
        let order = OperatorOrder::Put { expected: 0, body: document(1) };
        assert_status(&fleet.execute_order(seconds(40), &order), 200);
        let all_joined = |fleet: &Fleet| fleet.state(2).is_some_and(|state| state.stores.members.len() == 3);
        assert!(
            fleet.run_until(seconds(40), all_joined),
            "seed {seed}: not all stores have joined: {:?}",
            fleet.state(2)
        );
    }
}
