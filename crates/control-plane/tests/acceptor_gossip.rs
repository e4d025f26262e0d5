//! Selection of the newest acceptors that a process has received by gossip.

use control_plane::{AcceptorGossip, GossipMessage};

fn of(revision: u64, acceptor: &str) -> GossipMessage {
    GossipMessage { revision, acceptors: vec![acceptor.to_owned()] }
}

#[test]
fn given_no_message_when_asked_then_there_are_no_acceptors() {
    assert!(AcceptorGossip::default().acceptors().is_empty());
}

#[test]
fn given_a_message_when_one_of_a_newer_state_arrives_then_it_replaces_the_first() {
    let gossip = AcceptorGossip::default();
    gossip.receive(of(3, "a:1"));
    gossip.receive(of(5, "b:1"));
    assert_eq!(gossip.acceptors(), ["b:1"]);
}

#[test]
fn given_a_message_when_one_of_an_older_state_arrives_late_then_it_changes_nothing() {
    let gossip = AcceptorGossip::default();
    gossip.receive(of(5, "b:1"));
    gossip.receive(of(3, "a:1"));
    assert_eq!(gossip.acceptors(), ["b:1"]);
}
