//! Changes of the configuration: conflicting, frequent and large ones.

use std::time::Duration;

use simulator::{Fleet, FleetShape, Network, OperatorOrder};
use yare::parameterized;

use crate::faults::lose_power_of_all;
use crate::scenario::{assert_status, document, Scenario, ORDER_TIMEOUT};
use crate::support::{seconds, SEEDS};

#[test]
fn given_two_changes_of_the_same_version_when_both_are_sent_then_only_the_first_is_accepted() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        let order = |body: String| OperatorOrder::Put { expected: 3, body };
        let [first, second] = [order(document(9)), order(document(9).replace("/r/", "/q/"))];
        assert_status(&scenario.fleet.execute_order(ORDER_TIMEOUT, &first), 200);
        assert_status(&scenario.fleet.execute_order(ORDER_TIMEOUT, &second), 412);
        assert_status(&scenario.fleet.execute_order(ORDER_TIMEOUT, &first), 200);
    }
}

#[test]
fn given_more_than_a_thousand_changes_when_members_miss_hundreds_of_them_then_each_catches_up() {
    let mut scenario = Scenario::start(1, FleetShape::default());
    let newest = |fleet: &Fleet| {
        fleet.machines().filter_map(|machine| fleet.state(machine)).map(|state| state.revision).max()
    };
    for change in 0..1200 {
        match change {
            100 => scenario.fleet.freeze(1),
            400 => scenario.fleet.thaw(1),
            500 => scenario.fleet.network.isolate(2, 6),
            800 => scenario.fleet.network.heal(),
            900 => scenario.fleet.lose_disk(0),
            950 => scenario.fleet.kill(1),
            1000 => lose_power_of_all(&mut scenario.fleet),
            1100 => scenario.fleet.lose_disk(2),
            _ => {}
        }
        if [400, 800, 900, 950, 1000, 1100].contains(&change) {
            let fault_ended_at = scenario.fleet.now;
            let all_have_newest = |fleet: &Fleet| {
                let all_run = fleet.machines().all(|machine| fleet.is_running(machine));
                all_run
                    && fleet
                        .machines()
                        .all(|machine| fleet.state(machine).map(|state| state.revision) == newest(fleet))
            };
            assert!(
                scenario.fleet.run_until(seconds(4), all_have_newest),
                "after change {change}: some process did not learn the newest state in time"
            );
            println!(
                "after change {change}: all processes have the newest state {:?} later",
                scenario.fleet.now - fault_ended_at
            );
        }
        scenario.change_configuration();
    }
    assert!(scenario.fleet.state(0).is_some_and(|state| state.configuration_version >= 3600));
    scenario.assert_normal_operation();
}

/// Time limit for the acknowledgement of a change, and for its propagation to all processes, without faults.
/// No messages are lost in these tests: operators wait 1.5 s for a lost reply, which would hide the delay of
/// the links.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(2500);
/// Lowest bandwidth of the links of machines in deployments: 60 Mbit/s, in bytes per second.
const NARROW_LINK_BYTES_PER_SECOND: f64 = 60e6 / 8.0;

#[parameterized(
    one_may_fail = { FleetShape { nodes: 3, diskless_nodes: 20, stores: 3, servers: 4, tolerated_failures: 1, ..FleetShape::DEFAULT } },
    two_may_fail = { FleetShape { nodes: 8, diskless_nodes: 40, stores: 8, servers: 4, tolerated_failures: 2, ..FleetShape::DEFAULT } },
)]
fn given_narrow_links_when_configurations_of_many_routes_are_put_then_the_next_changes_are_acknowledged_in_time(
    shape: FleetShape,
) {
    for seed in 0..8 {
        let mut scenario = Scenario::start(seed, shape);
        scenario.fleet.network = Network::default();
        scenario.fleet.set_link_speed(NARROW_LINK_BYTES_PER_SECOND);
        scenario.put_configuration(PROPAGATION_TIMEOUT, 1400);
        let newest = scenario.fleet.state(0).expect("node 0 has a state").configuration_version;
        let is_propagated = |fleet: &Fleet| {
            let mut states = fleet.machines().map(|machine| fleet.state(machine));
            states.all(|state| state.is_some_and(|state| state.configuration_version >= newest))
        };
        assert!(
            scenario.fleet.run_until(PROPAGATION_TIMEOUT, is_propagated),
            "seed {seed}: the configuration did not reach all processes in time"
        );
        for _ in 0..4 {
            scenario.fleet.run_for(Duration::from_millis(300));
            scenario.set_target_version_within(PROPAGATION_TIMEOUT);
            scenario.put_configuration(PROPAGATION_TIMEOUT, 1400);
        }
        scenario.assert_acknowledged_work();
    }
}
