//! Golden files of the records that the acceptor writes to its journal.

use std::path::Path;

use control_plane::AcceptorService;
use register::{AcceptorRequest, Ballot, Incarnation, ReplyOutcome};
use storage::simulated::SimulatedDisk;
use storage::{Journal, Position};

use super::support::RING_OPTIONS;
use super::{check_bytes, versioned};

const INCARNATION: Incarnation = Incarnation(70_000);
const PROMISED: Ballot = Ballot { round: 500, proposer: 17 };

/// Opens the journal on a disk, and returns it with the records that it contains.
fn open_journal(disk: &SimulatedDisk) -> (Journal, Vec<(Position, Vec<u8>)>) {
    let opened = Journal::open_inline(disk.file_system(), Path::new("/data"), RING_OPTIONS);
    let (journal, recovered) = opened.expect("the journal opens");
    (journal, recovered.records)
}

#[tokio::test]
async fn given_records_of_an_acceptor_when_written_then_their_bytes_match_the_golden_files_and_are_recovered()
{
    let disk = SimulatedDisk::new(1);
    let service = AcceptorService::new(open_journal(&disk).0, INCARNATION, &[]);
    service.initialize(versioned()).await.expect("the change is durable");
    service.handle(AcceptorRequest::Prepare(PROMISED)).await.expect("the change is durable");
    drop(service);

    let (journal, written) = open_journal(&disk);
    let [(state_position, state), (promise_position, promise)] = &*written else {
        panic!("two records were expected, found {}", written.len())
    };
    let state = check_bytes("journal_state.hex", state);
    let promise = check_bytes("journal_promise.hex", promise);

    let records = [(*state_position, state), (*promise_position, promise)];
    let recovered = AcceptorService::new(journal, INCARNATION, &records);
    assert_eq!((recovered.accepted(), recovered.committed()), (Some(versioned()), Some(versioned())));
    let lower = Ballot { round: PROMISED.round - 1, ..PROMISED };
    let reply = recovered.handle(AcceptorRequest::Prepare(lower)).await.expect("the acceptor replies");
    assert!(matches!(reply.outcome, ReplyOutcome::Rejected(promised) if promised == PROMISED), "{reply:?}");
}
