//! Tests the rounds of a candidate, and its actions between rounds.

use std::time::Duration;

use lease::{Candidate, CandidateAction, GrantorId, LeaseRelease, LeaseReply};
use yare::parameterized;

const TTL: Duration = Duration::from_secs(3);
/// Time at which the first round starts.
const START: Duration = Duration::from_secs(100);

/// Grant by a grantor that has known for one TTL that the grantors are the committed ones.
const GRANTED: LeaseReply = LeaseReply::Granted { committed_for_ms: 3000 };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn grantors(count: u64) -> Vec<GrantorId> {
    (0..count).map(GrantorId).collect()
}

fn rejected_for(holder: &str, remaining_ms: u64) -> LeaseReply {
    LeaseReply::Rejected { holder: holder.to_owned(), remaining_ms }
}

/// Returns a candidate that has won its first round, at `START`.
fn lease_holder() -> Candidate {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.start_round(START, 1, &grantors(3));
    candidate.on_reply(request.term, GrantorId(0), &GRANTED);
    candidate.on_reply(request.term, GrantorId(2), &GRANTED);
    candidate
}

#[parameterized(
    none_of_three = { 3, 0, false },
    one_of_three = { 3, 1, false },
    two_of_three = { 3, 2, true },
    two_of_four = { 4, 2, false },
    three_of_four = { 4, 3, true },
    one_of_one = { 1, 1, true },
    none_of_none = { 0, 0, false },
)]
fn given_grants_when_counted_then_a_majority_wins_the_lease(count: u64, granted: u64, wins: bool) {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.start_round(START, 1, &grantors(count));
    for grantor in 0..granted {
        candidate.on_reply(request.term, GrantorId(grantor), &GRANTED);
        candidate.on_reply(request.term, GrantorId(grantor), &GRANTED);
    }
    assert_eq!(candidate.holds_lease(START), wins);
}

#[test]
fn given_a_majority_when_time_passes_then_the_lease_expires_before_the_grants_do() {
    let candidate = lease_holder();
    assert!(candidate.holds_lease(START + ms(2600)));
    assert!(!candidate.holds_lease(START + ms(2800)));
    assert!(candidate.expires_at() < START + TTL);
}

#[test]
fn given_replies_to_an_earlier_round_or_of_other_grantors_when_handled_then_they_do_not_count() {
    let mut candidate = Candidate::new("one", TTL);
    let earlier = candidate.start_round(START, 1, &grantors(3));
    let later = candidate.start_round(START + TTL, 1, &grantors(3));
    candidate.on_reply(earlier.term, GrantorId(0), &GRANTED);
    candidate.on_reply(later.term, GrantorId(1), &GRANTED);
    candidate.on_reply(later.term, GrantorId(7), &GRANTED);
    assert!(!candidate.holds_lease(START + TTL));
    candidate.on_reply(later.term, GrantorId(2), &GRANTED);
    assert!(candidate.holds_lease(START + TTL));
}

#[test]
fn given_a_holder_when_it_renews_then_the_lease_is_extended() {
    let mut candidate = lease_holder();
    assert_eq!(candidate.next_action(START), CandidateAction::WaitUntil(START + ms(1000)));
    let renewal = START + ms(1000);
    assert_eq!(candidate.next_action(renewal), CandidateAction::StartRound);
    let request = candidate.start_round(renewal, 1, &grantors(3));
    assert!(candidate.holds_lease(renewal));
    for grantor in [0, 1] {
        candidate.on_reply(request.term, GrantorId(grantor), &GRANTED);
    }
    assert!(candidate.holds_lease(renewal + ms(2600)));
}

#[test]
fn given_a_holder_when_a_renewal_is_lost_then_it_keeps_the_lease_and_retries_soon() {
    let mut candidate = lease_holder();
    let renewal = START + ms(1000);
    candidate.start_round(renewal, 1, &grantors(3));
    let late = renewal + ms(500);
    assert_eq!(candidate.next_action(late), CandidateAction::AbandonRound);
    assert_eq!(candidate.abandon_round(late), None);
    assert!(candidate.holds_lease(late));
    assert!(
        matches!(candidate.next_action(late), CandidateAction::WaitUntil(until) if until < late + ms(400))
    );
}

#[test]
fn given_new_grantors_when_a_majority_grants_then_one_must_have_known_the_set_for_one_ttl() {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.start_round(START, 2, &grantors(3));
    for grantor in 0..2 {
        candidate.on_reply(request.term, GrantorId(grantor), &LeaseReply::Granted { committed_for_ms: 2999 });
    }
    assert!(
        !candidate.holds_lease(START),
        "a lease that was won from the earlier grantors may still be valid"
    );
    candidate.on_reply(request.term, GrantorId(2), &GRANTED);
    assert!(candidate.holds_lease(START));
}

