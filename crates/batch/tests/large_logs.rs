//! Logs that are too large for one message between stores.

use std::time::Duration;

use batch::{
    Entry, ItemCondition, ItemResult, JobId, LogEntry, Ownership, OwnershipPhase, OwnershipTerm,
    ReplicaReply, ReplicaRequest, ReplicaSet, Replicas, StoreId, SubmittedJob,
};
use bytes::Bytes;

/// Size of each entry; two of them are too large for one message.
const ENTRY_BYTES: usize = 700 * 1024;
/// Number of entries of the logs.
const ENTRIES: usize = 5;
/// Maximum number of times that all stores answer what an owner has sent.
const MAX_ROUNDS: usize = 50;

/// Three stores that replicate one batch job; the index of a store is its id minus 1.
struct Stores {
    job: JobId,
    replicas: Vec<Replicas>,
    /// The requests that were answered, oldest first, with their stores.
    requests: Vec<(StoreId, ReplicaRequest)>,
}

impl Stores {
    /// Creates stores of which those with the ids `with_log` have a log of [`ENTRIES`] entries.
    fn new(with_log: &[StoreId]) -> Self {
        let mut stores =
            Self { job: "job".into(), replicas: vec![Replicas::default(); 3], requests: Vec::new() };
        for store in with_log {
            let term = term(1, with_log[0]);
            for start in 0..ENTRIES {
                let entries = vec![entry(start)];
                stores.handle(*store, ReplicaRequest::Append { term, adopted: term, start, entries });
            }
        }
        stores.requests.clear();
        stores
    }

    fn handle(&mut self, store: StoreId, request: ReplicaRequest) -> ReplicaReply {
        self.requests.push((store, request.clone()));
        self.replicas[store as usize - 1].handle(&self.job, request).0
    }

    fn claim(&self, store: StoreId) -> Ownership {
        let set = ReplicaSet { current: vec![1, 2, 3], previous: Vec::new() };
        Ownership::claim(term(2, store), set, self.replicas[store as usize - 1].log("job"))
    }

    /// Lets the stores answer the owner until it has sent nothing more, or until `is_done`.
    fn run(&mut self, owner: &mut Ownership, is_done: impl Fn(&Ownership) -> bool) {
        for _ in 0..MAX_ROUNDS {
            let requests = owner.next_requests(|_, _| true);
            if requests.is_empty() || is_done(owner) {
                return;
            }
            for (store, request) in requests {
                let reply = self.handle(store, request);
                owner.handle_reply(store, reply, Duration::ZERO);
            }
        }
        panic!("the owner does not stop sending requests");
    }

    /// Restarts a store: what it has only in memory is lost.
    fn restart(&mut self, store: StoreId) {
        let replicas = &mut self.replicas[store as usize - 1];
        let records = replicas.log("job").is_some().then(|| replicas.snapshot(&self.job));
        *replicas = Replicas::default();
        records.into_iter().for_each(|record| replicas.replay(record));
    }

    fn length(&self, store: StoreId) -> usize {
        self.replicas[store as usize - 1].log("job").map_or(0, |log| log.entries.len())
    }
}

fn term(number: u64, owner: StoreId) -> OwnershipTerm {
    OwnershipTerm { epoch: 1, number, owner, nonce: 7 }
}

fn entry(number: usize) -> LogEntry {
    let body = Bytes::from(vec![number as u8; ENTRY_BYTES]);
    LogEntry::from(Entry::Job(SubmittedJob { host: "h".into(), path: "/p".into(), body, total: 1 }))
}

/// Returns the number of entries in a request.
fn entries_of(request: &ReplicaRequest) -> usize {
    match request {
        ReplicaRequest::Append { entries, .. } | ReplicaRequest::Stage { entries, .. } => entries.len(),
        _ => 0,
    }
}

/// Guards against logs that no message can contain (docs/incidents/large-batch-job.md): a replica that had
/// nothing of a log got all of it in one request.
#[test]
fn given_a_large_log_when_replicas_lack_it_then_they_get_it_in_pieces() {
    let mut stores = Stores::new(&[1]);
    let mut owner = stores.claim(1);

    stores.run(&mut owner, |_| false);

    assert!(owner.is_established());
    assert_eq!((1..=3).map(|store| stores.length(store)).collect::<Vec<_>>(), [ENTRIES; 3]);
    assert!(stores.requests.iter().all(|(_, request)| entries_of(request) <= 1));
}

