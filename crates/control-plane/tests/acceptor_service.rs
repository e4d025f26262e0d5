//! The acceptor of the register on its disk.

mod support;

use std::sync::Arc;

use register::{AcceptorReply, AcceptorRequest, Ballot, Incarnation, Member, ReplyOutcome, Versioned};
use state::ControlState;
use storage::simulated::{LoseEverything, SimulatedDisk};
use support::{acceptor, initial_value_with};

fn initial_value(incarnation: Incarnation) -> Versioned<ControlState> {
    initial_value_with(vec![Member { name: "a".into(), incarnation, address: "a:1".into() }], Vec::new())
}

fn next(value: &Versioned<ControlState>, round: u64) -> Versioned<ControlState> {
    let state = ControlState { configuration_version: round, ..ControlState::clone(&value.value) };
    Versioned::new(Ballot { round, proposer: 7 }, Arc::new(state))
}

fn accepted(reply: &AcceptorReply<ControlState>) -> Option<Versioned<ControlState>> {
    match &reply.outcome {
        ReplyOutcome::Current { accepted, .. } => accepted.clone(),
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn given_an_initial_value_when_another_is_offered_then_the_first_stays_also_after_a_power_loss() {
    let disk = SimulatedDisk::new(1);
    let (service, incarnation) = acceptor(&disk);
    let value = initial_value(incarnation);
    assert_eq!(service.initialize(value.clone()).await, Some(value.clone()));
    disk.lose_power(&mut LoseEverything);
    let (service, again) = acceptor(&disk);
    assert_eq!((again, service.is_initialized()), (incarnation, true));
    let other = Versioned::new(value.ballot, Arc::clone(&next(&value, 9).value));
    assert_eq!(service.initialize(other).await, Some(value.clone()));
    assert_eq!(service.committed(), Some(value));
}

#[tokio::test]
async fn given_a_promise_and_an_acceptance_when_power_is_lost_then_both_are_recovered() {
    let disk = SimulatedDisk::new(2);
    let (service, incarnation) = acceptor(&disk);
    let value = initial_value(incarnation);
    service.initialize(value.clone()).await;
    let newer = next(&value, 5);
    service.handle(AcceptorRequest::Accept(newer.clone())).await.expect("it is durable");
    service.handle(AcceptorRequest::Prepare(Ballot { round: 8, proposer: 7 })).await.expect("it is durable");
    disk.lose_power(&mut LoseEverything);
    let (service, _) = acceptor(&disk);
    let shown = service.handle(AcceptorRequest::Read).await.expect("it answers");
    assert_eq!(accepted(&shown), Some(newer));
    let rejected = service.handle(AcceptorRequest::Accept(next(&value, 7))).await.expect("it answers");
    assert!(matches!(rejected.outcome, ReplyOutcome::Rejected(ballot) if ballot.round == 8), "{rejected:?}");
}

#[tokio::test]
async fn given_a_disk_that_failed_when_the_same_acceptance_is_repeated_then_it_is_durable_before_the_reply() {
    let disk = SimulatedDisk::new(3);
    let (service, incarnation) = acceptor(&disk);
    let value = initial_value(incarnation);
    service.initialize(value.clone()).await;
    let newer = next(&value, 5);
    disk.fail_syncs(1);
    assert!(service.handle(AcceptorRequest::Accept(newer.clone())).await.is_none(), "it is not durable");
    let reply = service.handle(AcceptorRequest::Accept(newer.clone())).await.expect("it is durable");
    assert!(matches!(reply.outcome, ReplyOutcome::Accepted));
    disk.lose_power(&mut LoseEverything);
    let shown = acceptor(&disk).0.handle(AcceptorRequest::Read).await.expect("it answers");
    assert_eq!(accepted(&shown), Some(newer));
}
