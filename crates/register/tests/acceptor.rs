//! Tests which requests an acceptor promises, accepts and learns, and which state must be durable before it
//! replies.

mod common;

use common::{ballot, members, versioned, History};
use register::{
    Acceptor, AcceptorRequest, AcceptorState, Incarnation, PendingReply, ReplyOutcome, Versioned,
};
use yare::parameterized;

/// Creates an acceptor on a new disk.
fn empty_acceptor() -> Acceptor<History> {
    Acceptor::new(AcceptorState::empty(Incarnation(7)))
}

/// Returns a value of three acceptors with the ballot of this round.
fn value(round: u64) -> Versioned<History> {
    versioned(round, &[round as u32], members(&[0, 1, 2]))
}

fn round_of(versioned: &Option<Versioned<History>>) -> Option<u64> {
    versioned.as_ref().map(|versioned| versioned.ballot.round)
}

/// Returns whether the request was rejected because of the promised ballot of `round`.
fn is_rejected(pending: &PendingReply<History>, round: u64) -> bool {
    matches!(pending.reply.outcome, ReplyOutcome::Rejected(by) if by == ballot(round))
        && !pending.must_persist
}

#[test]
fn given_a_promise_when_a_lower_ballot_is_used_then_it_is_rejected() {
    let mut acceptor = empty_acceptor();
    let promise = acceptor.handle(AcceptorRequest::Prepare(ballot(5)));
    assert!(matches!(promise.reply.outcome, ReplyOutcome::Promised(None)) && promise.must_persist);
    assert_eq!(promise.reply.incarnation, Incarnation(7));
    assert!(is_rejected(&acceptor.handle(AcceptorRequest::Prepare(ballot(4))), 5));
    assert!(is_rejected(&acceptor.handle(AcceptorRequest::Accept(value(4))), 5));
}

#[test]
fn given_an_accepted_value_when_prepared_then_the_promise_contains_it() {
    let mut acceptor = empty_acceptor();
    let accepted = acceptor.handle(AcceptorRequest::Accept(value(3)));
    assert!(matches!(accepted.reply.outcome, ReplyOutcome::Accepted) && accepted.must_persist);
    let promise = acceptor.handle(AcceptorRequest::Prepare(ballot(4)));
    assert!(
        matches!(promise.reply.outcome, ReplyOutcome::Promised(accepted) if round_of(&accepted) == Some(3))
    );
    assert!(is_rejected(&acceptor.handle(AcceptorRequest::Accept(value(3))), 4));
}

#[test]
fn given_a_request_whose_write_is_in_flight_when_repeated_then_its_reply_must_wait_for_the_disk_too() {
    let mut acceptor = empty_acceptor();
    for _ in 0..2 {
        assert!(acceptor.handle(AcceptorRequest::Prepare(ballot(5))).must_persist);
    }
    for _ in 0..2 {
        assert!(acceptor.handle(AcceptorRequest::Accept(value(5))).must_persist);
    }
}

#[parameterized(
    older_accepted = { Some(2), 2, 5, Some(5), 5 },
    nothing_accepted = { None, 0, 5, Some(5), 5 },
    newer_accepted = { Some(7), 7, 5, Some(7), 7 },
    same_accepted = { Some(5), 5, 5, Some(5), 5 },
    older_accepted_and_a_higher_promise = { Some(2), 9, 5, Some(5), 9 },
)]
fn given_a_committed_value_when_learned_then_an_older_accepted_value_is_replaced(
    accepted: Option<u64>,
    promised: u64,
    learned: u64,
    accepted_after: Option<u64>,
    promised_after: u64,
) {
    let mut acceptor = empty_acceptor();
    if let Some(round) = accepted {
        acceptor.handle(AcceptorRequest::Accept(value(round)));
    }
    acceptor.handle(AcceptorRequest::Prepare(ballot(promised)));
    let pending = acceptor.handle(AcceptorRequest::Learn(value(learned)));
    assert!(matches!(pending.reply.outcome, ReplyOutcome::Learned) && pending.must_persist);
    assert_eq!(round_of(&acceptor.state().accepted), accepted_after);
    assert_eq!(round_of(&acceptor.state().committed), Some(learned));
    assert_eq!(acceptor.state().promised, ballot(promised_after));
    let again = acceptor.handle(AcceptorRequest::Learn(value(learned - 1)));
    assert!(!again.must_persist);
    assert_eq!(round_of(&acceptor.state().committed), Some(learned));
}

#[parameterized(
    empty = { None, true },
    promised = { Some(AcceptorRequest::Prepare(ballot(1))), false },
    accepted = { Some(AcceptorRequest::Accept(value(1))), false },
    learned = { Some(AcceptorRequest::Learn(value(1))), false },
    only_read = { Some(AcceptorRequest::Read), true },
)]
fn given_an_acceptor_when_initialized_then_it_records_the_value_only_if_its_state_is_empty(
    before: Option<AcceptorRequest<History>>,
    is_recorded: bool,
) {
    let mut acceptor = empty_acceptor();
    before.into_iter().for_each(|request| {
        acceptor.handle(request);
    });
    let pending = acceptor.initialize(value(0));
    assert_eq!(matches!(pending.reply.outcome, ReplyOutcome::Learned), is_recorded);
    assert_eq!(pending.must_persist, is_recorded);
    assert!(!acceptor.initialize(value(0)).must_persist);
}

#[test]
fn given_a_durable_state_when_restarted_then_the_promise_and_the_accepted_value_remain() {
    let mut acceptor = empty_acceptor();
    acceptor.handle(AcceptorRequest::Accept(value(3)));
    acceptor.handle(AcceptorRequest::Prepare(ballot(8)));
    let mut restarted = Acceptor::new(acceptor.state().clone());
    assert!(is_rejected(&restarted.handle(AcceptorRequest::Accept(value(7))), 8));
    let read = restarted.handle(AcceptorRequest::Read);
    assert!(!read.must_persist);
    assert!(
        matches!(read.reply.outcome, ReplyOutcome::Current { accepted, committed: None } if round_of(&accepted) == Some(3))
    );
}

#[parameterized(
    older = { 2, true },
    same = { 3, false },
    newer = { 4, false },
)]
fn given_a_known_ballot_when_read_then_values_are_sent_only_if_newer(known: u64, sends_values: bool) {
    let mut acceptor = empty_acceptor();
    acceptor.handle(AcceptorRequest::Learn(value(2)));
    acceptor.handle(AcceptorRequest::Accept(value(3)));
    let pending = acceptor.handle(AcceptorRequest::ReadNewer(ballot(known)));
    assert!(!pending.must_persist);
    match pending.reply.outcome {
        ReplyOutcome::Current { accepted, committed } => {
            assert!(sends_values);
            assert_eq!((round_of(&accepted), round_of(&committed)), (Some(3), Some(2)));
        }
        ReplyOutcome::NothingNewer { accepted, committed } => {
            assert!(!sends_values);
            assert_eq!((accepted, committed), (Some(ballot(3)), Some(ballot(2))));
        }
        other => panic!("the reply to a read is neither the values nor their ballots: {other:?}"),
    }
}
