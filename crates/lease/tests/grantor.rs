//! What a grantor grants, and for how long.

use std::time::Duration;

use lease::{Grantor, GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
use yare::parameterized;

const TTL: Duration = Duration::from_secs(3);
const START: Duration = Duration::from_secs(100);
/// When a grantor that was made at `START` begins to grant.
const OPEN: Duration = Duration::from_secs(103);

/// A grant by one that does not know the grantors.
const GRANTED: LeaseReply = LeaseReply::Granted { committed_for_ms: 0 };
/// The grantors that candidates ask.
const GRANTORS: [GrantorId; 3] = [GrantorId(1), GrantorId(2), GrantorId(3)];

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn request(holder: &str, term: u64) -> LeaseRequest {
    LeaseRequest { holder: holder.to_owned(), term, ttl_ms: 3000, revision: 7, grantors: GRANTORS.to_vec() }
}

fn release(holder: &str, term: u64) -> LeaseRelease {
    LeaseRelease { holder: holder.to_owned(), term }
}

fn rejected_for(holder: &str, remaining_ms: u64) -> LeaseReply {
    LeaseReply::Rejected { holder: holder.to_owned(), remaining_ms }
}

/// A grantor that has granted term 5 of "one".
fn granted() -> Grantor {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    assert_eq!(grantor.handle(OPEN, &request("one", 5)), GRANTED);
    grantor
}

#[test]
fn given_a_new_grantor_when_asked_then_it_grants_nothing_for_one_ttl() {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    assert_eq!(grantor.handle(START + ms(1000), &request("one", 1)), rejected_for("", 2000));
    assert_eq!(grantor.handle(OPEN, &request("one", 2)), GRANTED);
}

#[test]
fn given_a_grantor_with_another_disk_when_the_former_one_is_asked_then_it_grants_nothing() {
    let mut successor = Grantor::new(GrantorId(4), START, TTL);
    assert_eq!(successor.handle(OPEN, &request("one", 1)), rejected_for("", 0));
    assert_eq!(successor.holder(OPEN), None);
}

#[test]
fn given_a_grant_when_another_asks_then_it_waits_for_the_end() {
    let mut grantor = granted();
    assert_eq!(grantor.handle(OPEN + ms(100), &request("two", 1)), rejected_for("one", 2900));
    assert_eq!(grantor.holder(OPEN + ms(2999)), Some("one"));
    assert_eq!(grantor.holder(OPEN + TTL), None);
    assert_eq!(grantor.handle(OPEN + TTL, &request("two", 2)), GRANTED);
}

#[test]
fn given_a_grant_when_renewed_then_it_ends_later() {
    let mut grantor = granted();
    assert_eq!(grantor.handle(OPEN + ms(1000), &request("one", 6)), GRANTED);
    assert_eq!(grantor.handle(OPEN + ms(3500), &request("two", 1)), rejected_for("one", 500));
}

#[test]
fn given_a_request_longer_than_the_ttl_when_handled_then_it_is_rejected() {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    let long = LeaseRequest { ttl_ms: 3001, ..request("one", 1) };
    assert!(matches!(grantor.handle(OPEN, &long), LeaseReply::Rejected { .. }));
}

#[parameterized(
    same_term = { "one", 5, true },
    later_term = { "one", 6, true },
    outdated = { "one", 4, false },
    another = { "two", 9, false },
)]
fn given_a_release_when_handled_then_only_its_own_grant_ends(holder: &str, term: u64, frees: bool) {
    let mut grantor = granted();
    grantor.release(&release(holder, term));
    assert_eq!(grantor.holder(OPEN).is_none(), frees);
}

#[test]
fn given_a_request_that_arrives_after_a_later_one_when_handled_then_the_grant_keeps_its_term_and_end() {
    let mut grantor = granted();
    let short = LeaseRequest { ttl_ms: 10, ..request("one", 3) };
    assert_eq!(grantor.handle(OPEN, &short), GRANTED);
    grantor.release(&release("one", 3));
    assert_eq!(grantor.holder(OPEN + ms(2000)), Some("one"));
}

#[parameterized(
    older = { 8, false },
    same = { 7, true },
    newer = { 6, true },
)]
fn given_a_change_of_the_grantors_when_a_candidate_knows_an_older_state_then_it_is_rejected(
    changed_at: u64,
    grants: bool,
) {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    grantor.observe(5, &[GrantorId(1), GrantorId(2)]);
    grantor.observe(changed_at, &[GrantorId(1), GrantorId(2), GrantorId(3)]);
    grantor.observe(90, &[GrantorId(1), GrantorId(2), GrantorId(3)]);
    let reply = grantor.handle(OPEN, &request("one", 1));
    assert_eq!(reply == GRANTED, grants);
}

#[test]
fn given_known_grantors_when_it_grants_then_it_replies_for_how_long_they_have_been_the_committed_ones() {
    let others = [GrantorId(1), GrantorId(2), GrantorId(4)];
    let same = [GrantorId(3), GrantorId(1), GrantorId(2)];
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    let committed_for = |grantor: &mut Grantor, at: Duration| match grantor.handle(at, &request("one", 1)) {
        LeaseReply::Granted { committed_for_ms } => committed_for_ms,
        rejected => panic!("it grants: {rejected:?}"),
    };
    assert_eq!(committed_for(&mut grantor, OPEN), 0, "it knows of none");
    grantor.learn(OPEN, 6, &others);
    assert_eq!(committed_for(&mut grantor, OPEN + ms(500)), 0, "it knows others");
    grantor.learn(OPEN + ms(500), 7, &same);
    grantor.learn(OPEN + ms(900), 8, &GRANTORS);
    assert_eq!(
        committed_for(&mut grantor, OPEN + ms(2000)),
        1500,
        "the order of the grantors makes no difference"
    );
    grantor.learn(OPEN + ms(2000), 7, &others);
    assert_eq!(committed_for(&mut grantor, OPEN + ms(2000)), 1500, "an outdated revision changes nothing");
    grantor.learn(OPEN + ms(2000), 9, &others);
    assert_eq!(committed_for(&mut grantor, OPEN + ms(2500)), 0);
}
