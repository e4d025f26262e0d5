//! Stores that join and leave by themselves.

mod common;

use common::{migrating, store, system};
use state::change::{
    next_reconciliation, with_draining, with_store, without_store, AlreadyMember, Observation, StillRequired,
};
use state::{ControlState, DrainState};

#[test]
fn given_a_store_that_shuts_down_when_another_has_replaced_it_then_it_leaves() {
    let leaving = store("v1", 11).member;
    assert_eq!(without_store(&system(3), &leaving), Err(StillRequired), "it is expected to return");
    assert_eq!(
        without_store(&migrating(&system(3)), &leaving),
        Err(StillRequired),
        "one migration at a time"
    );
    let state = ControlState { previous_stores: None, ..migrating(&system(3)) };
    let left = without_store(&state, &leaving).expect("it leaves");
    assert_eq!((left.stores.epoch, left.stores.members.len()), (3, 3));
    assert_eq!(left.previous_stores, Some(state.stores));
}

#[test]
fn given_a_draining_store_when_its_process_restarts_then_it_does_not_join_again() {
    let state = with_draining(&system(4), "v1").expect("three are left");
    let migrating = next_reconciliation(&state, 0, &Observation::default()).expect("the migration starts");
    let drained = ControlState { previous_stores: None, ..migrating };
    assert_eq!(with_store(&drained, &store("v1", 11)), Err(AlreadyMember));
    assert_eq!(drained.draining["v1"], DrainState::Draining);
}

#[test]
fn given_a_store_that_lost_its_disk_when_it_joins_then_it_replaces_its_former_incarnation() {
    let state = with_store(&system(3), &store("v1", 99)).expect("it joins");
    assert_eq!(state.stores.members.len(), 3);
    assert!(state.stores.members.contains(&store("v1", 99)));
    let waiting = with_store(&state, &store("v9", 98)).expect("it is registered");
    assert_eq!(waiting.stores, state.stores, "one migration at a time");
}

#[test]
fn given_a_migration_when_another_store_returns_without_its_disk_then_it_is_replaced_and_the_previous_set_stays(
) {
    let before = system(5);
    let first = with_store(&before, &store("v1", 91)).expect("it joins");
    let second = with_store(&first, &store("v2", 92)).expect("it joins during the migration");
    assert_eq!((second.stores.epoch, second.stores.members.len()), (3, 5));
    assert!(
        second.stores.members.contains(&store("v1", 91)) && second.stores.members.contains(&store("v2", 92))
    );
    assert_eq!(
        second.previous_stores,
        Some(before.stores),
        "what the first one stored may be in that set only"
    );
    assert_eq!(with_store(&second, &store("v2", 92)), Err(AlreadyMember));
}
