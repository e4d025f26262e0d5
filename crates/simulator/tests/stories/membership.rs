//! Machines are replaced, drained and removed.

use simulator::{ExternalReply, Fleet, FleetShape, MachineKind, OperatorOrder};
use yare::parameterized;

use crate::story::{assert_status, Story, ORDER_TIMEOUT};
use crate::support::{seconds, FIVE, SEEDS};

#[test]
fn given_a_replaced_machine_when_it_has_caught_up_then_the_former_is_no_member() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, FleetShape::default());
        story.fleet.replace(1);
        story.fleet.replace(4);
        let is_done = |fleet: &Fleet| {
            fleet.state(0).is_some_and(|state| {
                let has = |name: &str| state.acceptors.iter().any(|member| member.name == name);
                let stores = &state.stores.members;
                let has_store = |name: &str| stores.iter().any(|store| store.member.name == name);
                has("node-6") && !has("node-1") && has_store("store-7") && !has_store("store-4")
            })
        };
        assert!(story.fleet.run_until(seconds(40), is_done), "seed {seed}: {:?}", story.fleet.state(0));
    }
}

#[test]
fn given_enough_stores_when_one_is_drained_then_it_is_removed_without_loss() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, FleetShape { stores: 4, ..FleetShape::default() });
        story.submit("first");
        story.read_all();
        let drained = 3 + (seed as usize) % 4;
        let store = format!("store-{drained}");
        assert_status(&story.fleet.order(ORDER_TIMEOUT, &OperatorOrder::Retire(store.clone())), 200);
        let read = OperatorOrder::ReadRetirement(store);
        let deadline = story.fleet.now + seconds(30);
        while !matches!(story.fleet.order(ORDER_TIMEOUT, &read), ExternalReply::Status(200)) {
            assert!(story.fleet.now < deadline, "seed {seed}: it is not drained");
            story.fleet.run(seconds(1));
        }
        story.fleet.remove(drained);
        story.continue_normally();
    }
}

/// Which machines are replaced first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplacementOrder {
    /// The lease holder.
    Leader,
    /// A node that does not hold the lease.
    Follower,
    /// The node that was added last.
    Newest,
    /// Stores.
    Store,
}

/// The machines that are replaced next, as many as may fail at a time.
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
    leader_of_five = { FIVE, ReplacementOrder::Leader },
    follower_of_five = { FIVE, ReplacementOrder::Follower },
    newest_of_five = { FIVE, ReplacementOrder::Newest },
    store_of_five = { FIVE, ReplacementOrder::Store },
)]
fn given_machines_replaced_one_after_the_other_when_each_has_caught_up_then_the_fleet_serves(
    shape: FleetShape,
    order: ReplacementOrder,
) {
    for seed in SEEDS {
        let mut story = Story::begin(seed, shape);
        story.submit("first");
        for step in 0..5 {
            let removed = next_to_replace(&mut story.fleet, order);
            removed.iter().for_each(|machine| story.fleet.remove(*machine));
            story.fleet.run(seconds(1));
            let kinds = removed.iter().map(|machine| story.fleet.kind(*machine));
            let kinds: Vec<MachineKind> = kinds.collect();
            let added: Vec<usize> = kinds.into_iter().map(|kind| story.fleet.add(kind, false)).collect();
            let is_there = |fleet: &Fleet| added.iter().all(|machine| fleet.is_running(*machine));
            assert!(story.fleet.run_until(seconds(1), is_there), "seed {seed}");
            // From now on they have time to catch up; meanwhile the operator continues.
            let caught_up = story.fleet.now + shape.catch_up_time();
            story.change_configuration();
            assert!(story.fleet.now <= caught_up, "seed {seed}, step {step}: orders wait for too long");
            story.fleet.run(caught_up - story.fleet.now);
        }
        story.continue_normally();
    }
}
