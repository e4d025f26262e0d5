//! Changes that operators and trainers request: configuration, target versions, draining of stores.

mod common;

use common::{document, store, system};
use state::change::{
    change_digest, next_reconciliation, with_configuration, with_draining, with_target_version, ChangeKind,
    ChangeRejected, Observation,
};
use state::{ControlState, DrainState, MAX_APPLIED_CHANGES};
use yare::parameterized;

/// Replaces the configuration, if its version is `expected`.
fn put(state: &ControlState, expected: u64, body: &str) -> Result<ControlState, ChangeRejected> {
    change(state, ChangeKind::Replace, expected, body)
}

/// Changes the configuration, if its version is `expected`.
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
fn given_no_configuration_when_one_is_put_with_expected_version_zero_then_it_is_applied_verbatim() {
    let body = document(4, "r");
    let state = put(&system(3), 0, &body).expect("the change is applied");
    assert_eq!((state.configuration_version, state.revision), (4, 2));
    assert_eq!(state.configuration.text(), Ok(&*body));
}

#[test]
fn given_an_applied_change_when_repeated_then_it_is_recognized_even_if_another_followed() {
    let first = put(&system(3), 0, &document(4, "r")).expect("the change is applied");
    let second = put(&first, 4, &document(7, "r")).expect("the change is applied");
    for state in [&first, &second] {
        assert_eq!(put(state, 0, &document(4, "r")), Err(ChangeRejected::AlreadyApplied));
    }
}

#[test]
fn given_more_changes_than_are_recorded_when_a_recorded_one_is_repeated_then_it_is_recognized() {
    let mut state = system(3);
    for version in 1..=1100 {
        state = put(&state, version - 1, &document(version, "r")).expect("the change is applied");
    }
    assert_eq!(state.applied_changes.len(), MAX_APPLIED_CHANGES);
    assert_eq!(put(&state, 1099, &document(1100, "r")), Err(ChangeRejected::AlreadyApplied));
    assert_eq!(put(&state, 90, &document(91, "r")), Err(ChangeRejected::AlreadyApplied));
    assert_eq!(put(&state, 90, &document(91, "other")), Err(ChangeRejected::VersionMismatch(1100)));
}

#[test]
fn given_a_change_that_is_no_longer_recorded_when_repeated_then_it_gets_no_definite_answer() {
    let mut state = system(3);
    for version in 1..=1100 {
        state = put(&state, version - 1, &document(version, "r")).expect("the change is applied");
    }
    assert_eq!(
        put(&state, 9, &document(10, "r")),
        Err(ChangeRejected::TooOld),
        "the change was applied, so the answer must not be a version mismatch"
    );
}

#[test]
fn given_two_changes_of_one_version_when_both_produce_the_same_version_then_only_the_first_is_applied() {
    let state = put(&system(3), 0, &document(4, "r")).expect("the change is applied");
    let applied = put(&state, 4, &document(6, "one")).expect("the change is applied");
    assert_eq!(put(&applied, 4, &document(6, "other")), Err(ChangeRejected::VersionMismatch(6)));
    assert_eq!(put(&applied, 4, &document(6, "one")), Err(ChangeRejected::AlreadyApplied));
}

#[parameterized(
    same_version = { 4, &document(4, "q") },
    lower_version = { 4, &document(3, "q") },
    truncated = { 4, &document(9, "q")[..40] },
    not_json = { 4, "hello" },
    empty = { 4, "" },
    unknown_service = { 4, r#"{"edition":9,"routes":[{"name":"r","depot":"h","lanePrefix":"/r/","kind":"safe","postalLine":"none"}],"postalLines":[]}"# },
    zero_timeout = { 4, &document(9, "q").replace("1500", "0") },
)]
fn given_an_invalid_document_when_put_with_the_current_version_then_it_is_rejected_as_invalid(
    expected: u64,
    body: &str,
) {
    let state = put(&system(3), 0, &document(4, "r")).expect("the change is applied");
    let rejected = put(&state, expected, body).expect_err("the change is rejected");
    assert!(matches!(rejected, ChangeRejected::Invalid(_)), "{rejected:?}");
}