#[test]
fn given_a_claimant_without_the_log_when_it_is_large_then_the_claimant_fetches_it_in_pieces() {
    let mut stores = Stores::new(&[2, 3]);
    let mut owner = stores.claim(1);

    stores.run(&mut owner, |_| false);

    assert!(owner.is_established());
    assert_eq!(owner.committed().len(), ENTRIES);
    let is_fetch = |request: &ReplicaRequest| matches!(request, ReplicaRequest::Fetch { .. });
    let fetches = stores.requests.iter().filter(|(_, request)| is_fetch(request)).count();
    assert_eq!(fetches, ENTRIES, "one store is asked for each entry once");
}

#[test]
fn given_a_source_that_stops_replying_when_a_log_is_fetched_then_it_is_fetched_from_another_store() {
    let mut stores = Stores::new(&[2, 3]);
    let mut owner = stores.claim(1);
    let is_fetched_from = |(store, request): &(StoreId, ReplicaRequest)| {
        matches!(request, ReplicaRequest::Fetch { .. }).then_some(*store)
    };
    let mut source = None;
    for _ in 0..MAX_ROUNDS {
        let requests = owner.next_requests(|_, _| true);
        source = source.or_else(|| requests.iter().find_map(is_fetched_from));
        for (store, request) in requests {
            if source == Some(store) {
                owner.handle_no_reply(store);
                continue;
            }
            let reply = stores.handle(store, request);
            owner.handle_reply(store, reply, Duration::ZERO);
        }
    }

    assert!(source.is_some());
    assert!(owner.is_established());
    assert_eq!(owner.committed().len(), ENTRIES);
}

/// The entries that are sent ahead are in memory only.
#[test]
fn given_a_store_that_restarts_when_entries_were_sent_ahead_then_it_gets_them_again() {
    let mut stores = Stores::new(&[1]);
    let mut owner = stores.claim(1);
    let staged = |stores: &Stores| {
        stores.requests.iter().filter(|(_, request)| matches!(request, ReplicaRequest::Stage { .. })).count()
    };
    while staged(&stores) < ENTRIES {
        for (store, request) in owner.next_requests(|_, _| true) {
            let reply = stores.handle(store, request);
            owner.handle_reply(store, reply, Duration::ZERO);
        }
    }
    stores.restart(2);
    assert_eq!(stores.length(2), 0, "no part of the log is written before it is complete");

    stores.run(&mut owner, |_| false);

    assert_eq!(stores.length(2), ENTRIES);
}

#[test]
fn given_entries_sent_ahead_when_another_store_claims_the_job_then_they_are_not_appended() {
    let mut stores = Stores::new(&[1]);
    let first = term(2, 1);
    let stage = ReplicaRequest::Stage { term: first, adopted: term(1, 1), start: 0, entries: vec![entry(0)] };
    assert_eq!(stores.handle(2, stage), ReplicaReply::Staged { term: first, length: 1 });
    let second = term(3, 3);
    let prepare = ReplicaRequest::Prepare { term: second, accepted: OwnershipTerm::default(), length: 0 };
    stores.handle(2, prepare);

    let append = ReplicaRequest::Append { term: second, adopted: first, start: 1, entries: vec![entry(1)] };

    assert!(matches!(stores.handle(2, append), ReplicaReply::LogMismatch { .. }));
    assert_eq!(stores.length(2), 0);
}

#[test]
fn given_a_leading_owner_when_it_appends_a_large_tail_then_each_request_contains_a_piece() {
    let mut stores = Stores::new(&[]);
    let mut owner = stores.claim(1);
    stores.run(&mut owner, |owner| owner.phase() == OwnershipPhase::Leading);
    owner.append((0..ENTRIES).map(entry));

    stores.run(&mut owner, |_| false);

    assert_eq!(owner.committed().len(), ENTRIES);
    assert!(stores.requests.iter().all(|(_, request)| entries_of(request) <= 1));
}

/// Entries without texts take space in a message too.
#[test]
fn given_many_small_entries_when_appended_then_no_request_is_much_longer_than_the_limit() {
    let result = |number: usize| {
        LogEntry::from(Entry::Result(ItemResult {
            id: format!("item-{number}").into(),
            condition: ItemCondition::Undeliverable,
            text: String::new(),
            versions: Vec::new(),
            grade: None,
        }))
    };
    let mut stores = Stores::new(&[]);
    let mut owner = stores.claim(1);
    stores.run(&mut owner, |owner| owner.phase() == OwnershipPhase::Leading);
    owner.append((0..100_000).map(result));

    stores.run(&mut owner, |_| false);

    assert_eq!(owner.committed().len(), 100_000);
    let longest = stores.requests.iter().map(|(_, request)| rpc::encode(request).len()).max();
    assert!(longest < Some(1024 * 1024 + 64 * 1024), "{longest:?}");
}
