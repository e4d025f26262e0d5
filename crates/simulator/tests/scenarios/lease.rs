//! One node holds the leader lease, also when disks and machines change.

use std::time::Duration;

use simulator::{Fleet, FleetShape, MachineKind};

use crate::scenario::Scenario;
use crate::support::{seconds, SEEDS};

/// Whether this machine is no acceptor in the state that every running node has. Until a majority of the
/// present acceptors has recorded a change, one failure less is tolerated (`docs/CONTROL.md`, 3).
fn is_replaced(fleet: &Fleet, machine: usize) -> bool {
    let mut running = fleet.present_nodes().into_iter().filter(|node| fleet.is_running(*node));
    running.all(|node| {
        let state = fleet.state(node);
        state.is_some_and(|state| state.acceptors.iter().all(|member| member.name != fleet.name(machine)))
    })
}

/// Asserts that at no moment of this time two processes hold the lease.
fn assert_one_leads(fleet: &mut Fleet, time: Duration, seed: u64) {
    let until = fleet.now + time;
    while fleet.now < until {
        let holders = fleet.machines().filter(|machine| fleet.fence(*machine).is_some()).count();
        assert!(holders < 2, "seed {seed}: {holders} hold the lease at {:?}", fleet.now);
        fleet.step();
    }
}

#[test]
fn given_replaced_grantors_when_a_former_leader_resumes_then_at_most_one_process_holds_the_lease() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, FleetShape::default());
        let fleet = &mut scenario.fleet;
        let spares =
            [fleet.add_machine(MachineKind::Node, false), fleet.add_machine(MachineKind::Node, false)];
        let stand_by = |fleet: &Fleet| {
            let leader = fleet.leader().and_then(|leader| fleet.state(leader));
            leader.is_some_and(|state| state.standbys.len() == spares.len())
        };
        assert!(fleet.run_until(seconds(20), stand_by), "seed {seed}: both spares stand by");
        let leader = fleet.leader().expect("a node leads");
        let other = fleet.nodes().find(|node| *node != leader).expect("another node");
        for former in [leader, other] {
            // What is sent to it meanwhile is lost, so that it does not know of its successor when it
            // continues.
            fleet.network.isolate(former, fleet.machines().end);
            fleet.freeze(former);
            assert!(
                fleet.run_until(seconds(20), |fleet| is_replaced(fleet, former)),
                "seed {seed}: a spare takes the place of {former}"
            );
        }
        fleet.lose_disk(other);
        assert_one_leads(fleet, seconds(6), seed);
        fleet.network.heal();
        fleet.thaw(leader);
        assert_one_leads(fleet, seconds(6), seed);
        scenario.assert_normal_operation();
    }
}