#[test]
fn given_a_configuration_when_patched_then_items_change_and_a_put_of_the_same_body_is_another_change() {
    let state = put(&system(3), 0, &document(4, "r")).expect("the change is applied");
    let patch = r#"{"edition":9,"loadIn":{"routes":[{"name":"q","depot":"h","lanePrefix":"/q/","kind":"safe","postalLine":"s"}]},"strike":{"routes":["r"]}}"#;
    let patched = change(&state, ChangeKind::Patch, 4, patch).expect("the change is applied");
    let text = patched.configuration.text().expect("the document can be read");
    assert!(text.contains("/q/") && !text.contains("/r/"));
    assert_eq!(change(&patched, ChangeKind::Patch, 4, patch), Err(ChangeRejected::AlreadyApplied));
    assert_eq!(put(&patched, 4, patch), Err(ChangeRejected::VersionMismatch(9)));
}

#[test]
fn given_no_configuration_when_patched_then_the_patch_is_rejected_as_invalid() {
    let rejected = change(&system(3), ChangeKind::Patch, 0, r#"{"edition":1}"#);
    assert!(matches!(rejected, Err(ChangeRejected::Invalid(_))), "{rejected:?}");
}

#[test]
fn given_a_target_version_when_it_or_a_lower_one_is_set_again_then_the_state_is_unchanged() {
    let state = with_target_version(&system(3), "m", 2).expect("the version is set");
    let state = with_target_version(&state, "m", 3).expect("the version is set");
    for version in [1, 2, 3] {
        assert_eq!(with_target_version(&state, "m", version), Err(ChangeRejected::Unchanged));
    }
    assert_eq!(state.target_versions["m"], 3);
    assert_eq!(
        with_target_version(&state, "other", 1),
        Err(ChangeRejected::Unchanged),
        "every model has version 1 initially"
    );
}

#[test]
fn given_enough_stores_when_one_is_marked_for_draining_then_it_is_drained() {
    let state = with_draining(&system(4), "v1").expect("three stores remain");
    assert_eq!(state.draining["v1"], DrainState::Draining);
    assert_eq!(with_draining(&state, "v1"), Err(ChangeRejected::Unchanged));
    let migrating = next_reconciliation(&state, 0, &Observation::default()).expect("the migration starts");
    assert_eq!(migrating.stores.members.len(), 3);
    assert_eq!(
        with_draining(&migrating, "v1"),
        Err(ChangeRejected::Unchanged),
        "an operator may repeat the order during the migration"
    );
    let committed_epochs = [10, 12, 13].map(|id| (register::Incarnation(id), 2)).into();
    let drained =
        next_reconciliation(&migrating, 0, &Observation { committed_epochs, ..Observation::default() })
            .expect("the migration has finished");
    assert_eq!(drained.draining["v1"], DrainState::Drained);
}

#[parameterized(
    unknown_name = { 4, "nobody", ChangeRejected::UnknownMember },
    acceptor = { 4, "a", ChangeRejected::UnknownMember },
    too_few_stores = { 3, "v1", ChangeRejected::TooFewStores },
)]
fn given_a_member_that_cannot_be_drained_when_marked_for_draining_then_it_is_rejected(
    stores: u64,
    name: &str,
    reason: ChangeRejected,
) {
    assert_eq!(with_draining(&system(stores), name), Err(reason));
}

#[test]
fn given_draining_stores_when_another_is_marked_then_draining_ones_do_not_count_as_remaining() {
    let state = with_draining(&system(5), "v1").expect("four stores remain");
    let state = with_draining(&state, "v2").expect("three stores remain");
    assert_eq!(with_draining(&state, "v3"), Err(ChangeRejected::TooFewStores));
}

#[test]
fn given_a_store_in_the_previous_set_only_when_marked_for_draining_then_it_is_accepted() {
    let mut state = system(4);
    state.previous_stores = Some(state.stores.clone());
    state.stores.members[0] = store("v9", 90);
    assert!(with_draining(&state, "v0").is_ok());
}
