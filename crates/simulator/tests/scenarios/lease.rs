//! At most one node holds the leader lease, also during replacements of disks and machines.

use std::time::Duration;

use simulator::{Fleet, FleetShape, MachineKind};

use crate::scenario::Scenario;
use crate::support::{seconds, SEEDS};

/// Whether every running node has a state in which this machine is not an acceptor. Until a majority of the
/// present acceptors has recorded a change, one failure fewer is tolerated (`docs/CONTROL.md`, section 3).
fn is_replaced(fleet: &Fleet, machine: usize) -> bool {
    let mut running = fleet.present_nodes().into_iter().filter(|node| fleet.is_running(*node));
    running.all(|node| {
        let state = fleet.state(node);
        state.is_some_and(|state| state.acceptors.iter().all(|member| member.name != fleet.name(machine)))
    })
}

/// Runs the fleet for this time and asserts after each step that at most one process holds the lease.
fn assert_at_most_one_leader(fleet: &mut Fleet, time: Duration, seed: u64) {
    let until = fleet.now + time;
    while fleet.now < until {
        let holders = fleet.machines().filter(|machine| fleet.fence(*machine).is_some()).count();
        assert!(holders < 2, "seed {seed}: {holders} processes hold the lease at {:?}", fleet.now);
        fleet.step();
    }
}

#[test]
fn given_a_former_grantor_with_a_new_disk_when_a_former_leader_resumes_then_at_most_one_process_leads() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        let fleet = &mut scenario.fleet;
        let spares =
            [fleet.add_machine(MachineKind::Node, false), fleet.add_machine(MachineKind::Node, false)];
        let are_standbys = |fleet: &Fleet| {
            let leader = fleet.leader().and_then(|leader| fleet.state(leader));
            leader.is_some_and(|state| state.standbys.len() == spares.len())
        };
        assert!(
            fleet.run_until(seconds(20), are_standbys),
            "seed {seed}: the spare nodes do not become standbys in time"
        );
        let leader = fleet.leader().expect("some node is the leader");
        let other =
            fleet.nodes().find(|node| *node != leader).expect("there is a node that is not the leader");
        for former in [leader, other] {
            // Messages to the machine during the freeze are lost, so that it has not learned of its successor
            // when it resumes.
            fleet.network.isolate(former, fleet.machines().end);
            fleet.freeze(former);
            assert!(
                fleet.run_until(seconds(20), |fleet| is_replaced(fleet, former)),
                "seed {seed}: no spare node replaces acceptor {former} in time"
            );
        }
        // With an empty disk, the former grantor does not have a record of the leases that it granted.
        fleet.lose_disk(other);
        assert_at_most_one_leader(fleet, seconds(6), seed);
        fleet.network.heal();
        fleet.thaw(leader);
        assert_at_most_one_leader(fleet, seconds(6), seed);
        scenario.assert_normal_operation();
    }
}
