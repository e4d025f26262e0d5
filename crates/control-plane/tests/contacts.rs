//! Detection of unresponsive acceptors from the times of their last replies.

use std::time::Duration;

use control_plane::AcceptorContacts;
use register::{Incarnation, Member};
use tokio::time::advance;

/// Time without a reply after which an acceptor counts as unresponsive.
const TIMEOUT: Duration = Duration::from_millis(1800);
/// Time between the starts of two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

fn members(incarnations: &[u64]) -> Vec<Member> {
    let member = |incarnation: &u64| Member {
        name: format!("node-{incarnation}"),
        incarnation: Incarnation(*incarnation),
        address: format!("{incarnation}:1"),
    };
    incarnations.iter().map(member).collect()
}

/// Runs rounds in which all of these acceptors except `unresponsive` reply.
async fn run_rounds(contacts: &AcceptorContacts, all: &[u64], unresponsive: &[u64], count: u32) {
    for _ in 0..count {
        contacts.begin_round(&members(all));
        all.iter()
            .filter(|incarnation| !unresponsive.contains(incarnation))
            .for_each(|incarnation| contacts.record_contact(Incarnation(*incarnation)));
        advance(ROUND_INTERVAL).await;
    }
}

#[tokio::test(start_paused = true)]
async fn given_an_acceptor_without_reply_when_the_timeout_has_passed_then_it_is_unresponsive() {
    let contacts = AcceptorContacts::default();
    run_rounds(&contacts, &[1, 2, 3], &[3], 4).await;
    assert!(contacts.unresponsive_for(TIMEOUT).is_empty(), "1.6 s without a reply are less than the timeout");
    run_rounds(&contacts, &[1, 2, 3], &[3], 1).await;
    assert_eq!(contacts.unresponsive_for(TIMEOUT), [Incarnation(3)]);
}

#[tokio::test(start_paused = true)]
async fn given_an_unresponsive_acceptor_when_it_replies_again_then_it_is_no_longer_reported() {
    let contacts = AcceptorContacts::default();
    run_rounds(&contacts, &[1, 2, 3], &[3], 6).await;
    run_rounds(&contacts, &[1, 2, 3], &[], 1).await;
    assert!(contacts.unresponsive_for(TIMEOUT).is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_a_new_acceptor_when_asked_then_its_timeout_counts_from_its_first_round() {
    let contacts = AcceptorContacts::default();
    run_rounds(&contacts, &[1, 2], &[], 10).await;
    run_rounds(&contacts, &[1, 2, 3], &[3], 2).await;
    assert!(contacts.unresponsive_for(TIMEOUT).is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_a_suspended_process_when_it_resumes_then_no_acceptor_is_unresponsive() {
    let contacts = AcceptorContacts::default();
    run_rounds(&contacts, &[1, 2, 3], &[], 3).await;
    advance(Duration::from_secs(20)).await;
    assert!(contacts.unresponsive_for(TIMEOUT).is_empty(), "no round has started since the process resumed");
    run_rounds(&contacts, &[1, 2, 3], &[1, 2, 3], 1).await;
    assert!(contacts.unresponsive_for(TIMEOUT).is_empty(), "the timeouts of all acceptors start again");
}

#[tokio::test(start_paused = true)]
async fn given_a_removed_acceptor_when_asked_then_it_is_not_reported() {
    let contacts = AcceptorContacts::default();
    run_rounds(&contacts, &[1, 2, 3], &[3], 6).await;
    run_rounds(&contacts, &[1, 2, 4], &[], 1).await;
    assert!(contacts.unresponsive_for(TIMEOUT).is_empty());
}
