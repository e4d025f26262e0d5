//! Faults of the stories; the fleet has had time to catch up when they return.

use simulator::Fleet;

use crate::support::seconds;

/// Injects a fault; the fleet has had time to catch up when this returns.
pub type InjectFault = fn(&mut Fleet);

pub fn no_fault(_: &mut Fleet) {}

pub fn a_node_is_replaced(fleet: &mut Fleet) {
    fleet.replace(1);
    fleet.run(seconds(12));
}

pub fn the_leader_is_replaced(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("a node leads");
    fleet.replace(leader);
    fleet.run(seconds(12));
}

pub fn a_store_is_replaced(fleet: &mut Fleet) {
    fleet.replace(fleet.nodes().end);
    fleet.run(seconds(15));
}

pub fn a_node_loses_its_disk(fleet: &mut Fleet) {
    fleet.lose_disk(0);
}

pub fn a_store_loses_its_disk(fleet: &mut Fleet) {
    fleet.lose_disk(fleet.nodes().end + 1);
}

pub fn all_nodes_are_killed(fleet: &mut Fleet) {
    fleet.nodes().for_each(|node| fleet.kill(node));
}

pub fn all_are_killed(fleet: &mut Fleet) {
    fleet.machines().for_each(|machine| fleet.kill(machine));
}

pub fn all_lose_power(fleet: &mut Fleet) {
    fleet.machines().for_each(|machine| fleet.lose_power(machine));
}

pub fn one_of_each_loses_its_disk_while_all_others_lose_power(fleet: &mut Fleet) {
    let lost = [2, fleet.nodes().end + 2];
    fleet.machines().filter(|machine| !lost.contains(machine)).for_each(|machine| fleet.lose_power(machine));
    lost.into_iter().for_each(|machine| fleet.lose_disk(machine));
}

pub fn the_leader_freezes(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("a node leads");
    fleet.freeze(leader);
    fleet.run(seconds(8));
    fleet.thaw(leader);
}

pub fn the_leader_is_isolated(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("a node leads");
    fleet.network.isolate(leader, fleet.machines().end);
    fleet.run(seconds(8));
    fleet.network.heal();
}

pub fn the_leader_cannot_send(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("a node leads");
    for other in fleet.machines().filter(|other| *other != leader) {
        fleet.network.partition_one_way(leader, other);
    }
    fleet.run(seconds(8));
    fleet.network.heal();
}

pub fn the_leader_cannot_receive(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("a node leads");
    for other in fleet.machines().filter(|other| *other != leader) {
        fleet.network.partition_one_way(other, leader);
    }
    fleet.run(seconds(8));
    fleet.network.heal();
}

pub fn a_store_freezes(fleet: &mut Fleet) {
    let store = fleet.nodes().end;
    fleet.freeze(store);
    fleet.run(seconds(8));
    fleet.thaw(store);
}

pub fn the_network_is_lossy(fleet: &mut Fleet) {
    (fleet.network.dropped_per_mille, fleet.network.duplicated_per_mille) = (100, 100);
}
