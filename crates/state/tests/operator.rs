//! Changes by the operator and the trainers.

mod common;

use common::{document, store, system};
use state::change::{
    change_digest, next_reconciliation, with_configuration, with_draining, with_target_version, ChangeKind,
    ChangeRejected, Observation,
};
use state::{ControlState, DrainState, MAX_APPLIED_CHANGES};
use yare::parameterized;

fn put(state: &ControlState, expected: u64, body: &str) -> Result<ControlState, ChangeRejected> {
    change(state, ChangeKind::Replace, expected, body)
}

fn change(
    state: &ControlState,
    kind: ChangeKind,
    expected: u64,
    body: &str,
) -> Result<ControlState, ChangeRejected> {
    let digest = change_digest(kind, expected, body.as_bytes());
    with_configuration(state, kind, expected, digest, body.as_bytes())
}

#[test]
fn given_no_configuration_when_the_first_is_put_on_zero_then_it_is_applied_verbatim() {
    let body = document(4, "r");
    let state = put(&system(3), 0, &body).expect("it is applied");
    assert_eq!((state.configuration_version, state.revision), (4, 2));
    assert_eq!(state.configuration.text(), Ok(&*body));
}

#[test]
fn given_an_applied_change_when_it_is_repeated_then_it_is_recognized_whatever_was_applied_after_it() {
    let first = put(&system(3), 0, &document(4, "r")).expect("it is applied");
    let second = put(&first, 4, &document(7, "r")).expect("it is applied");
    for state in [&first, &second] {
        assert_eq!(put(state, 0, &document(4, "r")), Err(ChangeRejected::AlreadyApplied));
    }
}

#[test]
fn given_hundreds_of_changes_when_an_old_one_is_repeated_then_it_is_recognized_while_it_is_remembered() {
    let mut state = system(3);
    for version in 1..=1100 {
        state = put(&state, version - 1, &document(version, "r")).expect("it is applied");
    }
    assert_eq!(state.applied_changes.len(), MAX_APPLIED_CHANGES);
    assert_eq!(put(&state, 1099, &document(1100, "r")), Err(ChangeRejected::AlreadyApplied));
    assert_eq!(put(&state, 90, &document(91, "r")), Err(ChangeRejected::AlreadyApplied));
    assert_eq!(put(&state, 90, &document(91, "other")), Err(ChangeRejected::VersionMismatch(1100)));
}

#[test]
fn given_a_forgotten_change_when_it_is_repeated_then_it_gets_no_definite_answer() {
    let mut state = system(3);
    for version in 1..=1100 {
        state = put(&state, version - 1, &document(version, "r")).expect("it is applied");
    }
    assert_eq!(
        put(&state, 9, &document(10, "r")),
        Err(ChangeRejected::TooOld),
        "it was applied_changes: it must not be refused"
    );
}

#[test]
fn given_two_changes_on_one_version_when_both_choose_the_same_number_then_one_wins() {
    let state = put(&system(3), 0, &document(4, "r")).expect("it is applied");
    let won = put(&state, 4, &document(6, "one")).expect("it is applied");
    assert_eq!(put(&won, 4, &document(6, "other")), Err(ChangeRejected::VersionMismatch(6)));
    assert_eq!(put(&won, 4, &document(6, "one")), Err(ChangeRejected::AlreadyApplied));
}

#[parameterized(
    same_number = { 4, &document(4, "q") },
    lower_number = { 4, &document(3, "q") },
    cut_short = { 4, &document(9, "q")[..40] },
    no_json = { 4, "hello" },
    empty = { 4, "" },
    unknown_service = { 4, r#"{"edition":9,"routes":[{"name":"r","depot":"h","lanePrefix":"/r/","kind":"safe","postalLine":"none"}],"postalLines":[]}"# },
    no_time = { 4, &document(9, "q").replace("1500", "0") },
)]
fn given_an_invalid_change_when_put_on_the_current_version_then_it_is_invalid(expected: u64, body: &str) {
    let state = put(&system(3), 0, &document(4, "r")).expect("it is applied");
    let rejected = put(&state, expected, body).expect_err("it is rejected");
    assert!(matches!(rejected, ChangeRejected::Invalid(_)), "{rejected:?}");
}

