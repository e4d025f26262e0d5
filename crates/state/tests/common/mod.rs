//! States, members and observations that several tests use.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::time::Duration;

use register::{Incarnation, Member};
use state::change::{
    initial_state, next_reconciliation, with_raised_fence, with_standby, with_store, Observation,
};
use state::{ControlState, StoreMember};

pub fn member(name: &str, incarnation: u64) -> Member {
    Member { name: name.into(), incarnation: Incarnation(incarnation), address: format!("{name}:1") }
}

pub fn store(name: &str, incarnation: u64) -> StoreMember {
    StoreMember { member: member(name, incarnation), zone: "z".into() }
}

/// Returns the initial state for one tolerated failure, with the acceptors a, b and c and the given number of
/// stores, which are named v0, v1 and so on and have the incarnations 10, 11 and so on.
pub fn system(stores: u64) -> ControlState {
    let acceptors = vec![member("a", 1), member("b", 2), member("c", 3)];
    let stores = (0..stores).map(|index| store(&format!("v{index}"), 10 + index)).collect();
    initial_state(acceptors, stores, 1).expect("there are acceptors")
}

/// Returns a valid configuration document with one route.
pub fn document(version: u64, route: &str) -> String {
    format!(
        r#"{{"edition":{version},"routes":[{{"name":"{route}","depot":"h","lanePrefix":"/{route}/","kind":"safe",
        "expiryMs":1500,"postalLine":"s"}}],"postalLines":[{{"name":"s","healthPath":"/health"}}]}}"#
    )
}

/// Duration of a round of pings.
pub const ROUND: Duration = Duration::from_millis(700);
/// Duration above which a round of pings is discarded.
pub const MAX_ROUND_ELAPSED: Duration = Duration::from_millis(2400);

/// Returns the observation after a number of rounds of pings to which all members except `unresponsive`
/// replied.
pub fn observe(state: &ControlState, unresponsive: &[&str], rounds: u32) -> Observation {
    let mut observed = Observation::default();
    for _ in 0..rounds {
        observed.reachability.record_round(state, &responders(state, unresponsive), ROUND, MAX_ROUND_ELAPSED);
    }
    observed
}

/// Returns all members of a state except those whose names are in `unresponsive`.
pub fn responders(state: &ControlState, unresponsive: &[&str]) -> Vec<Member> {
    let mut members = Observation::members_to_ping(state);
    members.retain(|member| !unresponsive.contains(&&*member.name));
    members
}

/// Issues the next fencing token to the member called `name`.
pub fn raise_fence(state: &ControlState, name: &str) -> ControlState {
    with_raised_fence(state, name, state.fence).expect("the token in the state is the latest")
}

/// Returns a state with three acceptors and the standby `d`.
pub fn with_waiting_standby() -> ControlState {
    with_standby(&system(3), &member("d", 4)).expect("the machine becomes a standby")
}

/// Registers the machine `v9` as a joining store.
pub fn with_joining_store(state: &ControlState) -> ControlState {
    let next = with_store(state, &store("v9", 90)).expect("the machine is registered");
    assert_eq!((&next.stores, next.joining_stores.len()), (&state.stores, 1));
    next
}

/// Adds the store `v9`, which starts a migration of the batch jobs.
pub fn with_started_migration(state: &ControlState) -> ControlState {
    let state = with_joining_store(state);
    next_reconciliation(&state, state.fence, &observe(&state, &[], 1)).expect("the store is added")
}

/// Returns a state with one store more than intended, and without a migration in progress.
pub fn with_surplus_store() -> ControlState {
    ControlState { previous_stores: None, ..with_started_migration(&system(3)) }
}
