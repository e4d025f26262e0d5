//! The memory of stores, whose batch jobs together are larger than it.

use simulator::{Fleet, FleetShape};

use crate::scenario::{ItemSize, Scenario};
use crate::support::{has_recovered, seconds};

/// Items with which the submission of a batch job is nearly as long as a segment of a store's journal.
const LARGE_ITEMS: ItemSize = ItemSize { id_padding: 0, payload_quads: 9_000 };
/// Number of batch jobs. Together their logs take about as much as the memory of a store.
const JOBS: usize = 20;
/// Number of batch jobs that are more than the ring of a store has space for.
const MAX_JOBS_IN_RING: usize = 60;
/// Memory that a store may use, in megabytes.
const STORE_MEMORY_MB: f64 = 4.0;

/// The shape of a fleet whose stores have little memory.
const SHAPE: FleetShape = FleetShape { store_memory_mb: Some(STORE_MEMORY_MB), ..FleetShape::DEFAULT };

/// Starts a fleet and completes and ends batch jobs one after the other.
fn scenario_with_many_jobs(seed: u64) -> Scenario {
    let mut scenario = Scenario::start(seed, SHAPE);
    for number in 0..JOBS {
        scenario.submit_job_of_size(&format!("job-{seed}-{number}"), LARGE_ITEMS);
        scenario.read_all_results();
    }
    scenario
}

fn assert_stores_are_within_their_memory(fleet: &Fleet, seed: u64) {
    let limit = (STORE_MEMORY_MB * 1e6) as usize;
    for store in fleet.machines().filter(|machine| fleet.is_store(*machine)) {
        let peak = fleet.peak_memory(store).unwrap_or(0);
        assert!(peak <= limit, "seed {seed}: {} used {peak} bytes of {limit}", fleet.name(store));
    }
}

/// Guards against stores that the platform kills again and again because of their memory
/// (docs/incidents/store-memory.md): an owner sent all logs at once to a store that had lost its disk.
#[test]
fn given_more_batch_jobs_than_memory_when_a_store_loses_its_disk_then_all_stores_stay_within_their_memory() {
    for seed in 0..3 {
        let mut scenario = scenario_with_many_jobs(seed);
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
        scenario.fleet.lose_disk(4);
        scenario.fleet.run_for(seconds(12));
        assert!(
            scenario.fleet.run_until(seconds(60), has_recovered),
            "seed {seed}: the migration does not end"
        );
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
        scenario.assert_acknowledged_work();
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
    }
}

/// Guards against stores that cannot start because of their memory (docs/incidents/store-memory.md): a starting
/// store had all records of its journal in memory, and then all logs as well.
#[test]
fn given_more_batch_jobs_than_memory_when_stores_restart_then_all_of_them_stay_within_their_memory() {
    for seed in 0..3 {
        let mut scenario = scenario_with_many_jobs(seed);
        for store in 3..6 {
            scenario.fleet.lose_power(store);
            scenario.fleet.run_for(seconds(6));
            assert_stores_are_within_their_memory(&scenario.fleet, seed);
        }
        scenario.assert_acknowledged_work();
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
    }
}

/// Guards against owners whose open batch jobs take more than their memory (docs/incidents/store-memory.md): an owner
/// had all open batch jobs in memory in their parsed form, and the next owner as well.
#[test]
fn given_more_open_batch_jobs_than_memory_when_a_store_fails_then_all_stores_stay_within_their_memory() {
    for seed in 0..3 {
        let shape = FleetShape { max_item_duration: seconds(10), ..SHAPE };
        let mut scenario = Scenario::start(seed, shape);
        for number in 0..JOBS {
            scenario.submit_job_of_size(&format!("job-{seed}-{number}"), LARGE_ITEMS);
        }
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
        scenario.fleet.lose_disk(4);
        scenario.fleet.run_for(seconds(12));
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
        scenario.read_all_results();
        scenario.assert_acknowledged_work();
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
    }
}

/// Guards against stores whose disks are nearly full (docs/incidents/store-memory.md): batch jobs that could not be
/// written stayed in memory, and after a change of the owner all others were to be written again.
#[test]
fn given_nearly_full_rings_when_stores_restart_and_a_disk_is_lost_then_all_results_can_be_read_within_the_memory(
) {
    for seed in 0..3 {
        let mut scenario = Scenario::start(seed, SHAPE);
        for number in 0..MAX_JOBS_IN_RING {
            if !scenario.submit_job_with_attempts(&format!("job-{seed}-{number}"), LARGE_ITEMS, 6) {
                break;
            }
            scenario.read_all_results();
        }
        for refused in 0..5 {
            scenario.submit_job_with_attempts(&format!("refused-{seed}-{refused}"), LARGE_ITEMS, 6);
        }
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
        for store in [4, 3] {
            scenario.fleet.lose_power(store);
            scenario.fleet.run_for(seconds(6));
        }
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
        scenario.fleet.lose_disk(5);
        scenario.fleet.run_for(seconds(20));
        scenario.read_all_results();
        scenario.assert_acknowledged_work();
        assert_stores_are_within_their_memory(&scenario.fleet, seed);
    }
}
