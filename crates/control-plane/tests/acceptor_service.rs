//! Durability of the acceptor of the register: replies, recovery and failures of its disk.

mod support;

use std::path::Path;
use std::sync::Arc;

use control_plane::AcceptorService;
use futures_util::future::BoxFuture;
use futures_util::poll;
use register::{AcceptorReply, AcceptorRequest, Ballot, Incarnation, Member, ReplyOutcome, Versioned};
use state::ControlState;
use storage::simulated::{LoseUnsynced, SimulatedDisk};
use storage::{Journal, RingOptions};
use support::{initial_value_with, open_acceptor, RING_OPTIONS};
use tokio::sync::Semaphore;

fn initial_value(incarnation: Incarnation) -> Versioned<ControlState> {
    initial_value_with(vec![Member { name: "a".into(), incarnation, address: "a:1".into() }], Vec::new())
}

/// Returns a successor of `value` with this round in its ballot.
fn with_round(value: &Versioned<ControlState>, round: u64) -> Versioned<ControlState> {
    let state = ControlState { configuration_version: round, ..ControlState::clone(&value.value) };
    Versioned::new(Ballot { round, proposer: 7 }, Arc::new(state))
}

fn accepted_value(reply: &AcceptorReply<ControlState>) -> Option<Versioned<ControlState>> {
    match &reply.outcome {
        ReplyOutcome::Current { accepted, .. } => accepted.clone(),
        other => panic!("a reply to a read was expected, received {other:?}"),
    }
}

#[tokio::test]
async fn given_an_initial_value_when_another_is_offered_after_a_power_loss_then_the_first_stays() {
    let disk = SimulatedDisk::new(1);
    let (service, incarnation) = open_acceptor(&disk);
    let value = initial_value(incarnation);
    assert_eq!(service.initialize(value.clone()).await, Some(value.clone()));
    disk.lose_power(&mut LoseUnsynced);
    let (service, reopened_incarnation) = open_acceptor(&disk);
    assert_eq!((reopened_incarnation, service.is_initialized()), (incarnation, true));
    let other = Versioned::new(value.ballot, Arc::clone(&with_round(&value, 9).value));
    assert_eq!(service.initialize(other).await, Some(value.clone()));
    assert_eq!(service.committed(), Some(value));
}

#[tokio::test]
async fn given_a_promise_and_an_acceptance_when_power_is_lost_then_both_are_recovered() {
    let disk = SimulatedDisk::new(2);
    let (service, incarnation) = open_acceptor(&disk);
    let value = initial_value(incarnation);
    service.initialize(value.clone()).await;
    let newer = with_round(&value, 5);
    service.handle(AcceptorRequest::Accept(newer.clone())).await.expect("the change is durable");
    service
        .handle(AcceptorRequest::Prepare(Ballot { round: 8, proposer: 7 }))
        .await
        .expect("the change is durable");
    disk.lose_power(&mut LoseUnsynced);
    let (service, _) = open_acceptor(&disk);
    let reply = service.handle(AcceptorRequest::Read).await.expect("the acceptor replies");
    assert_eq!(accepted_value(&reply), Some(newer));
    let rejected =
        service.handle(AcceptorRequest::Accept(with_round(&value, 7))).await.expect("the acceptor replies");
    assert!(matches!(rejected.outcome, ReplyOutcome::Rejected(ballot) if ballot.round == 8), "{rejected:?}");
}

#[tokio::test]
async fn given_a_disk_that_failed_when_the_same_acceptance_is_repeated_then_it_is_durable_before_the_reply() {
    let disk = SimulatedDisk::new(3);
    let (service, incarnation) = open_acceptor(&disk);
    let value = initial_value(incarnation);
    service.initialize(value.clone()).await;
    let newer = with_round(&value, 5);
    disk.fail_syncs(1);
    assert!(
        service.handle(AcceptorRequest::Accept(newer.clone())).await.is_none(),
        "the acceptance is not durable"
    );
    let reply = service.handle(AcceptorRequest::Accept(newer.clone())).await.expect("the change is durable");
    assert!(matches!(reply.outcome, ReplyOutcome::Accepted));
    disk.lose_power(&mut LoseUnsynced);
    let reply = open_acceptor(&disk).0.handle(AcceptorRequest::Read).await.expect("the acceptor replies");
    assert_eq!(accepted_value(&reply), Some(newer));
}

/// Journal whose writer waits for a permit before each write of the queued records.
struct PacedJournal {
    journal: Journal,
    incarnation: Incarnation,
    permits: Arc<Semaphore>,
}

impl PacedJournal {
    fn open(disk: &SimulatedDisk) -> Self {
        Self::open_with(disk, RING_OPTIONS)
    }

    fn open_with(disk: &SimulatedDisk, options: RingOptions) -> Self {
        let permits = Arc::new(Semaphore::new(0));
        let writer_permits = Arc::clone(&permits);
        let pace = move || {
            let permits = Arc::clone(&writer_permits);
            let permit = async move { permits.acquire().await.expect("the semaphore is open").forget() };
            Box::pin(permit) as BoxFuture<'static, ()>
        };
        let opened = Journal::open_paced(disk.file_system(), Path::new("/data"), options, pace);
        let (journal, recovered, writer) = opened.expect("the journal opens");
        tokio::spawn(writer);
        Self { journal, incarnation: Incarnation(recovered.incarnation), permits }
    }

    fn acceptor(&self) -> Arc<AcceptorService> {
        AcceptorService::new(self.journal.clone(), self.incarnation, &[])
    }

    /// Permits the writer to write all queued records once, and yields so that it runs.
    async fn write_queued(&self) {
        self.permits.add_permits(1);
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }
    }
}

