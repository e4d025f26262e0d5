//! All machines find the acceptors again when their seeds are nodes without a disk.

use std::time::Duration;

use simulator::{Fleet, FleetShape};
use yare::parameterized;

use crate::faults::{all_are_killed, all_lose_power};
use crate::story::Story;
use crate::support::{seconds, SEEDS};

const WITH_DISKLESS: FleetShape =
    FleetShape { nodes: 3, diskless_nodes: 3, stores: 3, servers: 4, tolerated_failures: 1 };
const FIVE_WITH_DISKLESS: FleetShape =
    FleetShape { nodes: 5, diskless_nodes: 4, stores: 5, servers: 6, tolerated_failures: 2 };
/// Everything is served again within this time after all machines are back (`recoverS`).
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Lets all machines fail.
type FailAll = fn(&mut Fleet);

fn all_lose_power_and_a_store_its_disk(fleet: &mut Fleet) {
    let lost = fleet.nodes().end;
    fleet.machines().filter(|machine| *machine != lost).for_each(|machine| fleet.lose_power(machine));
    fleet.lose_disk(lost);
}

fn all_lose_power_and_a_node_its_disk(fleet: &mut Fleet) {
    fleet.machines().skip(1).for_each(|machine| fleet.lose_power(machine));
    fleet.lose_disk(0);
}

/// Whether every process knows the newest state, and a majority has confirmed it recently.
fn all_know_the_newest(fleet: &Fleet) -> bool {
    let newest =
        fleet.machines().filter_map(|machine| fleet.state(machine)).map(|state| state.revision).max();
    fleet.machines().all(|machine| {
        let revision = fleet.state(machine).map(|state| state.revision);
        revision == newest && fleet.confirmed_age(machine).is_some_and(|age| age < seconds(2))
    })
}

/// Changes the seeds in all settings.
type NameSeeds = fn(&mut Fleet);

fn the_same_diskless_nodes(fleet: &mut Fleet) {
    let seeds: Vec<usize> = fleet.diskless_nodes().take(3).collect();
    fleet.machines().for_each(|machine| fleet.name_seeds(machine, seeds.clone()));
}

/// Each diskless node is given the one before as its seed, and all other machines the last.
fn a_chain_of_diskless_nodes(fleet: &mut Fleet) {
    let diskless = fleet.diskless_nodes();
    for machine in fleet.machines() {
        let is_behind_another = diskless.contains(&machine) && machine > diskless.start;
        fleet.name_seeds(machine, vec![if is_behind_another { machine - 1 } else { diskless.end - 1 }]);
    }
}

#[parameterized(
    all_killed = { the_same_diskless_nodes, all_are_killed },
    power_lost = { the_same_diskless_nodes, all_lose_power },
    power_and_disk_of_store_lost = { the_same_diskless_nodes, all_lose_power_and_a_store_its_disk },
    power_and_disk_of_node_lost = { the_same_diskless_nodes, all_lose_power_and_a_node_its_disk },
    chain_and_power_lost = { a_chain_of_diskless_nodes, all_lose_power },
)]
fn given_seeds_that_are_nodes_without_a_disk_when_all_machines_go_down_then_all_find_the_acceptors_again(
    name_seeds: NameSeeds,
    fail_all: FailAll,
) {
    for shape in [WITH_DISKLESS, FIVE_WITH_DISKLESS] {
        for seed in SEEDS {
            let mut story = Story::begin(seed, shape);
            story.submit("first");
            name_seeds(&mut story.fleet);
            story.read_all();
            fail_all(&mut story.fleet);
            let is_back = |fleet: &Fleet| fleet.machines().all(|machine| fleet.is_running(machine));
            assert!(story.fleet.run_until(seconds(2), is_back), "seed {seed}: all machines start again");
            let have_recovered = story.fleet.run_until(RECOVERY_TIMEOUT, all_know_the_newest);
            assert!(have_recovered, "seed {seed}: some process does not find the acceptors");
            story.continue_normally();
        }
    }
}
