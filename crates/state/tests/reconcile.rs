//! Reconciliation of the members by the leader.

mod common;

use common::{joining, migrating, observe, raised, store, system, with_surplus_store, with_waiting_standby};
use state::change::{next_reconciliation, with_store, AlreadyMember, Observation};
use state::ControlState;
use yare::parameterized;

#[test]
fn given_waiting_machines_when_they_are_unresponsive_for_long_then_they_are_removed() {
    let state = with_store(&with_waiting_standby(), &store("v9", 90)).expect("it is registered");
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["d", "v9"], 4)), None);
    let next = next_reconciliation(&state, 0, &observe(&state, &["d", "v9"], 5)).expect("they are removed");
    assert!(next.standbys.is_empty() && next.joining_stores.is_empty());
    assert_eq!((next.acceptors, next.stores), (state.acceptors, state.stores));
}

#[parameterized(acceptor = { "c" }, store = { "v0" })]
fn given_no_replacement_when_a_member_is_unresponsive_then_it_stays(unresponsive: &str) {
    let state = system(3);
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &[unresponsive], 50)), None);
}

#[test]
fn given_all_stores_responding_when_another_waits_then_it_is_added() {
    let added = migrating(&system(3));
    assert_eq!((added.stores.epoch, added.stores.members.len()), (2, 4));
    assert_eq!(added.previous_stores, Some(system(3).stores));
    assert!(added.joining_stores.is_empty());
    assert_eq!(with_store(&added, &store("v9", 90)), Err(AlreadyMember));
}

#[test]
fn given_an_unresponsive_store_when_another_waits_then_it_replaces_the_store_in_one_step() {
    let state = joining(&system(3));
    for rounds in 1..3 {
        assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1"], rounds)), None, "it may return");
    }
    let next = next_reconciliation(&state, 0, &observe(&state, &["v1"], 3)).expect("it is replaced");
    let members: Vec<&str> = next.stores.members.iter().map(|store| &*store.member.name).collect();
    assert_eq!(members, ["v0", "v2", "v9"]);
    assert_eq!((next.previous_stores, next.stores.epoch), (Some(system(3).stores), 2));
}

#[test]
fn given_two_failed_stores_when_two_wait_then_both_are_replaced_in_one_step() {
    let first = with_store(&system(5), &store("v8", 80)).expect("it is registered");
    let state = with_store(&first, &store("v9", 90)).expect("it is registered");
    let next = next_reconciliation(&state, 0, &observe(&state, &["v0", "v4"], 3)).expect("they are replaced");
    let members: Vec<&str> = next.stores.members.iter().map(|store| &*store.member.name).collect();
    assert_eq!(members, ["v1", "v2", "v3", "v8", "v9"]);
    assert_eq!(next.stores.epoch, 2);
}

#[test]
fn given_an_unresponsive_waiting_machine_when_a_store_fails_then_it_does_not_replace_the_store() {
    let state = joining(&system(3));
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1", "v9"], 4)), None);
}

#[test]
fn given_a_migration_when_another_store_waits_then_it_waits_until_the_migration_has_finished() {
    let state = with_store(&migrating(&system(3)), &store("v8", 80)).expect("it is registered");
    assert_eq!(next_reconciliation(&state, 0, &observe(&state, &["v1"], 4)), None);
}

#[test]
fn given_a_surplus_store_when_one_is_unresponsive_then_it_is_removed_but_never_a_second() {
    let state = ControlState { previous_stores: None, ..migrating(&system(3)) };
    let next = next_reconciliation(&state, 0, &observe(&state, &["v1", "v2"], 5)).expect("one is removed");
    assert_eq!(next.stores.members.len(), 3);
    let next = ControlState { previous_stores: None, ..next };
    assert_eq!(next_reconciliation(&next, 0, &observe(&next, &["v1", "v2"], 5)), None);
}

#[test]
fn given_a_superseded_leader_when_it_reconciles_then_nothing_changes() {
    let state = raised(&with_surplus_store(), "b");
    let observed = observe(&state, &["v1"], 5);
    assert_eq!(next_reconciliation(&state, 0, &observed), None);
    assert!(next_reconciliation(&state, 1, &observed).is_some());
}

#[parameterized(
    one_pending = { &[10, 11], 2, true },
    two_pending = { &[10], 2, false },
    old_epoch = { &[10, 11, 12], 1, false },
    none = { &[], 2, false },
)]
fn given_a_migration_when_stores_have_migrated_then_it_finishes_if_a_majority_of_each_batch_job_is_among_them(
    migrated: &[u64],
    epoch: u64,
    ends: bool,
) {
    let state = migrating(&system(3));
    let committed_epochs = migrated.iter().map(|id| (register::Incarnation(*id), epoch)).collect();
    let next = next_reconciliation(&state, 0, &Observation { committed_epochs, ..Observation::default() });
    assert_eq!(next.is_some_and(|next| next.previous_stores.is_none()), ends);
}

#[test]
fn given_fewer_stores_than_replicas_when_one_has_not_migrated_then_the_migration_does_not_finish() {
    let state = migrating(&system(2));
    let committed_epochs = [(register::Incarnation(10), 2)].into();
    assert_eq!(
        next_reconciliation(&state, 0, &Observation { committed_epochs, ..Observation::default() }),
        None
    );
}

#[test]
fn given_replies_about_another_set_when_the_set_changed_meanwhile_then_they_do_not_finish_the_migration() {
    let state = migrating(&system(3));
    let others = [77, 78, 79].map(|id| (register::Incarnation(id), 9)).into();
    assert_eq!(
        next_reconciliation(&state, 0, &Observation { committed_epochs: others, ..Observation::default() }),
        None
    );
}
