//! Nothing that was acknowledged is lost when machines, disks or power fail.

use simulator::{Fleet, FleetShape};
use yare::parameterized;

use crate::faults::*;
use crate::story::Story;
use crate::support::{has_recovered, seconds, CATCH_UP, FIVE, SEEDS};

#[parameterized(
    without_fault = { no_fault },
    node_replaced = { a_node_is_replaced },
    leader_replaced = { the_leader_is_replaced },
    store_replaced = { a_store_is_replaced },
    node_loses_disk = { a_node_loses_its_disk },
    store_loses_disk = { a_store_loses_its_disk },
    core_killed = { all_nodes_are_killed },
    all_killed = { all_are_killed },
    power_lost = { all_lose_power },
    power_and_disks_lost = { one_of_each_loses_its_disk_while_all_others_lose_power },
    leader_frozen = { the_leader_freezes },
    leader_isolated = { the_leader_is_isolated },
    leader_cannot_send = { the_leader_cannot_send },
    leader_cannot_receive = { the_leader_cannot_receive },
    store_frozen = { a_store_freezes },
    lossy_network = { the_network_is_lossy },
)]
fn given_a_running_system_when_a_fault_follows_an_acknowledgement_then_nothing_is_lost(
    inject_fault: InjectFault,
) {
    for shape in [FleetShape::default(), FIVE] {
        for seed in SEEDS {
            println!("seed {seed}, {} nodes", shape.nodes);
            let mut story = Story::begin(seed, shape);
            story.name_version();
            story.submit("first");
            match seed % 4 {
                0 => story.roll_out(),
                1 => story.change_configuration(),
                2 => story.read_all(),
                _ => {}
            }
            inject_fault(&mut story.fleet);
            story.continue_normally();
        }
    }
}

#[test]
fn given_two_tolerated_failures_when_two_disks_are_lost_at_a_time_then_nothing_is_lost() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, FIVE);
        story.submit("first");
        for lost in [0, 1, 5, 6] {
            story.fleet.lose_disk(lost);
        }
        // All of them return within a second; from then on they have time to catch up.
        let caught_up = story.fleet.now + seconds(1) + CATCH_UP;
        story.continue_normally();
        story.fleet.run(caught_up.saturating_sub(story.fleet.now));
        for lost in [2, 3, 7, 8] {
            story.fleet.replace(lost);
        }
        story.fleet.run(seconds(25));
        story.continue_normally();
    }
}

#[parameterized(
    one_store = { &[5] },
    two_stores = { &[5, 6] },
    two_nodes = { &[0, 1] },
    two_nodes_and_two_stores = { &[0, 1, 5, 6] },
)]
fn given_lost_disks_when_the_machines_return_then_the_fleet_recovers_before_they_count_as_back(
    lost: &[usize],
) {
    let mut times = Vec::new();
    for seed in 0..60 {
        let mut story = Story::begin(seed, FIVE);
        story.submit("first");
        story.read_all();
        lost.iter().for_each(|machine| story.fleet.lose_disk(*machine));
        let lost_at = story.fleet.now;
        let all_run = |fleet: &Fleet| fleet.machines().all(|machine| fleet.is_running(machine));
        assert!(story.fleet.run_until(seconds(2), all_run));
        let returned_at = story.fleet.now;
        assert!(story.fleet.run_until(seconds(30), has_recovered), "seed {seed}: {:?}", story.fleet.state(4));
        times.push(story.fleet.now - returned_at);
        assert!(
            story.fleet.now - lost_at <= seconds(1) + CATCH_UP,
            "seed {seed}: {:?}",
            story.fleet.now - returned_at
        );
    }
    times.sort_unstable();
    println!("recovered after {:?} (median), {:?} at most", times[times.len() / 2], times[times.len() - 1]);
}

#[test]
fn given_an_isolated_store_when_another_loses_its_disk_then_the_migration_does_not_end_without_the_first() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, FleetShape::default());
        // Two of three replicas have the batch job; of these one is isolated, and the disk of the other is lost.
        story.fleet.network.isolate(4, 6);
        story.submit("first");
        story.fleet.network.heal();
        story.fleet.network.isolate(3, 6);
        story.fleet.lose_disk(5);
        story.fleet.run(seconds(12));
        // The new disk answers at the address of the lost one; it has not migrated what that one had.
        let is_migrating = story.fleet.state(0).is_some_and(|state| state.previous_stores.is_some());
        assert!(is_migrating, "seed {seed}: {:?}", story.fleet.state(0));
        story.fleet.network.heal();
        assert!(story.fleet.run_until(seconds(10), has_recovered), "seed {seed}");
        story.continue_normally();
    }
}