#[test]
fn given_a_holder_when_the_grantors_change_then_it_renews_with_the_new_set_at_once() {
    let mut candidate = lease_holder();
    let request = candidate.start_round(START + ms(1000), 2, &grantors(4));
    for grantor in 1..4 {
        candidate.on_reply(request.term, GrantorId(grantor), &LeaseReply::Granted { committed_for_ms: 0 });
    }
    assert!(candidate.holds_lease(START + ms(3600)));
}

#[test]
fn given_an_expired_lease_when_the_grantors_change_then_the_former_holder_cannot_win_at_once() {
    let mut candidate = lease_holder();
    let late = START + TTL;
    let request = candidate.start_round(late, 2, &grantors(3));
    for grantor in 0..3 {
        candidate.on_reply(request.term, GrantorId(grantor), &LeaseReply::Granted { committed_for_ms: 100 });
    }
    assert!(!candidate.holds_lease(late));
}

#[test]
fn given_a_split_vote_when_the_round_is_abandoned_then_the_grants_are_released_and_the_delay_is_short() {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.start_round(START, 1, &grantors(3));
    candidate.on_reply(request.term, GrantorId(0), &GRANTED);
    candidate.on_reply(request.term, GrantorId(1), &rejected_for("two", 2990));
    assert!(matches!(candidate.next_action(START), CandidateAction::WaitUntil(_)));
    candidate.on_reply(request.term, GrantorId(2), &rejected_for("three", 2990));
    assert_eq!(candidate.next_action(START), CandidateAction::AbandonRound);
    let release = LeaseRelease { holder: "one".to_owned(), term: request.term };
    assert_eq!(candidate.abandon_round(START), Some(release));
    assert!(
        matches!(candidate.next_action(START), CandidateAction::WaitUntil(until) if until < START + ms(800))
    );
}

#[test]
fn given_another_holder_when_rejected_then_the_next_round_starts_after_its_lease_expires() {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.start_round(START, 1, &grantors(3));
    for grantor in [0, 1] {
        candidate.on_reply(request.term, GrantorId(grantor), &rejected_for("two", 2000));
    }
    candidate.abandon_round(START);
    let CandidateAction::WaitUntil(until) = candidate.next_action(START) else {
        panic!("the candidate does not wait after a lost round");
    };
    assert!(until >= START + ms(2000) && until < START + ms(2800), "{until:?}");
}

#[test]
fn given_deferring_candidates_when_rejected_then_all_others_retry_before_them() {
    let next_round_at = |name: String, is_deferring: bool| {
        let mut candidate = Candidate::new(name, TTL);
        candidate.set_deferring(is_deferring);
        let request = candidate.start_round(START, 1, &grantors(3));
        for grantor in 0..3 {
            candidate.on_reply(request.term, GrantorId(grantor), &rejected_for("other", 1000));
        }
        candidate.abandon_round(START + ms(1));
        match candidate.next_action(START + ms(1)) {
            CandidateAction::WaitUntil(until) => until,
            action => panic!("the candidate does not wait after a lost round: {action:?}"),
        }
    };
    // The names are the seeds of the jitter.
    let last_other = (0..50).map(|number| next_round_at(format!("eager-{number}"), false)).max();
    let deferring: Vec<Duration> =
        (0..50).map(|number| next_round_at(format!("late-{number}"), true)).collect();
    assert!(deferring.iter().min() > last_other.as_ref());
    assert!(
        deferring.iter().all(|until| *until < START + ms(1001) + TTL / 2),
        "a deferring candidate waits for less than half a TTL after the other lease has expired"
    );
}

#[test]
fn given_several_candidates_when_rejected_then_they_retry_at_different_times() {
    let action_after_lost_round = |name: &str| {
        let mut candidate = Candidate::new(name, TTL);
        candidate.start_round(START, 1, &grantors(3));
        candidate.abandon_round(START + TTL);
        candidate.next_action(START + TTL)
    };
    assert_ne!(action_after_lost_round("one"), action_after_lost_round("two"));
    assert_ne!(action_after_lost_round("two"), action_after_lost_round("three"));
}

#[test]
fn given_a_holder_when_it_resigns_then_it_no_longer_holds_the_lease() {
    let mut candidate = lease_holder();
    let release = candidate.resign(START + ms(5));
    assert_eq!(release.term, candidate.term());
    assert!(!candidate.holds_lease(START + ms(5)));
}

#[test]
fn given_a_clock_that_steps_back_when_read_then_the_lease_is_dropped() {
    let mut candidate = lease_holder();
    candidate.next_action(START + ms(900));
    assert!(candidate.holds_lease(START + ms(890)), "a time that is 10 ms earlier is not a step back");
    let back = START - ms(500);
    assert!(!candidate.holds_lease(back));
    candidate.next_action(back);
    assert!(!candidate.holds_lease(back));
    assert!(!candidate.holds_lease(START));
}
