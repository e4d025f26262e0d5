//! Selection of the newest acceptors that a process has received by gossip.

use control_plane::{AcceptorGossip, GossipMessage};

fn message(revision: u64, acceptor: &str) -> GossipMessage {
    GossipMessage { revision, acceptors: vec![acceptor.to_owned()] }
}

#[test]
fn given_no_message_when_the_acceptors_are_read_then_there_are_none() {
    assert!(AcceptorGossip::default().acceptors().is_empty());
}

#[test]
fn given_a_message_when_one_with_a_higher_revision_arrives_then_it_replaces_the_first() {
    let gossip = AcceptorGossip::default();
    gossip.receive(message(3, "a:1"));
    gossip.receive(message(5, "b:1"));
    assert_eq!(gossip.acceptors(), ["b:1"]);
}

#[test]
fn given_a_message_when_one_with_a_lower_revision_arrives_then_it_is_ignored() {
    let gossip = AcceptorGossip::default();
    gossip.receive(message(5, "b:1"));
    gossip.receive(message(3, "a:1"));
    assert_eq!(gossip.acceptors(), ["b:1"]);
}
