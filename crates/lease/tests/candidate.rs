//! The rounds of a candidate.

use std::time::Duration;

use lease::{Candidate, CandidateAction, GrantorId, LeaseRelease, LeaseReply};
use yare::parameterized;

const TTL: Duration = Duration::from_secs(3);
const START: Duration = Duration::from_secs(100);

/// A grant by one that has known the grantors for long.
const GRANTED: LeaseReply = LeaseReply::Granted { settled_ms: 3000 };

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn grantors(count: u64) -> Vec<GrantorId> {
    (0..count).map(GrantorId).collect()
}

fn held(holder: &str, remaining_ms: u64) -> LeaseReply {
    LeaseReply::Held { holder: holder.to_owned(), remaining_ms }
}

/// A candidate that has won its first round.
fn winner() -> Candidate {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.begin(START, 1, &grantors(3));
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
fn given_grants_when_counted_then_a_majority_holds(count: u64, granted: u64, holds: bool) {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.begin(START, 1, &grantors(count));
    for grantor in 0..granted {
        candidate.on_reply(request.term, GrantorId(grantor), &GRANTED);
        candidate.on_reply(request.term, GrantorId(grantor), &GRANTED);
    }
    assert_eq!(candidate.holds(START), holds);
}

#[test]
fn given_a_majority_when_time_passes_then_the_lease_ends_before_the_grants_do() {
    let candidate = winner();
    assert!(candidate.holds(START + ms(2600)));
    assert!(!candidate.holds(START + ms(2800)));
    assert!(candidate.expires_at() < START + TTL);
}

#[test]
fn given_replies_of_an_earlier_round_or_of_others_when_taken_then_they_do_not_count() {
    let mut candidate = Candidate::new("one", TTL);
    let earlier = candidate.begin(START, 1, &grantors(3));
    let later = candidate.begin(START + TTL, 1, &grantors(3));
    candidate.on_reply(earlier.term, GrantorId(0), &GRANTED);
    candidate.on_reply(later.term, GrantorId(1), &GRANTED);
    candidate.on_reply(later.term, GrantorId(7), &GRANTED);
    assert!(!candidate.holds(START + TTL));
    candidate.on_reply(later.term, GrantorId(2), &GRANTED);
    assert!(candidate.holds(START + TTL));
}

#[test]
fn given_a_holder_when_it_renews_then_the_lease_goes_on() {
    let mut candidate = winner();
    assert_eq!(candidate.next_action(START), CandidateAction::Wait(START + ms(1000)));
    let renewal = START + ms(1000);
    assert_eq!(candidate.next_action(renewal), CandidateAction::Ask);
    let request = candidate.begin(renewal, 1, &grantors(3));
    assert!(candidate.holds(renewal));
    for grantor in [0, 1] {
        candidate.on_reply(request.term, GrantorId(grantor), &GRANTED);
    }
    assert!(candidate.holds(renewal + ms(2600)));
}

#[test]
fn given_a_holder_when_a_renewal_is_lost_then_it_keeps_the_lease_and_tries_again_soon() {
    let mut candidate = winner();
    let renewal = START + ms(1000);
    candidate.begin(renewal, 1, &grantors(3));
    let late = renewal + ms(500);
    assert_eq!(candidate.next_action(late), CandidateAction::GiveUp);
    assert_eq!(candidate.give_up(late), None);
    assert!(candidate.holds(late));
    assert!(matches!(candidate.next_action(late), CandidateAction::Wait(until) if until < late + ms(400)));
}

#[test]
fn given_grantors_that_are_new_when_a_majority_grants_then_nothing_is_won_before_one_of_them_knows_them_for_a_ttl(
) {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.begin(START, 2, &grantors(3));
    for grantor in 0..2 {
        candidate.on_reply(request.term, GrantorId(grantor), &LeaseReply::Granted { settled_ms: 2999 });
    }
    assert!(!candidate.holds(START), "a lease that was won with the grantors before may still last");
    candidate.on_reply(request.term, GrantorId(2), &GRANTED);
    assert!(candidate.holds(START));
}

#[test]
fn given_a_holder_when_the_grantors_change_then_it_renews_at_once() {
    let mut candidate = winner();
    let request = candidate.begin(START + ms(1000), 2, &grantors(4));
    for grantor in 1..4 {
        candidate.on_reply(request.term, GrantorId(grantor), &LeaseReply::Granted { settled_ms: 0 });
    }
    assert!(candidate.holds(START + ms(3600)));
}

#[test]
fn given_a_holder_whose_lease_has_ended_when_the_grantors_change_then_it_waits_as_others_do() {
    let mut candidate = winner();
    let late = START + TTL;
    let request = candidate.begin(late, 2, &grantors(3));
    for grantor in 0..3 {
        candidate.on_reply(request.term, GrantorId(grantor), &LeaseReply::Granted { settled_ms: 100 });
    }
    assert!(!candidate.holds(late));
}

#[test]
fn given_a_split_vote_when_lost_then_the_grants_are_given_back_and_the_pause_is_short() {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.begin(START, 1, &grantors(3));
    candidate.on_reply(request.term, GrantorId(0), &GRANTED);
    candidate.on_reply(request.term, GrantorId(1), &held("two", 2990));
    assert!(matches!(candidate.next_action(START), CandidateAction::Wait(_)));
    candidate.on_reply(request.term, GrantorId(2), &held("three", 2990));
    assert_eq!(candidate.next_action(START), CandidateAction::GiveUp);
    let release = LeaseRelease { holder: "one".to_owned(), term: request.term };
    assert_eq!(candidate.give_up(START), Some(release));
    assert!(matches!(candidate.next_action(START), CandidateAction::Wait(until) if until < START + ms(800)));
}

#[test]
fn given_another_holder_when_refused_then_the_next_round_waits_for_its_end() {
    let mut candidate = Candidate::new("one", TTL);
    let request = candidate.begin(START, 1, &grantors(3));
    for grantor in [0, 1] {
        candidate.on_reply(request.term, GrantorId(grantor), &held("two", 2000));
    }
    candidate.give_up(START);
    let CandidateAction::Wait(until) = candidate.next_action(START) else {
        panic!("it waits");
    };
    assert!(until >= START + ms(2000) && until < START + ms(2800), "{until:?}");
}

#[test]
fn given_candidates_when_some_defer_then_all_that_do_not_come_back_first() {
    let next_round = |name: String, defers: bool| {
        let mut candidate = Candidate::new(name, TTL);
        candidate.set_defers(defers);
        let request = candidate.begin(START, 1, &grantors(3));
        for grantor in 0..3 {
            candidate.on_reply(request.term, GrantorId(grantor), &held("other", 1000));
        }
        candidate.give_up(START + ms(1));
        match candidate.next_action(START + ms(1)) {
            CandidateAction::Wait(until) => until,
            action => panic!("it does not wait: {action:?}"),
        }
    };
    let last_eager = (0..50).map(|number| next_round(format!("eager-{number}"), false)).max();
    let deferring: Vec<Duration> = (0..50).map(|number| next_round(format!("late-{number}"), true)).collect();
    assert!(deferring.iter().min() > last_eager.as_ref());
    assert!(
        deferring.iter().all(|until| *until < START + ms(1001) + TTL / 2),
        "it waits no longer than that"
    );
}

#[test]
fn given_several_candidates_when_refused_then_they_come_back_at_different_times() {
    let returns = |name: &str| {
        let mut candidate = Candidate::new(name, TTL);
        candidate.begin(START, 1, &grantors(3));
        candidate.give_up(START + TTL);
        candidate.next_action(START + TTL)
    };
    assert_ne!(returns("one"), returns("two"));
    assert_ne!(returns("two"), returns("three"));
}

#[test]
fn given_a_holder_when_it_resigns_then_it_holds_no_more() {
    let mut candidate = winner();
    let release = candidate.resign(START + ms(5));
    assert_eq!(release.term, candidate.term());
    assert!(!candidate.holds(START + ms(5)));
}

#[test]
fn given_a_clock_that_goes_back_when_asked_then_the_lease_is_dropped() {
    let mut candidate = winner();
    candidate.next_action(START + ms(900));
    assert!(candidate.holds(START + ms(890)), "a moment that was read a little earlier is no jump");
    let back = START - ms(500);
    assert!(!candidate.holds(back));
    candidate.next_action(back);
    assert!(!candidate.holds(back));
    assert!(!candidate.holds(START));
}
