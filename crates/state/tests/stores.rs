//! Changes of the store set that store machines request themselves: joining and leaving.

mod common;

use common::{store, system, with_started_migration};
use state::change::{
    next_reconciliation, with_draining, with_store, without_store, AlreadyMember, Observation, StillRequired,
};
use state::{ControlState, DrainState};

#[test]
fn given_a_store_that_shuts_down_when_another_has_replaced_it_then_it_leaves() {
    let leaving_member = store("v1", 11).member;
    assert_eq!(
        without_store(&system(3), &leaving_member),
        Err(StillRequired),
        "the store is expected to return"
    );
    assert_eq!(
        without_store(&with_started_migration(&system(3)), &leaving_member),
        Err(StillRequired),
        "only one migration may be in progress"
    );
    let state = ControlState { previous_stores: None, ..with_started_migration(&system(3)) };
    let next = without_store(&state, &leaving_member).expect("the store leaves");
    assert_eq!((next.stores.epoch, next.stores.members.len()), (3, 3));
    assert_eq!(next.previous_stores, Some(state.stores));
}

#[test]
fn given_a_draining_store_when_its_process_restarts_then_it_does_not_join_again() {
    let state = with_draining(&system(4), "v1").expect("three stores remain");
    let migrating = next_reconciliation(&state, 0, &Observation::default()).expect("the migration starts");
    let drained = ControlState { previous_stores: None, ..migrating };
    assert_eq!(with_store(&drained, &store("v1", 11)), Err(AlreadyMember));
    assert_eq!(drained.draining["v1"], DrainState::Draining);
}

#[test]
fn given_a_store_that_lost_its_disk_when_it_joins_then_it_replaces_its_former_incarnation() {
    let state = with_store(&system(3), &store("v1", 99)).expect("the store joins");
    assert_eq!(state.stores.members.len(), 3);
    assert!(state.stores.members.contains(&store("v1", 99)));
    let waiting = with_store(&state, &store("v9", 98)).expect("the machine is registered");
    assert_eq!(waiting.stores, state.stores, "only one migration may be in progress");
}

#[test]
fn given_a_migration_when_another_store_returns_without_its_disk_then_the_previous_set_is_kept() {
    let before = system(5);
    let first = with_store(&before, &store("v1", 91)).expect("the store joins");
    let second = with_store(&first, &store("v2", 92)).expect("the store joins during the migration");
    assert_eq!((second.stores.epoch, second.stores.members.len()), (3, 5));
    assert!(
        second.stores.members.contains(&store("v1", 91)) && second.stores.members.contains(&store("v2", 92))
    );
    assert_eq!(
        second.previous_stores,
        Some(before.stores),
        "batch jobs of the first replaced store may be complete in that set only"
    );
    assert_eq!(with_store(&second, &store("v2", 92)), Err(AlreadyMember));
}
