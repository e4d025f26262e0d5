//! Logs that are transferred in several messages go one after the other to each store.

use std::sync::Arc;

use batch::{JobId, OwnershipTerm, ReplicaRequest, StoreId};

use super::LogTransfers;

const STORE: StoreId = 7;

fn term(number: u64) -> OwnershipTerm {
    OwnershipTerm { epoch: 1, number, owner: 1, nonce: 0 }
}

fn stage() -> ReplicaRequest {
    ReplicaRequest::Stage { term: term(1), adopted: term(1), start: 0, entries: Vec::new() }
}

fn fetch() -> ReplicaRequest {
    ReplicaRequest::Fetch { term: term(1), accepted: term(1), start: 0 }
}

/// Guards against owners that send all logs at once to a store that has lost its disk
/// (docs/incidents/store-memory.md).
#[test]
fn given_a_log_on_its_way_to_a_store_when_another_is_due_then_it_waits_for_the_end_of_the_first() {
    let (first, second): (JobId, JobId) = ("first".into(), "second".into());
    let mut transfers = LogTransfers::default();

    assert!(transfers.may_send(&first, term(1), STORE, &stage()));
    assert!(!transfers.may_send(&second, term(1), STORE, &stage()));
    assert!(transfers.may_send(&first, term(1), STORE, &stage()), "the next piece of the same log");
    assert!(transfers.may_send(&second, term(1), STORE + 1, &stage()), "another store");
    assert!(transfers.end_sending(&second, term(1), STORE).is_empty(), "it is not on its way there");
    let waiting = transfers.end_sending(&first, term(1), STORE);

    assert_eq!(Vec::from_iter(waiting), [Arc::clone(&second)]);
    assert!(transfers.may_send(&second, term(1), STORE, &stage()));
}

#[test]
fn given_a_fetched_log_when_another_is_due_from_any_store_then_it_waits() {
    let (first, second): (JobId, JobId) = ("first".into(), "second".into());
    let mut transfers = LogTransfers::default();

    assert!(transfers.may_send(&first, term(1), STORE, &fetch()));
    assert!(!transfers.may_send(&second, term(1), STORE + 1, &fetch()));

    assert_eq!(Vec::from_iter(transfers.end_fetch(&first, term(1))), [second]);
}

#[test]
fn given_a_transfer_when_its_ownership_was_released_then_it_is_reported_as_stale() {
    let job: JobId = "job".into();
    let mut transfers = LogTransfers::default();
    assert!(transfers.may_send(&job, term(1), STORE, &stage()));

    assert!(transfers.stale(|_, owned| owned != term(1)).is_empty());
    assert_eq!(transfers.stale(|_, owned| owned == term(1)), [(job, term(1), Some(STORE))]);
}
