//! Reconciliation by the leader: replacing, adding and removing members, and finishing migrations.

mod common;

use common::{
    observe, raise_fence, store, system, with_joining_store, with_started_migration, with_surplus_store,
    with_waiting_standby,
};
use state::change::{next_reconciliation, with_store, AlreadyMember, Observation};
use state::ControlState;
use yare::parameterized;

#[test]
fn given_waiting_machines_when_unresponsive_for_five_rounds_then_they_are_removed() {
    let state = with_store(&with_waiting_standby(), &store("v9", 90)).expect("the machine is registered");
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["d", "v9"], 4)), None);
    let next =
        next_reconciliation(&state, 0, &observe(&state, &["d", "v9"], 5)).expect("the machines are removed");
    assert!(next.standbys.is_empty() && next.joining_stores.is_empty());
    assert_eq!((next.acceptors, next.stores), (state.acceptors, state.stores));
}

#[parameterized(acceptor = { "c" }, store = { "v0" })]
fn given_no_replacement_when_a_member_is_unresponsive_then_it_remains_a_member(unresponsive: &str) {
    let state = system(3);
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &[unresponsive], 50)), None);
}

#[test]
fn given_all_stores_responding_when_another_waits_then_it_is_added() {
    let added = with_started_migration(&system(3));
    assert_eq!((added.stores.epoch, added.stores.members.len()), (2, 4));
    assert_eq!(added.previous_stores, Some(system(3).stores));
    assert!(added.joining_stores.is_empty());
    assert_eq!(with_store(&added, &store("v9", 90)), Err(AlreadyMember));
}

#[test]
fn given_an_unresponsive_store_when_another_waits_then_it_replaces_the_store_in_one_step() {
    let state = with_joining_store(&system(3));
    for rounds in 1..3 {
        assert_eq!(
            next_reconciliation(&state, 0, &observe(&state, &["v1"], rounds)),
            None,
            "the store may still return"
        );
    }
    let next = next_reconciliation(&state, 0, &observe(&state, &["v1"], 3)).expect("the store is replaced");
    let members: Vec<&str> = next.stores.members.iter().map(|store| &*store.member.name).collect();
    assert_eq!(members, ["v0", "v2", "v9"]);
    assert_eq!((next.previous_stores, next.stores.epoch), (Some(system(3).stores), 2));
}

#[test]
fn given_two_failed_stores_when_two_wait_then_both_are_replaced_in_one_step() {
    let first = with_store(&system(5), &store("v8", 80)).expect("the machine is registered");
    let state = with_store(&first, &store("v9", 90)).expect("the machine is registered");
    let next =
        next_reconciliation(&state, 0, &observe(&state, &["v0", "v4"], 3)).expect("the stores are replaced");
    let members: Vec<&str> = next.stores.members.iter().map(|store| &*store.member.name).collect();
    assert_eq!(members, ["v1", "v2", "v3", "v8", "v9"]);
    assert_eq!(next.stores.epoch, 2);
}

#[test]
fn given_an_unresponsive_waiting_machine_when_a_store_fails_then_it_does_not_replace_the_store() {
    let state = with_joining_store(&system(3));
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1", "v9"], 4)), None);
}

#[test]
fn given_a_migration_when_another_store_waits_then_it_waits_until_the_migration_has_finished() {
    let state =
        with_store(&with_started_migration(&system(3)), &store("v8", 80)).expect("the machine is registered");
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1"], 4)), None);
}

#[test]
fn given_one_surplus_store_when_two_are_unresponsive_then_only_one_is_removed() {
    let state = ControlState { previous_stores: None, ..with_started_migration(&system(3)) };
    let next =
        next_reconciliation(&state, 0, &observe(&state, &["v1", "v2"], 5)).expect("one store is removed");
    assert_eq!(next.stores.members.len(), 3);
    let next = ControlState { previous_stores: None, ..next };
    assert_eq!(next_reconciliation(&next, 0, &observe(&next, &["v1", "v2"], 5)), None);
}

#[test]
fn given_a_superseded_leader_when_it_reconciles_then_the_state_is_unchanged() {
    let state = raise_fence(&with_surplus_store(), "b");
    let observed = observe(&state, &["v1"], 5);
    assert_eq!(next_reconciliation(&state, 0, &observed), None);
    assert!(next_reconciliation(&state, 1, &observed).is_some());
}

#[parameterized(
    one_pending = { &[10, 11], 2, true },
    two_pending = { &[10], 2, false },
    old_epoch = { &[10, 11, 12], 1, false },
    all_pending = { &[], 2, false },
)]
fn given_a_migration_when_stores_have_migrated_then_it_finishes_if_they_have_a_majority_of_the_replicas_of_each_job(
    migrated: &[u64],
    epoch: u64,
    is_finished: bool,
) {
    let state = with_started_migration(&system(3));
    let committed_epochs = migrated.iter().map(|id| (register::Incarnation(*id), epoch)).collect();
    let next = next_reconciliation(&state, 0, &Observation { committed_epochs, ..Observation::default() });
    assert_eq!(next.is_some_and(|next| next.previous_stores.is_none()), is_finished);
}

#[test]
fn given_fewer_stores_than_replicas_when_one_has_not_migrated_then_the_migration_does_not_finish() {
    let state = with_started_migration(&system(2));
    let committed_epochs = [(register::Incarnation(10), 2)].into();
    assert_eq!(
        next_reconciliation(&state, 0, &Observation { committed_epochs, ..Observation::default() }),
        None
    );
}

#[test]
fn given_committed_epochs_of_unknown_stores_only_when_reconciled_then_the_migration_does_not_finish() {
    let state = with_started_migration(&system(3));
    let unknown_stores = [77, 78, 79].map(|id| (register::Incarnation(id), 9)).into();
    assert_eq!(
        next_reconciliation(
            &state,
            0,
            &Observation { committed_epochs: unknown_stores, ..Observation::default() }
        ),
        None
    );
}
