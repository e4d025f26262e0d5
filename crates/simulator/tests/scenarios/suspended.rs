//! A process is suspended or isolated while all acceptors in its state are replaced. After its return it must
//! find the current acceptors.

use simulator::{Fleet, FleetShape, MachineKind};
use yare::parameterized;

use crate::scenario::Scenario;
use crate::support::{seconds, SEEDS};

/// Three nodes, two diskless nodes and three stores, of which one may fail.
const SHAPE: FleetShape = FleetShape {
    nodes: 3,
    diskless_nodes: 2,
    stores: 3,
    servers: 4,
    tolerated_failures: 1,
    ..FleetShape::DEFAULT
};
/// Time limit for an absent process to learn the newest state after its return, if all its peers have been
/// replaced.
const CATCH_UP_TIMEOUT: std::time::Duration = seconds(15);

/// The process that is suspended or isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbsentProcess {
    /// A member of the store set.
    Store,
    /// An acceptor, which is replaced before the other acceptors.
    Acceptor,
    /// A standby, which waits to become an acceptor.
    Standby,
    /// A node without a disk. No other process has its address.
    DisklessNode,
    /// A store that another store replaces during the absence.
    ReplacedStore,
}

impl AbsentProcess {
    /// Selects the machine of the absent process. Adds a standby if that is the absent process.
    fn select_machine(self, fleet: &mut Fleet) -> usize {
        match self {
            Self::Acceptor => 0,
            Self::Store | Self::ReplacedStore => fleet.nodes().end,
            Self::DisklessNode => fleet.diskless_nodes().start,
            Self::Standby => {
                let standby = fleet.add_machine(MachineKind::Node, false);
                let name = fleet.name(standby).to_owned();
                let is_standby = |fleet: &Fleet| {
                    let newest = fleet.newest_state();
                    newest.is_some_and(|state| state.standbys.iter().any(|member| member.name == name))
                };
                assert!(
                    fleet.run_until(seconds(20), is_standby),
                    "the added node did not become a standby in time"
                );
                standby
            }
        }
    }
}

/// The manner in which a process is absent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    Suspended,
    Isolated,
}

impl Absence {
    fn begin(self, fleet: &mut Fleet, machine: usize) {
        match self {
            Self::Suspended => fleet.freeze(machine),
            Self::Isolated => isolate(fleet, machine),
        }
    }

    fn end(self, fleet: &mut Fleet, machine: usize) {
        match self {
            Self::Suspended => fleet.thaw(machine),
            Self::Isolated => fleet.network.heal(),
        }
    }
}

/// Isolates a machine from all present machines and from the next 12 that are added.
fn isolate(fleet: &mut Fleet, machine: usize) {
    const MAX_ADDED: usize = 12;
    let end = fleet.machines().end + MAX_ADDED;
    fleet.network.isolate(machine, end);
}

fn is_acceptor(fleet: &Fleet, machine: usize) -> bool {
    let newest = fleet.newest_state();
    newest.is_some_and(|state| state.acceptors.iter().any(|member| member.name == fleet.name(machine)))
}

/// Adds a machine whose seeds are the present acceptors, so that it does not have the address of the absent
/// process.
fn add_without_contact_to(fleet: &mut Fleet, kind: MachineKind, absent: usize) -> usize {
    let is_seed = |node: &usize| *node != absent && fleet.has_process(*node) && is_acceptor(fleet, *node);
    let seeds: Vec<usize> = fleet.machines().filter(is_seed).collect();
    let added = fleet.add_machine(kind, false);
    fleet.set_seeds(added, seeds);
    added
}

/// Replaces the machine of an acceptor and waits until another machine is an acceptor instead.
fn replace_acceptor(fleet: &mut Fleet, machine: usize, absent: usize) {
    fleet.remove_machine(machine);
    add_without_contact_to(fleet, MachineKind::Node, absent);
    let is_replaced = |fleet: &Fleet| !is_acceptor(fleet, machine);
    assert!(
        fleet.run_until(seconds(20), is_replaced),
        "no other machine replaced the removed acceptor in time"
    );
    fleet.run_for(fleet.shape().catch_up_time());
}

