//! Orders to model servers that a partition delays: no order of an earlier leader, and no earlier order of the same
//! leader, arrives after a later one.

use std::time::Duration;

use simulator::{Fleet, FleetShape, ServerPartitionKind};
use yare::parameterized;

use crate::scenario::Scenario;
use crate::support::{seconds, SEEDS};

/// Server that is partitioned from all machines.
const SERVER: usize = 0;
/// Duration of the partition (default of the platform's `srv_cut`).
const PARTITION: Duration = seconds(5);
/// Time after which every delayed order has arrived: twice the duration of the partition, and some more.
const MAX_DELAY: Duration = seconds(15);

/// Rolls version 2 out and partitions [`SERVER`]. Targets version 3 when the partition has lasted for the time `after`,
/// and waits until the order to the partitioned server has been sent. Returns the leader that sent it.
fn send_order_into_partition(
    scenario: &mut Scenario,
    kind: ServerPartitionKind,
    after: Duration,
    seed: u64,
) -> usize {
    scenario.set_target_version();
    scenario.await_rollout();
    scenario.fleet.run_for(seconds(3));
    scenario.fleet.partition_server(SERVER, kind, PARTITION);
    scenario.fleet.run_for(after);
    scenario.set_target_version();
    let is_sent = |fleet: &Fleet| fleet.has_order_in_flight(SERVER);
    assert!(
        scenario.fleet.run_until(seconds(2), is_sent),
        "seed {seed}: no order is sent into the partition"
    );
    scenario.fleet.leader().expect("a node leads")
}

/// Asserts that no orders conflict, and that all servers have the newest version, also after all delayed orders have
/// arrived.
fn assert_newest_version_everywhere(scenario: &mut Scenario) {
    scenario.await_rollout();
    scenario.fleet.run_for(MAX_DELAY);
    scenario.await_rollout();
    scenario.assert_normal_operation();
}

/// Guards against review/3: a leader that shut down released its lease while an order was pending, which arrived
/// after that of the next leader and took the server back to an older version.
#[parameterized(
    early_in_a_proxied_partition = { ServerPartitionKind::BufferedByProxy, 1000 },
    late_in_a_proxied_partition = { ServerPartitionKind::BufferedByProxy, 3500 },
    early_in_an_unacknowledged_partition = { ServerPartitionKind::Unacknowledged, 1000 },
    at_the_end_of_an_unacknowledged_partition = { ServerPartitionKind::Unacknowledged, 4500 },
)]
fn given_an_order_delayed_by_a_partition_when_the_leader_shuts_down_then_no_order_of_the_next_leader_precedes_it(
    kind: ServerPartitionKind,
    after_ms: u64,
) {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        let leader = send_order_into_partition(&mut scenario, kind, Duration::from_millis(after_ms), seed);
        scenario.fleet.terminate(leader, false);
        scenario.fleet.run_for(Duration::from_millis(2500));
        scenario.set_target_version();
        assert_newest_version_everywhere(&mut scenario);
    }
}

/// Guards against a leader that sent a further order while an earlier one was pending: the earlier one arrived
/// last, and the server kept the older version.
#[test]
fn given_an_order_delayed_by_a_partition_when_a_newer_version_is_targeted_then_the_server_keeps_the_newer_one(
) {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        send_order_into_partition(&mut scenario, ServerPartitionKind::BufferedByProxy, seconds(1), seed);
        scenario.set_target_version();
        assert_newest_version_everywhere(&mut scenario);
    }
}

/// Guards against a delayed order of a killed leader that takes the server back to an older version. Nothing prevents
/// its arrival, but it expects fewer accepted orders than the server then has.
#[test]
fn given_an_order_buffered_by_a_proxy_when_the_leader_is_killed_then_the_server_keeps_the_newest_version() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        scenario.fleet.servers.iter_mut().for_each(|server| server.checks_order_count = true);
        let leader =
            send_order_into_partition(&mut scenario, ServerPartitionKind::BufferedByProxy, seconds(1), seed);
        scenario.fleet.kill(leader);
        scenario.set_target_version();
        scenario.await_rollout();
        scenario.fleet.run_for(MAX_DELAY);
        scenario.await_rollout();
    }
}

/// Guards against the assumption that no order arrives after the end of its sender: TCP retransmits it until the user
/// timeout, for which the next leader waits.
#[test]
fn given_an_order_delayed_by_a_partition_when_the_leader_is_killed_then_no_order_of_the_next_leader_precedes_it(
) {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        let after = Duration::from_millis(4300 + seed * 50);
        let leader =
            send_order_into_partition(&mut scenario, ServerPartitionKind::Unacknowledged, after, seed);
        scenario.fleet.kill(leader);
        scenario.set_target_version();
        assert_newest_version_everywhere(&mut scenario);
    }
}