#[test]
fn given_a_configuration_when_patched_then_items_change_and_the_same_body_as_a_put_is_another_change() {
    let state = put(&system(3), 0, &document(4, "r")).expect("it is applied");
    let patch = r#"{"edition":9,"loadIn":{"routes":[{"name":"q","depot":"h","lanePrefix":"/q/","kind":"safe","postalLine":"s"}]},"strike":{"routes":["r"]}}"#;
    let patched = change(&state, ChangeKind::Patch, 4, patch).expect("it is applied");
    let text = patched.configuration.text().expect("it can be read");
    assert!(text.contains("/q/") && !text.contains("/r/"));
    assert_eq!(change(&patched, ChangeKind::Patch, 4, patch), Err(ChangeRejected::AlreadyApplied));
    assert_eq!(put(&patched, 4, patch), Err(ChangeRejected::VersionMismatch(9)));
}

#[test]
fn given_no_configuration_when_patched_then_it_is_invalid() {
    let rejected = change(&system(3), ChangeKind::Patch, 0, r#"{"edition":1}"#);
    assert!(matches!(rejected, Err(ChangeRejected::Invalid(_))), "{rejected:?}");
}

#[test]
fn given_a_target_version_when_it_or_a_lower_one_is_named_again_then_nothing_changes() {
    let state = with_target_version(&system(3), "m", 2).expect("it is named");
    let state = with_target_version(&state, "m", 3).expect("it is named");
    for version in [1, 2, 3] {
        assert_eq!(with_target_version(&state, "m", version), Err(ChangeRejected::Unchanged));
    }
    assert_eq!(state.target_versions["m"], 3);
    assert_eq!(
        with_target_version(&state, "other", 1),
        Err(ChangeRejected::Unchanged),
        "all begin with version 1"
    );
}

#[test]
fn given_enough_stores_when_one_is_retired_then_it_is_drained() {
    let state = with_draining(&system(4), "v1").expect("three are left");
    assert_eq!(state.draining["v1"], DrainState::Draining);
    assert_eq!(with_draining(&state, "v1"), Err(ChangeRejected::Unchanged));
    let migrating = next_reconciliation(&state, 0, &Observation::default()).expect("the migration starts");
    assert_eq!(migrating.stores.members.len(), 3);
    assert_eq!(
        with_draining(&migrating, "v1"),
        Err(ChangeRejected::Unchanged),
        "an order may be repeated meanwhile"
    );
    let committed_epochs = [10, 12, 13].map(|id| (register::Incarnation(id), 2)).into();
    let drained =
        next_reconciliation(&migrating, 0, &Observation { committed_epochs, ..Observation::default() })
            .expect("it has moved");
    assert_eq!(drained.draining["v1"], DrainState::Drained);
}

#[parameterized(
    unknown = { 4, "nobody", ChangeRejected::UnknownMember },
    an_acceptor = { 4, "a", ChangeRejected::UnknownMember },
    too_few = { 3, "v1", ChangeRejected::TooFewStores },
)]
fn given_a_member_that_cannot_be_drained_when_retired_then_it_is_rejected(
    stores: u64,
    name: &str,
    reason: ChangeRejected,
) {
    assert_eq!(with_draining(&system(stores), name), Err(reason));
}

#[test]
fn given_a_draining_store_when_another_is_retired_then_both_count_as_leaving() {
    let state = with_draining(&system(5), "v1").expect("four are left");
    let state = with_draining(&state, "v2").expect("three are left");
    assert_eq!(with_draining(&state, "v3"), Err(ChangeRejected::TooFewStores));
}

#[test]
fn given_a_store_that_is_being_replaced_when_retired_then_it_is_accepted() {
    let mut state = system(4);
    state.previous_stores = Some(state.stores.clone());
    state.stores.members[0] = store("v9", 90);
    assert!(with_draining(&state, "v0").is_ok());
}
