//! Tests the confirmation that a committed value is the newest one.

mod common;

use common::{member, member_with_disk, members, receivers, reply, versioned, History};
use register::{Confirmation, ConfirmationStatus, Member, ReplyOutcome, Versioned};
use yare::parameterized;

/// Returns a value of three acceptors with the ballot of this round.
fn value(round: u64) -> Versioned<History> {
    versioned(round, &[round as u32], members(&[0, 1, 2]))
}

/// Delivers the reply of `from` with values whose ballots have these rounds.
fn deliver_values(
    confirmation: &mut Confirmation<History>,
    from: &Member,
    accepted: Option<u64>,
    committed: Option<u64>,
) -> ConfirmationStatus<History> {
    let outcome = ReplyOutcome::Current { accepted: accepted.map(value), committed: committed.map(value) };
    confirmation.on_reply(from, reply(from, outcome))
}

#[parameterized(
    same = { (Some(5), Some(5)), (Some(5), Some(5)) },
    not_learned_yet = { (Some(5), Some(4)), (Some(5), None) },
    one_lags = { (Some(5), Some(5)), (Some(4), Some(4)) },
    one_is_empty = { (Some(5), Some(5)), (None, None) },
)]
fn given_a_majority_without_anything_newer_when_read_then_the_value_is_confirmed(
    first: (Option<u64>, Option<u64>),
    second: (Option<u64>, Option<u64>),
) {
    let (mut confirmation, requests) = Confirmation::start(value(5));
    assert_eq!(requests.len(), 3);
    assert!(matches!(
        deliver_values(&mut confirmation, &member(0), first.0, first.1),
        ConfirmationStatus::Pending
    ));
    assert!(matches!(
        deliver_values(&mut confirmation, &member(0), first.0, first.1),
        ConfirmationStatus::Pending
    ));
    assert!(matches!(
        deliver_values(&mut confirmation, &member(2), second.0, second.1),
        ConfirmationStatus::Confirmed
    ));
}

#[test]
fn given_acceptors_that_reply_with_ballots_only_when_read_then_the_value_is_confirmed() {
    let (mut confirmation, _) = Confirmation::start(value(5));
    let ballots = |accepted: u64, committed: u64| ReplyOutcome::NothingNewer {
        accepted: Some(value(accepted).ballot),
        committed: Some(value(committed).ballot),
    };
    let first = confirmation.on_reply(&member(0), reply(&member(0), ballots(5, 5)));
    assert!(matches!(first, ConfirmationStatus::Pending));
    let second = confirmation.on_reply(&member(1), reply(&member(1), ballots(4, 4)));
    assert!(matches!(second, ConfirmationStatus::Confirmed));
    assert_eq!(receivers(&confirmation.catch_up_requests()), ["machine-1"]);
}

#[test]
fn given_a_newer_committed_value_when_read_then_one_reply_supersedes_the_known_value() {
    let (mut confirmation, _) = Confirmation::start(value(5));
    let status = deliver_values(&mut confirmation, &member(1), Some(8), Some(7));
    assert!(matches!(status, ConfirmationStatus::Superseded(newer) if newer == value(7)));
}

#[test]
fn given_a_newer_accepted_value_when_a_majority_has_replied_then_it_is_undecided() {
    let (mut confirmation, _) = Confirmation::start(value(5));
    assert!(matches!(
        deliver_values(&mut confirmation, &member(1), Some(8), Some(5)),
        ConfirmationStatus::Pending
    ));
    let status = deliver_values(&mut confirmation, &member(0), Some(5), Some(5));
    assert!(matches!(status, ConfirmationStatus::Undecided(by) if by == value(8).ballot));
    let status = deliver_values(&mut confirmation, &member(2), Some(5), Some(5));
    assert!(matches!(status, ConfirmationStatus::Confirmed), "a majority has nothing newer");
}

#[test]
fn given_replies_of_other_disks_or_machines_when_handled_then_they_do_not_count() {
    let (mut confirmation, _) = Confirmation::start(value(5));
    deliver_values(&mut confirmation, &member(0), Some(5), Some(5));
    let replaced = member_with_disk(1, 99);
    assert!(matches!(deliver_values(&mut confirmation, &replaced, None, None), ConfirmationStatus::Pending));
    assert!(matches!(deliver_values(&mut confirmation, &member(4), None, None), ConfirmationStatus::Pending));
    let outcome = ReplyOutcome::Current { accepted: None, committed: None };
    let status = confirmation.on_reply(&member(1), reply(&replaced, outcome));
    assert!(matches!(status, ConfirmationStatus::Pending));
}

#[test]
fn given_lagging_acceptors_when_read_then_catch_up_requests_are_addressed_to_them() {
    let (mut confirmation, _) = Confirmation::start(value(5));
    deliver_values(&mut confirmation, &member(0), Some(5), Some(5));
    deliver_values(&mut confirmation, &member(1), Some(5), Some(4));
    deliver_values(&mut confirmation, &member(2), None, None);
    assert_eq!(receivers(&confirmation.catch_up_requests()), ["machine-1", "machine-2"]);
}
