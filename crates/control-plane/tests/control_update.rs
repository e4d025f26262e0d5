//! Updates of the control state: they contain the configuration only if it has changed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use control_plane::ControlUpdate;
use register::{Ballot, Versioned};
use state::{AppliedChange, ControlState, Document, MAX_APPLIED_CHANGES};
use yare::parameterized;

/// Size of the configuration, far larger than the rest of a state even when compressed.
const CONFIGURATION_BYTES: usize = 20_000;

/// Returns a text that compression shortens only slightly.
fn incompressible(bytes: usize) -> String {
    let mut random = fastrand::Rng::with_seed(7);
    (0..bytes).map(|_| random.alphanumeric()).collect()
}

fn state(configuration_version: u64, target_version: u64) -> ControlState {
    ControlState {
        revision: 10 * configuration_version + target_version,
        configuration: Document::new(incompressible(CONFIGURATION_BYTES)),
        configuration_version,
        applied_changes: VecDeque::from([AppliedChange {
            digest: configuration_version.into(),
            version: configuration_version,
        }]),
        target_versions: BTreeMap::from([("m".to_owned(), target_version)]),
        fence: 3,
        ..ControlState::default()
    }
}

fn committed(state: ControlState) -> Versioned<ControlState> {
    Versioned::new(Ballot { round: state.revision, proposer: 1 }, Arc::new(state))
}

#[test]
fn given_the_same_configuration_when_a_target_version_changes_then_the_configuration_is_not_sent() {
    let (present, newest) = (state(5, 1), committed(state(5, 2)));
    let update = ControlUpdate::new(&newest, present.configuration_version);
    assert!(newest.value.configuration.compressed_bytes() > CONFIGURATION_BYTES / 2);
    assert!(rpc::encode(&update).len() < CONFIGURATION_BYTES / 20);
    assert_eq!(update.apply(&present), Some(newest));
}

#[test]
fn given_another_configuration_when_a_value_is_polled_then_the_complete_value_is_sent() {
    let (present, newest) = (state(5, 1), committed(state(6, 1)));
    let update = ControlUpdate::new(&newest, present.configuration_version);
    assert_eq!(update.apply(&ControlState::default()), Some(newest));
}

/// Returns the state after `times` changes, each of which has raised the version of the configuration by two.
fn state_after_changes(times: u64) -> ControlState {
    let newest = (1..=times).rev().take(MAX_APPLIED_CHANGES).collect::<Vec<_>>();
    let applied =
        newest.into_iter().rev().map(|change| AppliedChange { digest: change.into(), version: 2 * change });
    ControlState { applied_changes: applied.collect(), ..state(2 * times, 1) }
}

#[parameterized(
    next = { 5, 6 },
    many_later = { 5, 900 },
    some_changes_are_discarded = { 1500, 1510 },
    all_changes_of_the_receiver_are_discarded = { 5, 1500 },
)]
fn given_a_newer_configuration_when_polled_then_only_the_changes_since_are_sent(present: u64, newest: u64) {
    let (present, newest) = (state_after_changes(present), committed(state_after_changes(newest)));
    let update = ControlUpdate::new(&newest, present.configuration_version);
    let bytes = rpc::encode(&update).len() - newest.value.configuration.compressed_bytes();
    let since = (newest.value.configuration_version - present.configuration_version) as usize / 2;
    assert!(bytes < 200 + 25 * since.min(MAX_APPLIED_CHANGES), "{bytes} bytes for {since} changes");
    assert_eq!(update.apply(&present), Some(newest));
}

#[test]
fn given_changes_since_a_version_when_the_receiver_has_another_one_then_they_are_not_applied() {
    let newest = committed(state_after_changes(6));
    assert_eq!(ControlUpdate::new(&newest, 10).apply(&state_after_changes(4)), None);
}

#[test]
fn given_an_update_without_configuration_when_the_receiver_has_another_one_then_it_is_not_applied() {
    let newest = committed(state(5, 2));
    let update = ControlUpdate::new(&newest, 5);
    assert_eq!(update.apply(&state(4, 2)), None);
}
