//! No acknowledged work is lost when machines, disks or power fail.

use simulator::{Fleet, FleetShape};
use yare::parameterized;

use crate::faults::*;
use crate::scenario::Scenario;
use crate::support::{has_recovered, seconds, CATCH_UP_TIME, FIVE_NODES, SEEDS};

#[parameterized(
    without_fault = { no_fault },
    node_replaced = { replace_node },
    leader_replaced = { replace_leader },
    store_replaced = { replace_store },
    node_loses_disk = { lose_disk_of_node },
    store_loses_disk = { lose_disk_of_store },
    all_nodes_killed = { kill_all_nodes },
    all_machines_killed = { kill_all_machines },
    power_lost = { lose_power_of_all },
    power_and_disks_lost = { lose_disks_of_node_and_store_and_power_of_others },
    leader_frozen = { freeze_leader },
    leader_isolated = { isolate_leader },
    leader_cannot_send = { stop_messages_from_leader },
    leader_cannot_receive = { stop_messages_to_leader },
    store_frozen = { freeze_store },
    lossy_network = { make_network_lossy },
)]
fn given_acknowledged_work_when_a_fault_follows_then_nothing_is_lost(inject_fault: InjectFault) {
    for shape in [FleetShape::default(), FIVE_NODES] {
        for seed in SEEDS {
            println!("seed {seed}, {} nodes", shape.nodes);
            let mut scenario = Scenario::start(seed, shape);
            scenario.set_target_version();
            scenario.submit_job("first");
            match seed % 4 {
                0 => scenario.await_rollout(),
                1 => scenario.change_configuration(),
                2 => scenario.read_all_results(),
                _ => {}
            }
            inject_fault(&mut scenario.fleet);
            scenario.assert_normal_operation();
        }
    }
}

#[test]
fn given_two_tolerated_failures_when_two_nodes_and_two_stores_lose_their_disks_then_nothing_is_lost() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FIVE_NODES);
        scenario.submit_job("first");
        for lost in [0, 1, 5, 6] {
            scenario.fleet.lose_disk(lost);
        }
        // All four machines restart within a second and then have the catch-up time.
        let caught_up = scenario.fleet.now + seconds(1) + CATCH_UP_TIME;
        scenario.assert_normal_operation();
        scenario.fleet.run_for(caught_up.saturating_sub(scenario.fleet.now));
        for lost in [2, 3, 7, 8] {
            scenario.fleet.replace(lost);
        }
        scenario.fleet.run_for(seconds(25));
        scenario.assert_normal_operation();
    }
}

#[parameterized(
    one_store = { &[5] },
    two_stores = { &[5, 6] },
    two_nodes = { &[0, 1] },
    two_nodes_and_two_stores = { &[0, 1, 5, 6] },
)]
fn given_lost_disks_when_the_machines_return_then_the_fleet_recovers_within_the_catch_up_time(
    lost: &[usize],
) {
    let mut times = Vec::new();
    for seed in 0..60 {
        let mut scenario = Scenario::start(seed, FIVE_NODES);
        scenario.submit_job("first");
        scenario.read_all_results();
        lost.iter().for_each(|machine| scenario.fleet.lose_disk(*machine));
        let lost_at = scenario.fleet.now;
        let all_run = |fleet: &Fleet| fleet.machines().all(|machine| fleet.is_running(machine));
        assert!(
            scenario.fleet.run_until(seconds(2), all_run),
            "seed {seed}: not all machines have restarted in time"
        );
        let returned_at = scenario.fleet.now;
        assert!(
            scenario.fleet.run_until(seconds(30), has_recovered),
            "seed {seed}: the fleet has not recovered in time: {:?}",
            scenario.fleet.state(4)
        );
        times.push(scenario.fleet.now - returned_at);
        assert!(
            scenario.fleet.now - lost_at <= seconds(1) + CATCH_UP_TIME,
            "seed {seed}: recovery took {:?} after the return of the machines",
            scenario.fleet.now - returned_at
        );
    }
    times.sort_unstable();
    println!(
        "recovery took {:?} (median) and {:?} (maximum)",
        times[times.len() / 2],
        times[times.len() - 1]
    );
}

#[test]
fn given_an_isolated_store_when_another_store_loses_its_disk_then_the_migration_waits_for_the_isolated_one() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        // Only two of three replicas have the batch job. One of them is isolated, and the other loses its
        // disk.
        scenario.fleet.network.isolate(4, 6);
        scenario.submit_job("first");
        scenario.fleet.network.heal();
        scenario.fleet.network.isolate(3, 6);
        scenario.fleet.lose_disk(5);
        scenario.fleet.run_for(seconds(12));
        // The store with the new disk replies at the same address, but it has not migrated the data of the
        // lost disk.
        let is_migrating = scenario.fleet.state(0).is_some_and(|state| state.previous_stores.is_some());
        assert!(
            is_migrating,
            "seed {seed}: the migration ended without the isolated store: {:?}",
            scenario.fleet.state(0)
        );
        scenario.fleet.network.heal();
        assert!(
            scenario.fleet.run_until(seconds(10), has_recovered),
            "seed {seed}: no recovery after the partition"
        );
        scenario.assert_normal_operation();
    }
}