#[tokio::test]
async fn given_a_promise_queued_after_an_acceptance_when_the_write_of_the_acceptance_fails_then_the_promise_writes_it(
) {
    let disk = SimulatedDisk::new(4);
    let paced = PacedJournal::open(&disk);
    let service = paced.acceptor();
    let value = with_round(&initial_value(paced.incarnation), 5);
    let mut acceptance = Box::pin(service.handle(AcceptorRequest::Accept(value.clone())));
    assert!(poll!(&mut acceptance).is_pending());
    disk.fail_syncs(1);
    paced.write_queued().await;
    // The service has not processed the failure yet when the promise is queued.
    let mut promise = Box::pin(service.handle(AcceptorRequest::Prepare(Ballot { round: 8, proposer: 7 })));
    assert!(poll!(&mut promise).is_pending());
    assert_eq!(acceptance.await, None, "the acceptance is not durable");
    paced.write_queued().await;
    let promised = promise.await.expect("the change is durable");
    assert_eq!(promised.outcome, ReplyOutcome::Promised(Some(value.clone())));
    disk.lose_power(&mut LoseUnsynced);
    let reply = open_acceptor(&disk).0.handle(AcceptorRequest::Read).await.expect("the acceptor replies");
    assert_eq!(accepted_value(&reply), Some(value));
}

#[tokio::test]
async fn given_two_learned_values_when_their_writes_are_reported_out_of_order_then_the_newer_stays() {
    let disk = SimulatedDisk::new(5);
    let paced = PacedJournal::open(&disk);
    let service = paced.acceptor();
    let first = initial_value(paced.incarnation);
    let (older, newer) = (with_round(&first, 5), with_round(&first, 6));
    // The accepted value and the promise stay the same from here on, so that only the learned values differ.
    let mut accept = Box::pin(service.handle(AcceptorRequest::Accept(with_round(&first, 9))));
    assert!(poll!(&mut accept).is_pending());
    let mut learn_older = Box::pin(service.handle(AcceptorRequest::Learn(older)));
    let mut learn_newer = Box::pin(service.handle(AcceptorRequest::Learn(newer.clone())));
    assert!(poll!(&mut learn_older).is_pending() && poll!(&mut learn_newer).is_pending());
    paced.write_queued().await;
    assert!(accept.await.is_some() && learn_newer.await.is_some() && learn_older.await.is_some());
    assert_eq!(service.committed(), Some(newer));
}

#[tokio::test]
async fn given_a_learned_value_that_is_being_written_when_it_is_sent_again_then_the_reply_waits_for_the_disk()
{
    let disk = SimulatedDisk::new(6);
    let paced = PacedJournal::open(&disk);
    let service = paced.acceptor();
    let value = initial_value(paced.incarnation);
    let mut first = Box::pin(service.handle(AcceptorRequest::Learn(value.clone())));
    let mut again = Box::pin(service.handle(AcceptorRequest::Learn(value.clone())));
    assert!(poll!(&mut first).is_pending() && poll!(&mut again).is_pending());
    paced.write_queued().await;
    assert!(first.await.is_some() && again.await.is_some());
    assert_eq!(service.committed(), Some(value));
}

#[tokio::test]
async fn given_a_record_that_cannot_be_decoded_when_requests_arrive_then_the_acceptor_replies_to_none() {
    let disk = SimulatedDisk::new(7);
    let (service, incarnation) = open_acceptor(&disk);
    let value = initial_value(incarnation);
    service.initialize(value.clone()).await;
    drop(service);
    let opened = Journal::open_inline(disk.file_system(), Path::new("/data"), RING_OPTIONS);
    let (journal, _) = opened.expect("the journal opens");
    journal.append(b"of another build".to_vec()).await.expect("the record is durable");
    drop(journal);
    let (service, reopened_incarnation) = open_acceptor(&disk);
    assert_eq!(reopened_incarnation, incarnation);
    let requests = [
        AcceptorRequest::Read,
        AcceptorRequest::ReadNewer(Ballot::default()),
        AcceptorRequest::Prepare(Ballot { round: 8, proposer: 7 }),
        AcceptorRequest::Accept(with_round(&value, 9)),
        AcceptorRequest::Learn(with_round(&value, 9)),
    ];
    for request in requests {
        assert_eq!(service.handle(request.clone()).await, None, "{request:?}");
    }
    assert_eq!(service.initialize(value).await, None);
}

#[tokio::test]
async fn given_a_ring_that_filled_while_the_disk_stalled_when_the_process_restarts_then_the_acceptor_can_write(
) {
    const SMALL_RING: RingOptions = RingOptions { segment_bytes: 2048, segments: 3 };
    let disk = SimulatedDisk::new(8);
    let paced = PacedJournal::open_with(&disk, SMALL_RING);
    let service = paced.acceptor();
    let value = initial_value(paced.incarnation);
    let accept = |round| service.handle(AcceptorRequest::Accept(with_round(&value, round)));
    let mut queued: Vec<_> = (1..200).map(|round| Box::pin(accept(round))).collect();
    for acceptance in &mut queued {
        assert!(poll!(acceptance).is_pending());
    }
    paced.write_queued().await;
    let last = queued.pop().expect("acceptances are queued").await;
    assert_eq!(last, None, "the ring is full");
    drop(queued);
    disk.kill();
    let opened = Journal::open_inline(disk.file_system(), Path::new("/data"), SMALL_RING);
    let (journal, recovered) = opened.expect("the journal opens");
    let service = AcceptorService::new(journal, paced.incarnation, &recovered.records);
    let newer = AcceptorRequest::Accept(with_round(&value, 500));
    assert!(service.handle(newer).await.is_some(), "the obsolete records are released at the start");
}
