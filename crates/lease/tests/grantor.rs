//! Tests which requests a grantor grants, and for how long.

use std::time::Duration;

use lease::{Grantor, GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
use yare::parameterized;

const TTL: Duration = Duration::from_secs(3);
/// Time at which the grantor is created.
const START: Duration = Duration::from_secs(100);
/// Time at which a grantor that was created at `START` starts to grant.
const FIRST_GRANT_AT: Duration = Duration::from_secs(103);

/// Grant by a grantor that has learned of no committed grantors.
const GRANTED: LeaseReply = LeaseReply::Granted { committed_for_ms: 0 };
/// Grantors in the requests of the candidates.
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

/// Returns a grantor that has granted round 5 of the candidate "one" at `FIRST_GRANT_AT`.
fn grantor_with_grant() -> Grantor {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    assert_eq!(grantor.handle(FIRST_GRANT_AT, &request("one", 5)), GRANTED);
    grantor
}

#[test]
fn given_a_new_grantor_when_it_gets_requests_then_it_grants_nothing_for_one_ttl() {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    assert_eq!(grantor.handle(START + ms(1000), &request("one", 1)), rejected_for("", 2000));
    assert_eq!(grantor.handle(FIRST_GRANT_AT, &request("one", 2)), GRANTED);
}

#[test]
fn given_a_grantor_on_a_new_disk_when_a_request_names_the_old_incarnation_then_it_is_rejected() {
    let mut successor = Grantor::new(GrantorId(4), START, TTL);
    assert_eq!(successor.handle(FIRST_GRANT_AT, &request("one", 1)), rejected_for("", 0));
    assert_eq!(successor.holder(FIRST_GRANT_AT), None);
}

#[test]
fn given_a_grant_when_another_candidate_requests_it_then_it_is_rejected_until_the_grant_expires() {
    let mut grantor = grantor_with_grant();
    assert_eq!(grantor.handle(FIRST_GRANT_AT + ms(100), &request("two", 1)), rejected_for("one", 2900));
    assert_eq!(grantor.holder(FIRST_GRANT_AT + ms(2999)), Some("one"));
    assert_eq!(grantor.holder(FIRST_GRANT_AT + TTL), None);
    assert_eq!(grantor.handle(FIRST_GRANT_AT + TTL, &request("two", 2)), GRANTED);
}

#[test]
fn given_a_grant_when_renewed_then_it_expires_later() {
    let mut grantor = grantor_with_grant();
    assert_eq!(grantor.handle(FIRST_GRANT_AT + ms(1000), &request("one", 6)), GRANTED);
    assert_eq!(grantor.handle(FIRST_GRANT_AT + ms(3500), &request("two", 1)), rejected_for("one", 500));
}

#[test]
fn given_a_request_longer_than_the_ttl_when_handled_then_it_is_rejected() {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    let long = LeaseRequest { ttl_ms: 3001, ..request("one", 1) };
    assert!(matches!(grantor.handle(FIRST_GRANT_AT, &long), LeaseReply::Rejected { .. }));
}

#[parameterized(
    same_term = { "one", 5, true },
    later_term = { "one", 6, true },
    earlier_term = { "one", 4, false },
    another_holder = { "two", 9, false },
)]
fn given_a_release_when_handled_then_it_ends_only_grants_of_its_holder_up_to_its_term(
    holder: &str,
    term: u64,
    ends_grant: bool,
) {
    let mut grantor = grantor_with_grant();
    grantor.release(&release(holder, term));
    assert_eq!(grantor.holder(FIRST_GRANT_AT).is_none(), ends_grant);
}

#[test]
fn given_a_request_that_arrives_after_a_later_one_when_handled_then_the_grant_keeps_its_term_and_expiry() {
    let mut grantor = grantor_with_grant();
    let short = LeaseRequest { ttl_ms: 10, ..request("one", 3) };
    assert_eq!(grantor.handle(FIRST_GRANT_AT, &short), GRANTED);
    grantor.release(&release("one", 3));
    assert_eq!(grantor.holder(FIRST_GRANT_AT + ms(2000)), Some("one"));
}

#[parameterized(
    request_has_older_revision = { 8, false },
    request_has_equal_revision = { 7, true },
    request_has_newer_revision = { 6, true },
)]
fn given_a_change_of_the_grantors_when_a_request_has_an_older_revision_then_it_is_rejected(
    changed_at: u64,
    is_granted: bool,
) {
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    grantor.observe(5, &[GrantorId(1), GrantorId(2)]);
    grantor.observe(changed_at, &[GrantorId(1), GrantorId(2), GrantorId(3)]);
    grantor.observe(90, &[GrantorId(1), GrantorId(2), GrantorId(3)]);
    let reply = grantor.handle(FIRST_GRANT_AT, &request("one", 1));
    assert_eq!(reply == GRANTED, is_granted);
}

#[test]
fn given_committed_grantors_when_a_request_is_granted_then_the_reply_states_how_long_they_have_been_known() {
    let others = [GrantorId(1), GrantorId(2), GrantorId(4)];
    let same = [GrantorId(3), GrantorId(1), GrantorId(2)];
    let mut grantor = Grantor::new(GRANTORS[0], START, TTL);
    let committed_for = |grantor: &mut Grantor, at: Duration| match grantor.handle(at, &request("one", 1)) {
        LeaseReply::Granted { committed_for_ms } => committed_for_ms,
        rejected => panic!("the grantor rejects the request: {rejected:?}"),
    };
    assert_eq!(committed_for(&mut grantor, FIRST_GRANT_AT), 0, "no committed grantors were learned");
    grantor.learn(FIRST_GRANT_AT, 6, &others);
    assert_eq!(committed_for(&mut grantor, FIRST_GRANT_AT + ms(500)), 0, "the committed grantors are others");
    grantor.learn(FIRST_GRANT_AT + ms(500), 7, &same);
    grantor.learn(FIRST_GRANT_AT + ms(900), 8, &GRANTORS);
    assert_eq!(
        committed_for(&mut grantor, FIRST_GRANT_AT + ms(2000)),
        1500,
        "the order of the grantors makes no difference"
    );
    grantor.learn(FIRST_GRANT_AT + ms(2000), 7, &others);
    assert_eq!(
        committed_for(&mut grantor, FIRST_GRANT_AT + ms(2000)),
        1500,
        "an outdated revision changes nothing"
    );
    grantor.learn(FIRST_GRANT_AT + ms(2000), 9, &others);
    assert_eq!(committed_for(&mut grantor, FIRST_GRANT_AT + ms(2500)), 0);
}
