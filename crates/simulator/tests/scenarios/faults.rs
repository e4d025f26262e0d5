//! Faults of the scenarios.

use simulator::Fleet;

use crate::support::seconds;

/// Injects a fault. Functions that replace, freeze or disconnect a machine return after 8 to 15 s, in which
/// the fleet can recover. Functions that kill machines, cut their power or erase disks return at once, while
/// the machines still have to restart.
pub type InjectFault = fn(&mut Fleet);

/// Injects no fault, for comparison.
pub fn no_fault(_: &mut Fleet) {}

pub fn replace_node(fleet: &mut Fleet) {
    fleet.replace(1);
    fleet.run_for(seconds(12));
}

pub fn replace_leader(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("some node is the leader");
    fleet.replace(leader);
    fleet.run_for(seconds(12));
}

pub fn replace_store(fleet: &mut Fleet) {
    fleet.replace(fleet.nodes().end);
    fleet.run_for(seconds(15));
}

pub fn lose_disk_of_node(fleet: &mut Fleet) {
    fleet.lose_disk(0);
}

pub fn lose_disk_of_store(fleet: &mut Fleet) {
    fleet.lose_disk(fleet.nodes().end + 1);
}

pub fn kill_all_nodes(fleet: &mut Fleet) {
    fleet.nodes().for_each(|node| fleet.kill(node));
}

pub fn kill_all_machines(fleet: &mut Fleet) {
    fleet.machines().for_each(|machine| fleet.kill(machine));
}

pub fn lose_power_of_all(fleet: &mut Fleet) {
    fleet.machines().for_each(|machine| fleet.lose_power(machine));
}

/// Erases the disks of one node and one store while all other machines lose power.
pub fn lose_disks_of_node_and_store_and_power_of_others(fleet: &mut Fleet) {
    let lost = [2, fleet.nodes().end + 2];
    fleet.machines().filter(|machine| !lost.contains(machine)).for_each(|machine| fleet.lose_power(machine));
    lost.into_iter().for_each(|machine| fleet.lose_disk(machine));
}

pub fn freeze_leader(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("some node is the leader");
    fleet.freeze(leader);
    fleet.run_for(seconds(8));
    fleet.thaw(leader);
}

pub fn isolate_leader(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("some node is the leader");
    fleet.network.isolate(leader, fleet.machines().end);
    fleet.run_for(seconds(8));
    fleet.network.heal();
}

pub fn stop_messages_from_leader(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("some node is the leader");
    for other in fleet.machines().filter(|other| *other != leader) {
        fleet.network.partition_one_way(leader, other);
    }
    fleet.run_for(seconds(8));
    fleet.network.heal();
}

pub fn stop_messages_to_leader(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("some node is the leader");
    for other in fleet.machines().filter(|other| *other != leader) {
        fleet.network.partition_one_way(other, leader);
    }
    fleet.run_for(seconds(8));
    fleet.network.heal();
}

pub fn freeze_store(fleet: &mut Fleet) {
    let store = fleet.nodes().end;
    fleet.freeze(store);
    fleet.run_for(seconds(8));
    fleet.thaw(store);
}

/// Makes the network drop a tenth of all messages and duplicate a tenth, for the rest of the scenario.
pub fn make_network_lossy(fleet: &mut Fleet) {
    (fleet.network.dropped_per_mille, fleet.network.duplicated_per_mille) = (100, 100);
}
