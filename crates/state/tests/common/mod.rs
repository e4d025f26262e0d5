//! What the tests of changes share.
#![allow(dead_code, reason = "each test file uses a part of it")]

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

/// Three acceptors a, b, c and this many stores v0, v1 and so on, with one tolerated failure.
pub fn system(stores: u64) -> ControlState {
    let acceptors = vec![member("a", 1), member("b", 2), member("c", 3)];
    let stores = (0..stores).map(|index| store(&format!("v{index}"), 10 + index)).collect();
    initial_state(acceptors, stores, 1).expect("there are acceptors")
}

pub fn document(version: u64, route: &str) -> String {
    format!(
        r#"{{"edition":{version},"routes":[{{"name":"{route}","depot":"h","lanePrefix":"/{route}/","kind":"safe",
        "expiryMs":1500,"postalLine":"s"}}],"postalLines":[{{"name":"s","healthPath":"/health"}}]}}"#
    )
}

pub const ROUND: Duration = Duration::from_millis(700);
pub const MAX_ROUND_ELAPSED: Duration = Duration::from_millis(2400);

/// The observation after `rounds` of pings to which all members but `unresponsive` replied.
pub fn observe(state: &ControlState, unresponsive: &[&str], rounds: u32) -> Observation {
    let mut observed = Observation::default();
    for _ in 0..rounds {
        observed.reachability.record_round(state, &responders(state, unresponsive), ROUND, MAX_ROUND_ELAPSED);
    }
    observed
}

/// All members but those that are `unresponsive`.
pub fn responders(state: &ControlState, unresponsive: &[&str]) -> Vec<Member> {
    let mut members = Observation::members_to_ping(state);
    members.retain(|member| !unresponsive.contains(&&*member.name));
    members
}

/// A leader that has the newest state raises the token.
pub fn raised(state: &ControlState, name: &str) -> ControlState {
    with_raised_fence(state, name, state.fence).expect("nobody raised it since")
}

/// The standby `d` waits beside three acceptors.
pub fn with_waiting_standby() -> ControlState {
    with_standby(&system(3), &member("d", 4)).expect("it waits")
}

/// The store `v9` waits beside the others.
pub fn joining(state: &ControlState) -> ControlState {
    let waiting = with_store(state, &store("v9", 90)).expect("it is registered");
    assert_eq!((&waiting.stores, waiting.joining_stores.len()), (&state.stores, 1));
    waiting
}

/// The store `v9` was added, and the batch jobs are being migrated.
pub fn migrating(state: &ControlState) -> ControlState {
    let state = joining(state);
    next_reconciliation(&state, state.fence, &observe(&state, &[], 1)).expect("it is added")
}

/// One store more than intended, and no migration under way.
pub fn with_surplus_store() -> ControlState {
    ControlState { previous_stores: None, ..migrating(&system(3)) }
}