/// Replaces all acceptors one after another. `absent` itself is not removed; if it is an acceptor, an added
/// machine replaces it.
fn replace_all_acceptors(fleet: &mut Fleet, absent: usize) {
    if is_acceptor(fleet, absent) {
        add_without_contact_to(fleet, MachineKind::Node, absent);
        let is_replaced = |fleet: &Fleet| !is_acceptor(fleet, absent);
        assert!(fleet.run_until(seconds(20), is_replaced), "no standby replaced the absent acceptor in time");
        fleet.run_for(fleet.shape().catch_up_time());
    }
    for node in fleet.nodes().filter(|node| *node != absent) {
        replace_acceptor(fleet, node, absent);
    }
}

/// Whether a process has the newest state, and a majority of the acceptors has confirmed it in the last two
/// seconds.
fn has_newest_state(fleet: &Fleet, machine: usize) -> bool {
    let newest = fleet.newest_state().map(|state| state.revision);
    let revision = fleet.state(machine).map(|state| state.revision);
    revision == newest && fleet.confirmed_age(machine).is_some_and(|age| age < seconds(2))
}

#[parameterized(
    store_suspended = { AbsentProcess::Store, Absence::Suspended },
    store_isolated = { AbsentProcess::Store, Absence::Isolated },
    acceptor_suspended = { AbsentProcess::Acceptor, Absence::Suspended },
    acceptor_isolated = { AbsentProcess::Acceptor, Absence::Isolated },
    standby_suspended = { AbsentProcess::Standby, Absence::Suspended },
    standby_isolated = { AbsentProcess::Standby, Absence::Isolated },
    diskless_node_suspended = { AbsentProcess::DisklessNode, Absence::Suspended },
    diskless_node_isolated = { AbsentProcess::DisklessNode, Absence::Isolated },
    replaced_store_suspended = { AbsentProcess::ReplacedStore, Absence::Suspended },
    replaced_store_isolated = { AbsentProcess::ReplacedStore, Absence::Isolated },
)]
fn given_an_absent_process_when_all_acceptors_in_its_state_are_replaced_then_it_finds_the_current_ones(
    absent: AbsentProcess,
    absence: Absence,
) {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, SHAPE);
        scenario.submit_job("first");
        scenario.read_all_results();
        let fleet = &mut scenario.fleet;
        let machine = absent.select_machine(fleet);
        // The seeds of all machines are the first nodes, which are all replaced. They stay in the settings of
        // the absent process, which is not a seed of any machine.
        let seeds: Vec<usize> = fleet.nodes().filter(|node| *node != machine).collect();
        fleet.machines().for_each(|index| fleet.set_seeds(index, seeds.clone()));
        absence.begin(fleet, machine);
        if absent == AbsentProcess::ReplacedStore {
            add_without_contact_to(fleet, MachineKind::Store, machine);
        }
        replace_all_acceptors(fleet, machine);
        scenario.change_configuration();
        let fleet = &mut scenario.fleet;
        absence.end(fleet, machine);
        let has_found = fleet.run_until(CATCH_UP_TIMEOUT, |fleet| has_newest_state(fleet, machine));
        assert!(has_found, "seed {seed}: {} did not find the current acceptors in time", fleet.name(machine));
        scenario.assert_normal_operation();
    }
}

#[test]
fn given_a_resumed_store_when_only_the_leader_can_reach_it_then_it_finds_the_replaced_acceptors() {
    for seed in SEEDS {
        let mut scenario = Scenario::start(seed, SHAPE);
        scenario.submit_job("first");
        scenario.read_all_results();
        let fleet = &mut scenario.fleet;
        let absent = fleet.nodes().end;
        fleet.freeze(absent);
        replace_all_acceptors(fleet, absent);
        // All acceptors in the state of the store are replaced, and it cannot reach the other stores. Only
        // the leader has its address.
        for store in [absent + 1, absent + 2] {
            fleet.network.partition_one_way(absent, store);
            fleet.network.partition_one_way(store, absent);
        }
        fleet.thaw(absent);
        let has_found = fleet.run_until(CATCH_UP_TIMEOUT, |fleet| has_newest_state(fleet, absent));
        assert!(has_found, "seed {seed}: the store did not find the current acceptors in time");
    }
}
