//! Nodes without contact to a majority of the acceptors neither acknowledge orders nor lead.

use simulator::{ExternalReply, ExternalRequest, Fleet, FleetShape, OperatorOrder};
use yare::parameterized;

use crate::scenario::{document, Scenario};
use crate::support::{seconds, SEEDS};

#[test]
fn given_an_isolated_node_when_it_receives_an_order_then_the_order_is_not_acknowledged() {
    let mut scenario = Scenario::start(1, FleetShape::default());
    scenario.fleet.network.isolate(2, 6);
    scenario.fleet.run_for(seconds(2));
    let order = OperatorOrder::Put { expected: 3, body: document(9) };
    let reply = scenario.fleet.request_and_wait(2, ExternalRequest::Operator(order));
    assert!(matches!(reply, None | Some(ExternalReply::Status(503))), "the isolated node replied {reply:?}");
    scenario.fleet.network.heal();
}

/// Separates a node from all or most other machines.
type Disconnect = fn(&mut Fleet, usize);

fn isolate_node(fleet: &mut Fleet, node: usize) {
    fleet.network.isolate(node, fleet.machines().end);
}

/// Partitions the node and one store from all other machines.
fn isolate_node_with_a_store(fleet: &mut Fleet, node: usize) {
    fleet.network.partition_group(&[node, fleet.nodes().end], fleet.machines().end);
}

fn stop_messages_from(fleet: &mut Fleet, node: usize) {
    for other in fleet.machines().filter(|other| *other != node) {
        fleet.network.partition_one_way(node, other);
    }
}

fn stop_messages_to(fleet: &mut Fleet, node: usize) {
    for other in fleet.machines().filter(|other| *other != node) {
        fleet.network.partition_one_way(other, node);
    }
}

fn freeze(fleet: &mut Fleet, node: usize) {
    fleet.freeze(node);
}

#[parameterized(
    leader_isolated = { true, isolate_node },
    leader_isolated_with_a_store = { true, isolate_node_with_a_store },
    leader_cannot_send = { true, stop_messages_from },
    leader_cannot_receive = { true, stop_messages_to },
    leader_frozen = { true, freeze },
    follower_isolated = { false, isolate_node },
    follower_isolated_with_a_store = { false, isolate_node_with_a_store },
    follower_cannot_send = { false, stop_messages_from },
    follower_cannot_receive = { false, stop_messages_to },
    follower_frozen = { false, freeze },
)]
fn given_a_disconnected_node_when_the_others_continue_then_it_neither_acknowledges_nor_leads_and_catches_up_later(
    is_leader: bool,
    disconnect: Disconnect,
) {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        assert!(
            scenario.fleet.run_until(seconds(5), |fleet| fleet.leader().is_some()),
            "seed {seed}: no node leads in time"
        );
        let leader = scenario.fleet.leader().expect("some node is the leader");
        let node = if is_leader { leader } else { (leader + 1) % 3 };
        let has_confirmed = |fleet: &Fleet| fleet.confirmed_age(node).is_some();
        assert!(
            scenario.fleet.run_until(seconds(5), has_confirmed),
            "seed {seed}: the state of node {node} was not confirmed in time"
        );
        let revision_before = scenario.fleet.state(node).map(|state| state.revision);
        disconnect(&mut scenario.fleet, node);
        let deadline = scenario.fleet.now + seconds(20);
        // The other nodes elect a leader and acknowledge orders.
        scenario.fleet.run_for(seconds(3));
        let version = scenario.change_configuration_at_other_nodes(node);
        while scenario.fleet.now < deadline {
            // The order changes the version that the disconnected node has, which is no longer the newest.
            let order = OperatorOrder::Put { expected: version - 3, body: document(version + 1) };
            let reply = scenario.fleet.request_and_wait(node, ExternalRequest::Operator(order));
            assert!(
                matches!(reply, None | Some(ExternalReply::Status(503))),
                "seed {seed}: the disconnected node replied {reply:?}"
            );
            let reply = scenario.fleet.request_and_wait(node, ExternalRequest::Operator(OperatorOrder::Read));
            assert!(
                matches!(reply, None | Some(ExternalReply::Status(503))),
                "seed {seed}: the disconnected node replied {reply:?}"
            );
            assert_eq!(
                scenario.fleet.fence(node),
                None,
                "seed {seed}: the disconnected node holds the leader lease"
            );
            let age = scenario.fleet.confirmed_age(node);
            assert!(
                !scenario.fleet.is_running(node) || age.is_some_and(|age| age > seconds(1)),
                "seed {seed}: the disconnected node has a state that was confirmed {age:?} ago"
            );
        }
        scenario.fleet.network.heal();
        if !scenario.fleet.is_running(node) {
            scenario.fleet.thaw(node);
        }
        let newest = |fleet: &Fleet| {
            fleet.machines().filter_map(|machine| fleet.state(machine)).map(|state| state.revision).max()
        };
        let has_caught_up = |fleet: &Fleet| {
            fleet.state(node).map(|state| state.revision) == newest(fleet)
                && fleet.confirmed_age(node).is_some_and(|age| age < seconds(1))
        };
        assert!(
            scenario.fleet.run_until(seconds(3), has_caught_up),
            "seed {seed}: the node did not catch up from revision {revision_before:?}"
        );
        scenario.assert_normal_operation();
    }
}
