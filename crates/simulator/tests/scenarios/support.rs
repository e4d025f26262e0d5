//! Shapes, seeds and conditions that several scenarios use.

use std::ops::Range;
use std::time::Duration;

use simulator::{Fleet, FleetShape};

/// Seeds of most scenarios.
pub const SEEDS: Range<u64> = 0..12;
/// Five nodes and five stores, of which two may fail at the same time.
pub const FIVE_NODES: FleetShape = FleetShape {
    nodes: 5,
    diskless_nodes: 0,
    stores: 5,
    servers: 6,
    tolerated_failures: 2,
    ..FleetShape::DEFAULT
};

/// Time for which a machine still counts as failed after its return (setting `catchUpS` if two may fail).
pub const CATCH_UP_TIME: Duration = Duration::from_secs(6);

/// Returns a duration of this number of seconds.
pub const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Whether every machine is an acceptor or a store with its present disk, and no migration of batch jobs is
/// in progress.
pub fn has_recovered(fleet: &Fleet) -> bool {
    let Some(state) = fleet.newest_state() else { return false };
    let mut members: Vec<_> = state.stores.members.iter().map(|store| &store.member).collect();
    members.extend(&state.acceptors);
    let is_member = |machine: usize| {
        let incarnation = fleet.incarnation(machine);
        members
            .iter()
            .any(|member| member.name == fleet.name(machine) && Some(member.incarnation) == incarnation)
    };
    state.previous_stores.is_none() && fleet.machines().all(is_member)
}
