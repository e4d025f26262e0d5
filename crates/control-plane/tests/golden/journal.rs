//! Records that the acceptor writes into its journal.

use std::path::Path;

use control_plane::AcceptorService;
use register::{AcceptorRequest, Ballot, Incarnation, ReplyOutcome};
use storage::simulated::SimulatedDisk;
use storage::{Journal, Position};

use super::support::RING_OPTIONS;
use super::{check_bytes, versioned};

const INCARNATION: Incarnation = Incarnation(70_000);
const PROMISED: Ballot = Ballot { round: 500, proposer: 17 };

fn open(disk: &SimulatedDisk) -> (Journal, Vec<(Position, Vec<u8>)>) {
    let opened = Journal::open_inline(disk.file_system(), Path::new("/data"), RING_OPTIONS);
    let (journal, recovered) = opened.expect("the disk opens");
    (journal, recovered.records)
}

#[tokio::test]
async fn given_records_of_an_acceptor_when_written_then_their_bytes_stay_and_are_recovered() {
    let disk = SimulatedDisk::new(1);
    let service = AcceptorService::new(open(&disk).0, INCARNATION, &[]);
    service.initialize(versioned()).await.expect("it is durable");
    service.handle(AcceptorRequest::Prepare(PROMISED)).await.expect("it is durable");
    drop(service);

    let (journal, written) = open(&disk);
    let [(state_at, state), (promise_at, promise)] = &*written else { panic!("{} records", written.len()) };
    let state = check_bytes("journal_state.hex", state);
    let promise = check_bytes("journal_promise.hex", promise);

    let records = [(*state_at, state), (*promise_at, promise)];
    let recovered = AcceptorService::new(journal, INCARNATION, &records);
    assert_eq!((recovered.accepted(), recovered.committed()), (Some(versioned()), Some(versioned())));
    let lower = Ballot { round: PROMISED.round - 1, ..PROMISED };
    let reply = recovered.handle(AcceptorRequest::Prepare(lower)).await.expect("it answers");
    assert!(matches!(reply.outcome, ReplyOutcome::Rejected(promised) if promised == PROMISED), "{reply:?}");
}
