//! Of whom an acceptor has heard, and of whom it says that they are silent.

use std::time::Duration;

use control_plane::AcceptorContacts;
use register::{Incarnation, Member};
use tokio::time::advance;

const SILENCE: Duration = Duration::from_millis(1800);
const ROUND: Duration = Duration::from_millis(400);

fn acceptors(incarnations: &[u64]) -> Vec<Member> {
    let member = |incarnation: &u64| Member {
        name: format!("node-{incarnation}"),
        incarnation: Incarnation(*incarnation),
        address: format!("{incarnation}:1"),
    };
    incarnations.iter().map(member).collect()
}

/// Rounds in which all of these acceptors but `silent` answer.
async fn rounds(contacts: &AcceptorContacts, all: &[u64], silent: &[u64], count: u32) {
    for _ in 0..count {
        contacts.begin_round(&acceptors(all));
        all.iter()
            .filter(|one| !silent.contains(one))
            .for_each(|one| contacts.record_contact(Incarnation(*one)));
        advance(ROUND).await;
    }
}

#[tokio::test(start_paused = true)]
async fn given_an_acceptor_without_answer_when_the_time_of_silence_has_passed_then_it_is_silent() {
    let contacts = AcceptorContacts::default();
    rounds(&contacts, &[1, 2, 3], &[3], 4).await;
    assert!(contacts.unresponsive_for(SILENCE).is_empty(), "1.6 s");
    rounds(&contacts, &[1, 2, 3], &[3], 1).await;
    assert_eq!(contacts.unresponsive_for(SILENCE), [Incarnation(3)]);
}

#[tokio::test(start_paused = true)]
async fn given_a_silent_acceptor_when_it_answers_again_then_it_is_silent_no_more() {
    let contacts = AcceptorContacts::default();
    rounds(&contacts, &[1, 2, 3], &[3], 6).await;
    rounds(&contacts, &[1, 2, 3], &[], 1).await;
    assert!(contacts.unresponsive_for(SILENCE).is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_an_acceptor_that_has_just_come_when_asked_then_its_silence_counts_from_then() {
    let contacts = AcceptorContacts::default();
    rounds(&contacts, &[1, 2], &[], 10).await;
    rounds(&contacts, &[1, 2, 3], &[3], 2).await;
    assert!(contacts.unresponsive_for(SILENCE).is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_a_process_that_was_frozen_when_it_goes_on_then_it_says_nothing_of_the_others() {
    let contacts = AcceptorContacts::default();
    rounds(&contacts, &[1, 2, 3], &[], 3).await;
    advance(Duration::from_secs(20)).await;
    assert!(contacts.unresponsive_for(SILENCE).is_empty(), "before its next round");
    rounds(&contacts, &[1, 2, 3], &[1, 2, 3], 1).await;
    assert!(contacts.unresponsive_for(SILENCE).is_empty(), "all begin anew");
}

#[tokio::test(start_paused = true)]
async fn given_an_acceptor_that_was_removed_when_asked_then_nothing_is_said_of_it() {
    let contacts = AcceptorContacts::default();
    rounds(&contacts, &[1, 2, 3], &[3], 6).await;
    rounds(&contacts, &[1, 2, 4], &[], 1).await;
    assert!(contacts.unresponsive_for(SILENCE).is_empty());
}
