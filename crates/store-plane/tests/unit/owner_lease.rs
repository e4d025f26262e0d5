//! Read leases: a replica promises nothing to another claimant while the owner in contact with it may answer
//! reads.

use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use batch::{JobId, OwnershipTerm, ReplicaReply, ReplicaRequest, StoreId};
use register::{Incarnation, Member};
use state::View;
use storage::{Position, ReadTask, RecordLocation, RecordSource, RingUsage};
use tokio::sync::{mpsc, watch};
use tokio::time::{advance, Instant};

use super::super::journal::{Appended, RecordJournal};
use super::super::memory_budgets::MemoryBudgets;
use super::super::messages::{Heartbeat, JobHeartbeat};
use super::super::node::StoreNode;
use super::super::recovery::StoreRecovery;
use super::super::state::{ReplicationState, WriteRequest, OWNER_TIMEOUT, READ_LEASE};
use super::super::store_limits::StoreLimits;

const OWNER: StoreId = 1;
const REPLICA: u64 = 2;
const CLAIMANT: StoreId = 3;
const MEMORY_BYTES: usize = 1_000_000;

/// A journal whose records are durable at once.
struct InstantJournal;

impl RecordSource for InstantJournal {
    fn read(&self, _: &RecordLocation, _: Range<u64>) -> io::Result<Vec<u8>> {
        Err(io::ErrorKind::NotFound.into())
    }
}

impl RecordJournal for InstantJournal {
    fn append(&self, _: Box<dyn storage::RecordContent>) -> Appended {
        Box::pin(async { Ok(RecordLocation::new(Position(1), Vec::new())) })
    }

    fn source(&self) -> Arc<dyn RecordSource> {
        Arc::new(Self)
    }

    fn run_read(&self, task: ReadTask) {
        task();
    }

    fn release(&self, _: u64) {}

    fn usage(&self) -> RingUsage {
        RingUsage::default()
    }
}

/// Starts a replica whose writes are durable at once, and lets [`OWNER_TIMEOUT`] pass, so that its start does
/// not delay claims.
async fn start_replica() -> Arc<StoreNode> {
    let (write_queue, mut queued) = mpsc::unbounded_channel::<WriteRequest>();
    tokio::spawn(async move {
        while let Some(request) = queued.recv().await {
            let _ = request.done.send(());
        }
    });
    let member =
        Member { name: "replica".into(), incarnation: Incarnation(REPLICA), address: "127.0.0.1:1".into() };
    let recovery = StoreRecovery::new(Arc::new(InstantJournal));
    let started = Instant::now();
    let node = StoreNode {
        member,
        rpc: rpc::Client::new(),
        view: watch::Sender::new(Arc::new(View::default())).subscribe(),
        limits: StoreLimits { result_retention: Duration::from_secs(60), memory_bytes: MEMORY_BYTES },
        budgets: MemoryBudgets::new(MEMORY_BYTES),
        started,
        journal: Arc::new(InstantJournal),
        owned_jobs: mpsc::unbounded_channel().0,
        state: Mutex::new(ReplicationState::recover(recovery, MEMORY_BYTES, write_queue)),
    };
    advance(OWNER_TIMEOUT).await;
    Arc::new(node)
}

fn term(number: u64, owner: StoreId) -> OwnershipTerm {
    OwnershipTerm { epoch: 1, number, owner, nonce: 0 }
}

/// Claims a batch job at a replica. Returns its reply; `None` if another owner may still answer reads when
/// the wait for its lease ends.
async fn claim(replica: &StoreNode, job: &JobId, term: OwnershipTerm) -> Option<ReplicaReply> {
    let request = ReplicaRequest::Prepare { term, accepted: OwnershipTerm::default(), length: 0 };
    replica.replicate(job, request).await.map(|reply| reply.reply)
}

fn send_heartbeat(replica: &StoreNode, job: &JobId, term: OwnershipTerm) {
    let job = JobHeartbeat { job: Arc::clone(job), term, length: 0, is_established: true };
    let _ = replica.answer_heartbeat(&Heartbeat { to: REPLICA, jobs: vec![job] });
}

fn is_promised(reply: &Option<ReplicaReply>) -> bool {
    matches!(reply, Some(ReplicaReply::Promised { .. }))
}

#[test]
fn given_clocks_that_are_wrong_by_a_tenth_when_compared_then_the_read_lease_ends_before_the_owner_timeout() {
    assert!(READ_LEASE.as_secs_f64() * 1.1 < OWNER_TIMEOUT.as_secs_f64() * 0.9);
}

#[tokio::test(start_paused = true)]
async fn given_an_owner_that_keeps_contact_when_another_store_claims_then_nothing_is_promised() {
    let (replica, job) = (start_replica().await, JobId::from("job"));
    assert!(is_promised(&claim(&replica, &job, term(1, OWNER)).await));
    advance(Duration::from_millis(300)).await;
    send_heartbeat(&replica, &job, term(1, OWNER));
    assert_eq!(claim(&replica, &job, term(2, CLAIMANT)).await, None);
}

#[tokio::test(start_paused = true)]
async fn given_an_owner_without_contact_when_another_store_claims_then_the_promise_waits_for_the_lease_end() {
    let (replica, job) = (start_replica().await, JobId::from("job"));
    assert!(is_promised(&claim(&replica, &job, term(1, OWNER)).await));
    let contact = Instant::now();
    advance(OWNER_TIMEOUT - Duration::from_millis(200)).await;
    assert!(is_promised(&claim(&replica, &job, term(2, CLAIMANT)).await));
    assert!(contact.elapsed() >= OWNER_TIMEOUT, "the promise came {:?} after the contact", contact.elapsed());
}

#[tokio::test(start_paused = true)]
async fn given_an_owner_that_released_the_batch_job_when_another_store_claims_then_the_promise_is_immediate()
{
    let (replica, job) = (start_replica().await, JobId::from("job"));
    assert!(is_promised(&claim(&replica, &job, term(1, OWNER)).await));
    replica.on_released(&job, CLAIMANT);
    let reply = claim(&replica, &job, term(2, CLAIMANT)).await;
    assert_eq!(reply, None, "a notice that does not come from the owner is ignored");
    let contact = Instant::now();
    replica.on_released(&job, OWNER);
    assert!(is_promised(&claim(&replica, &job, term(3, CLAIMANT)).await));
    assert_eq!(contact.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn given_an_owner_when_it_claims_again_then_the_promise_is_immediate() {
    let (replica, job) = (start_replica().await, JobId::from("job"));
    assert!(is_promised(&claim(&replica, &job, term(1, OWNER)).await));
    let contact = Instant::now();
    assert!(is_promised(&claim(&replica, &job, term(2, OWNER)).await));
    assert_eq!(contact.elapsed(), Duration::ZERO);
}
