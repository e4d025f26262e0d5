//! A fixed set of simulation runs with random faults, in which the invariants are checked.

use std::ops::Range;

use simulator::simulation::{shrink, simulate, Setup};
use yare::parameterized;

#[parameterized(
    small_from_0 = { Setup::small(), 0..120 },
    small_from_120 = { Setup::small(), 120..240 },
    small_from_240 = { Setup::small(), 240..360 },
    large_from_0 = { Setup::large(), 0..60 },
    large_from_60 = { Setup::large(), 60..120 },
    large_from_120 = { Setup::large(), 120..180 },
    turnover_from_0 = { Setup::turnover(), 0..60 },
    turnover_from_60 = { Setup::turnover(), 60..120 },
    large_turnover_from_0 = { Setup::large_turnover(), 0..60 },
    large_turnover_from_60 = { Setup::large_turnover(), 60..120 },
    absences_from_0 = { Setup::absences(), 0..60 },
    absences_from_60 = { Setup::absences(), 60..120 },
    disks_from_0 = { Setup::disks(), 0..60 },
    disks_from_60 = { Setup::disks(), 60..120 },
    server_links_from_0 = { Setup::server_links(), 0..60 },
    server_links_from_60 = { Setup::server_links(), 60..120 },
    proxied_server_links_from_0 = { Setup::proxied_server_links(), 0..60 },
    proxied_server_links_from_60 = { Setup::proxied_server_links(), 60..120 },
    memory_from_0 = { Setup::memory(), 0..60 },
    memory_from_60 = { Setup::memory(), 60..120 },
    many_changes_from_0 = { Setup::many_changes(), 0..20 },
    many_changes_from_120 = { Setup::many_changes(), 120..140 },
)]
fn given_random_faults_when_simulated_then_the_invariants_hold_and_the_fleet_recovers(
    setup: Setup,
    seeds: Range<u64>,
) {
    let mut changes = 0;
    for seed in seeds {
        let faults = setup.plan_faults(seed);
        match simulate(seed, &setup, &faults) {
            Ok(summary) => changes += summary.changes,
            Err(failed) => {
                let shortest = shrink(seed, &setup, &faults);
                panic!("seed {seed}: {failed:?}; shortest sequence of faults that fails: {shortest:?}");
            }
        }
    }
    assert!(changes > 100, "only {changes} changes of the configuration were acknowledged in all runs");
}

/// Requires `--cfg tokio_unstable`, without which the order in which tasks run is not seeded. The compared
/// results contain the digest of all messages.
#[cfg(tokio_unstable)]
#[parameterized(
    small = { Setup::small() },
    large = { Setup::large() },
    changes = { Setup::many_changes() },
    turnover = { Setup::turnover() },
    large_turnover = { Setup::large_turnover() },
    absences = { Setup::absences() },
    disks = { Setup::disks() },
    server_links = { Setup::server_links() },
    proxied_server_links = { Setup::proxied_server_links() },
    memory = { Setup::memory() },
)]
fn given_the_same_seed_when_simulated_again_then_the_run_is_identical(setup: Setup) {
    for seed in 0..5 {
        let faults = setup.plan_faults(seed);
        let first = simulate(seed, &setup, &faults);
        assert_eq!(first, simulate(seed, &setup, &faults), "two runs of seed {seed} differ");
        assert_ne!(
            first,
            simulate(seed + 1, &setup, &faults),
            "seed {seed} and the next one give the same run"
        );
    }
}
