//! Changes by the operator and the trainers.

mod common;

use common::{document, store, system};
use state::change::{
    change_digest, next_reconciliation, with_configuration, with_draining, with_version, ChangeKind,
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
fn given_no_configuration_when_the_first_is_put_on_zero_then_it_is_taken_in_its_own_words() {
    let body = document(4, "r");
    let state = put(&system(3), 0, &body).expect("it is taken");
    assert_eq!((state.edition, state.revision), (4, 2));
    assert_eq!(state.configuration.text(), Ok(&*body));
}

#[test]
fn given_a_taken_change_when_it_comes_again_then_it_is_known_whatever_came_after() {
    let first = put(&system(3), 0, &document(4, "r")).expect("it is taken");
    let second = put(&first, 4, &document(7, "r")).expect("it is taken");
    for state in [&first, &second] {
        assert_eq!(put(state, 0, &document(4, "r")), Err(ChangeRejected::AlreadyTaken));
    }
}

#[test]
fn given_hundreds_of_changes_when_an_old_one_comes_again_then_it_is_known_for_as_long_as_is_kept() {
    let mut state = system(3);
    for version in 1..=1100 {
        state = put(&state, version - 1, &document(version, "r")).expect("it is taken");
    }
    assert_eq!(state.applied_changes.len(), MAX_APPLIED_CHANGES);
    assert_eq!(put(&state, 1099, &document(1100, "r")), Err(ChangeRejected::AlreadyTaken));
    assert_eq!(put(&state, 90, &document(91, "r")), Err(ChangeRejected::AlreadyTaken));
    assert_eq!(put(&state, 90, &document(91, "other")), Err(ChangeRejected::OtherVersion(1100)));
}

#[test]
fn given_a_change_that_is_forgotten_when_it_comes_again_then_it_gets_no_clear_answer() {
    let mut state = system(3);
    for version in 1..=1100 {
        state = put(&state, version - 1, &document(version, "r")).expect("it is taken");
    }
    assert_eq!(
        put(&state, 9, &document(10, "r")),
        Err(ChangeRejected::TooOld),
        "it was taken: it must not be refused"
    );
}

#[test]
fn given_two_changes_on_one_version_when_both_choose_the_same_number_then_one_wins() {
    let state = put(&system(3), 0, &document(4, "r")).expect("it is taken");
    let won = put(&state, 4, &document(6, "one")).expect("it is taken");
    assert_eq!(put(&won, 4, &document(6, "other")), Err(ChangeRejected::OtherVersion(6)));
    assert_eq!(put(&won, 4, &document(6, "one")), Err(ChangeRejected::AlreadyTaken));
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
    let state = put(&system(3), 0, &document(4, "r")).expect("it is taken");
    let declined = put(&state, expected, body).expect_err("it is declined");
    assert!(matches!(declined, ChangeRejected::Invalid(_)), "{declined:?}");
}

#[test]
fn given_a_configuration_when_patched_then_items_change_and_the_same_body_as_a_put_is_another_change() {
    let state = put(&system(3), 0, &document(4, "r")).expect("it is taken");
    let patch = r#"{"edition":9,"loadIn":{"routes":[{"name":"q","depot":"h","lanePrefix":"/q/","kind":"safe","postalLine":"s"}]},"strike":{"routes":["r"]}}"#;
    let patched = change(&state, ChangeKind::Patch, 4, patch).expect("it is taken");
    let text = patched.configuration.text().expect("it can be read");
    assert!(text.contains("/q/") && !text.contains("/r/"));
    assert_eq!(change(&patched, ChangeKind::Patch, 4, patch), Err(ChangeRejected::AlreadyTaken));
    assert_eq!(put(&patched, 4, patch), Err(ChangeRejected::OtherVersion(9)));
}

#[test]
fn given_no_configuration_when_patched_then_it_is_invalid() {
    let declined = change(&system(3), ChangeKind::Patch, 0, r#"{"edition":1}"#);
    assert!(matches!(declined, Err(ChangeRejected::Invalid(_))), "{declined:?}");
}

#[test]
fn given_a_named_version_when_it_or_a_lower_one_is_named_again_then_nothing_changes() {
    let state = with_version(&system(3), "m", 2).expect("it is named");
    let state = with_version(&state, "m", 3).expect("it is named");
    for version in [1, 2, 3] {
        assert_eq!(with_version(&state, "m", version), Err(ChangeRejected::Unchanged));
    }
    assert_eq!(state.named_versions["m"], 3);
    assert_eq!(with_version(&state, "other", 1), Err(ChangeRejected::Unchanged), "all begin with version 1");
}

#[test]
fn given_enough_stores_when_one_is_retired_then_it_is_moved_and_told_as_delivered() {
    let state = with_draining(&system(4), "v1").expect("three are left");
    assert_eq!(state.draining["v1"], DrainState::Rolling);
    assert_eq!(with_draining(&state, "v1"), Err(ChangeRejected::Unchanged));
    let moving = next_reconciliation(&state, 0, &Observation::default()).expect("the move begins");
    assert_eq!(moving.stores.members.len(), 3);
    assert_eq!(
        with_draining(&moving, "v1"),
        Err(ChangeRejected::Unchanged),
        "an order may be repeated all the while"
    );
    let settled = [10, 12, 13].map(|id| (register::Incarnation(id), 2)).into();
    let moved = next_reconciliation(&moving, 0, &Observation { settled, ..Observation::default() })
        .expect("it has moved");
    assert_eq!(moved.draining["v1"], DrainState::Delivered);
}

#[parameterized(
    unknown = { 4, "nobody", ChangeRejected::Unknown },
    an_acceptor = { 4, "a", ChangeRejected::Unknown },
    too_few = { 3, "v1", ChangeRejected::TooFew },
)]
fn given_an_order_that_cannot_be_done_when_retiring_then_it_is_declined(
    stores: u64,
    station: &str,
    reason: ChangeRejected,
) {
    assert_eq!(with_draining(&system(stores), station), Err(reason));
}

#[test]
fn given_one_being_emptied_when_another_is_retired_then_both_count_as_leaving() {
    let state = with_draining(&system(5), "v1").expect("four are left");
    let state = with_draining(&state, "v2").expect("three are left");
    assert_eq!(with_draining(&state, "v3"), Err(ChangeRejected::TooFew));
}

#[test]
fn given_a_store_that_is_being_replaced_when_retired_then_it_is_known() {
    let mut state = system(4);
    state.previous_stores = Some(state.stores.clone());
    state.stores.members[0] = store("v9", 90);
    assert!(with_draining(&state, "v0").is_ok());
}
