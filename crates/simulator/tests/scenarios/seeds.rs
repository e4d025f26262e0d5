//! After a failure of all machines, all processes find the acceptors again although their seeds are nodes
//! without a disk.

use std::time::Duration;

use simulator::{Fleet, FleetShape};
use yare::parameterized;

use crate::faults::{kill_all_machines, lose_power_of_all};
use crate::scenario::Scenario;
use crate::support::{seconds, SEEDS};

/// Three nodes, three diskless nodes and three stores, of which one may fail.
const THREE_NODES_WITH_DISKLESS: FleetShape = FleetShape {
    nodes: 3,
    diskless_nodes: 3,
    stores: 3,
    servers: 4,
    tolerated_failures: 1,
    ..FleetShape::DEFAULT
};
/// Five nodes, four diskless nodes and five stores, of which two may fail.
const FIVE_NODES_WITH_DISKLESS: FleetShape = FleetShape {
    nodes: 5,
    diskless_nodes: 4,
    stores: 5,
    servers: 6,
    tolerated_failures: 2,
    ..FleetShape::DEFAULT
};
/// Time limit for the recovery after all machines have restarted (setting `recoverS`).
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Makes all machines fail.
type FailAll = fn(&mut Fleet);

fn lose_disk_of_store_and_power_of_others(fleet: &mut Fleet) {
    let lost = fleet.nodes().end;
    fleet.machines().filter(|machine| *machine != lost).for_each(|machine| fleet.lose_power(machine));
    fleet.lose_disk(lost);
}

fn lose_disk_of_node_and_power_of_others(fleet: &mut Fleet) {
    fleet.machines().skip(1).for_each(|machine| fleet.lose_power(machine));
    fleet.lose_disk(0);
}

/// Whether every process has the newest state, and a majority of the acceptors has confirmed it in the last
/// two seconds.
fn all_have_newest_state(fleet: &Fleet) -> bool {
    let newest =
        fleet.machines().filter_map(|machine| fleet.state(machine)).map(|state| state.revision).max();
    fleet.machines().all(|machine| {
        let revision = fleet.state(machine).map(|state| state.revision);
        revision == newest && fleet.confirmed_age(machine).is_some_and(|age| age < seconds(2))
    })
}

/// Changes the seeds in all settings.
type SetSeeds = fn(&mut Fleet);

/// Makes the first three diskless nodes the seeds of all machines.
fn seed_with_diskless_nodes(fleet: &mut Fleet) {
    let seeds: Vec<usize> = fleet.diskless_nodes().take(3).collect();
    fleet.machines().for_each(|machine| fleet.set_seeds(machine, seeds.clone()));
}

/// Makes each diskless node the seed of the next one. The first diskless node and all other machines get the
/// last one.
fn seed_with_chain_of_diskless_nodes(fleet: &mut Fleet) {
    let diskless = fleet.diskless_nodes();
    for machine in fleet.machines() {
        let is_after_another = diskless.contains(&machine) && machine > diskless.start;
        fleet.set_seeds(machine, vec![if is_after_another { machine - 1 } else { diskless.end - 1 }]);
    }
}

#[parameterized(
    all_killed = { seed_with_diskless_nodes, kill_all_machines },
    power_lost = { seed_with_diskless_nodes, lose_power_of_all },
    power_and_disk_of_store_lost = { seed_with_diskless_nodes, lose_disk_of_store_and_power_of_others },
    power_and_disk_of_node_lost = { seed_with_diskless_nodes, lose_disk_of_node_and_power_of_others },
    chain_and_power_lost = { seed_with_chain_of_diskless_nodes, lose_power_of_all },
)]
fn given_diskless_nodes_as_seeds_when_all_machines_fail_then_all_find_the_acceptors_again(
    set_seeds: SetSeeds,
    fail_all: FailAll,
) {
    for shape in [THREE_NODES_WITH_DISKLESS, FIVE_NODES_WITH_DISKLESS] {
        for seed in SEEDS {
            let mut scenario = Scenario::start(seed, shape);
            scenario.submit_job("first");
            set_seeds(&mut scenario.fleet);
            scenario.read_all_results();
            fail_all(&mut scenario.fleet);
            let all_run = |fleet: &Fleet| fleet.machines().all(|machine| fleet.is_running(machine));
            assert!(
                scenario.fleet.run_until(seconds(2), all_run),
                "seed {seed}: not all machines have restarted in time"
            );
            let have_recovered = scenario.fleet.run_until(RECOVERY_TIMEOUT, all_have_newest_state);
            assert!(have_recovered, "seed {seed}: some process did not find the acceptors in time");
            scenario.assert_normal_operation();
        }
    }
}
