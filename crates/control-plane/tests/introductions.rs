//! What a process keeps of the acceptors that others introduce to it.

use control_plane::{AcceptorGossip, GossipMessage};

fn of(revision: u64, acceptor: &str) -> GossipMessage {
    GossipMessage { revision, acceptors: vec![acceptor.to_owned()] }
}

#[test]
fn given_nothing_introduced_when_asked_then_there_are_no_acceptors() {
    assert!(AcceptorGossip::default().acceptors().is_empty());
}

#[test]
fn given_an_introduction_when_one_of_a_newer_state_comes_then_it_takes_its_place() {
    let introductions = AcceptorGossip::default();
    introductions.receive(of(3, "a:1"));
    introductions.receive(of(5, "b:1"));
    assert_eq!(introductions.acceptors(), ["b:1"]);
}

#[test]
fn given_an_introduction_when_one_of_an_older_state_comes_late_then_it_changes_nothing() {
    let introductions = AcceptorGossip::default();
    introductions.receive(of(5, "b:1"));
    introductions.receive(of(3, "a:1"));
    assert_eq!(introductions.acceptors(), ["b:1"]);
}
