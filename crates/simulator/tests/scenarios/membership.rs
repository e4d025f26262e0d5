//! Replacement, drain and removal of machines.

use simulator::{ExternalReply, Fleet, FleetShape, MachineKind, OperatorOrder};
use yare::parameterized;

use crate::scenario::{assert_status, Scenario, ORDER_TIMEOUT};
use crate::support::{seconds, FIVE_NODES, SEEDS};

#[test]
fn given_replaced_machines_when_their_successors_have_caught_up_then_the_successors_are_members_instead() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        scenario.fleet.replace(1);
        scenario.fleet.replace(4);
        let is_done = |fleet: &Fleet| {
            fleet.state(0).is_some_and(|state| {
                let has = |name: &str| state.acceptors.iter().any(|member| member.name == name);
                let stores = &state.stores.members;
                let has_store = |name: &str| stores.iter().any(|store| store.member.name == name);
                has("node-6") && !has("node-1") && has_store("store-7") && !has_store("store-4")
            })
        };
        assert!(
            scenario.fleet.run_until(seconds(40), is_done),
            "seed {seed}: the replaced machines are still members: {:?}",
            scenario.fleet.state(0)
        );
    }
}

#[test]
fn given_enough_stores_when_one_is_drained_and_removed_then_nothing_is_lost() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape { stores: 4, ..FleetShape::default() });
        scenario.submit_job("first");
        scenario.read_all_results();
        let drained = 3 + (seed as usize) % 4;
        let store = format!("store-{drained}");
        assert_status(
            &scenario.fleet.execute_order(ORDER_TIMEOUT, &OperatorOrder::Drain(store.clone())),
            200,
        );
        let read = OperatorOrder::ReadDrain(store);
        let deadline = scenario.fleet.now + seconds(30);
        while !matches!(scenario.fleet.execute_order(ORDER_TIMEOUT, &read), ExternalReply::Status(200)) {
            assert!(scenario.fleet.now < deadline, "seed {seed}: the store is not drained in time");
            scenario.fleet.run_for(seconds(1));
        }
        scenario.fleet.remove_machine(drained);
        scenario.assert_normal_operation();
    }
}

/// The machines that are preferred for replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplacementOrder {
    /// The lease holder.
    Leader,
    /// A node that does not hold the lease.
    Follower,
    /// The nodes that were added last.
    Newest,
    /// Random stores.
    Store,
}

/// Selects the machines that are replaced next: as many as may fail at the same time.
fn next_to_replace(fleet: &mut Fleet, order: ReplacementOrder) -> Vec<usize> {
    let leader = fleet.leader();
    let is_store = order == ReplacementOrder::Store;
    let mut present: Vec<usize> = fleet
        .machines()
        .filter(|machine| fleet.is_running(*machine) && fleet.is_store(*machine) == is_store)
        .collect();
    fleet.random.shuffle(&mut present);
    present.sort_by_key(|machine| match order {
        ReplacementOrder::Leader => Some(*machine) != leader,
        ReplacementOrder::Follower => Some(*machine) == leader,
        ReplacementOrder::Newest | ReplacementOrder::Store => false,
    });
    if order == ReplacementOrder::Newest {
        present.sort_by_key(|machine| std::cmp::Reverse(*machine));
    }
    present.truncate(fleet.shape().tolerated_failures);
    present
}

#[parameterized(
    leader_of_three = { FleetShape::default(), ReplacementOrder::Leader },
    follower_of_three = { FleetShape::default(), ReplacementOrder::Follower },
    newest_of_three = { FleetShape::default(), ReplacementOrder::Newest },
    store_of_three = { FleetShape::default(), ReplacementOrder::Store },
    leader_of_five = { FIVE_NODES, ReplacementOrder::Leader },
    follower_of_five = { FIVE_NODES, ReplacementOrder::Follower },
    newest_of_five = { FIVE_NODES, ReplacementOrder::Newest },
    store_of_five = { FIVE_NODES, ReplacementOrder::Store },
)]
fn given_machines_replaced_one_after_another_when_each_has_caught_up_then_the_fleet_operates_normally(
    shape: FleetShape,
    order: ReplacementOrder,
) {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, shape);
        scenario.submit_job("first");
        for step in 0..5 {
            let removed = next_to_replace(&mut scenario.fleet, order);
            removed.iter().for_each(|machine| scenario.fleet.remove_machine(*machine));
            scenario.fleet.run_for(seconds(1));
            let kinds = removed.iter().map(|machine| scenario.fleet.kind(*machine));
            let kinds: Vec<MachineKind> = kinds.collect();
            let added: Vec<usize> =
                kinds.into_iter().map(|kind| scenario.fleet.add_machine(kind, false)).collect();
            let all_started = |fleet: &Fleet| added.iter().all(|machine| fleet.is_running(*machine));
            assert!(
                scenario.fleet.run_until(seconds(1), all_started),
                "seed {seed}: an added machine has not started in time"
            );
            // The added machines have the catch-up time from now on. Orders must be acknowledged during this
            // time.
            let caught_up = scenario.fleet.now + shape.catch_up_time();
            scenario.change_configuration();
            assert!(
                scenario.fleet.now <= caught_up,
                "seed {seed}, step {step}: the change was acknowledged only after the catch-up time"
            );
            scenario.fleet.run_for(caught_up - scenario.fleet.now);
        }
        scenario.assert_normal_operation();
    }
}
