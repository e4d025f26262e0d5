//! Golden files: the bytes that stores write to disk and exchange, and the JSON of batch jobs and results.
//!
//! A run with `GOLDEN_WRITE=1` creates missing files. A difference from a golden file means that stores of
//! different versions could not read each other's data.

use batch::{
    Entry, Item, ItemChanged, ItemCondition, ItemResult, Job, JobError, JobOutline, LogEntry, OwnershipTerm,
    Record, ReplicaReply, ReplicaRequest, RewardRequest, SubmittedJob,
};
use bytes::Bytes;
use golden_files::GoldenFiles;
use serde::de::DeserializeOwned;
use serde::Serialize;
use yare::parameterized;

fn check_golden(name: &str, text: &str) {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR")).check(name, text);
}

/// Checks that the encoding of `value` equals the golden file and decodes to an equal value.
fn check_encoding<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, value: &T) {
    let bytes = rpc::encode(value);
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR")).check_bytes(name, &bytes);
    assert_eq!(rpc::decode::<T>(&bytes).as_ref(), Ok(value));
}

fn term(seed: u64) -> OwnershipTerm {
    OwnershipTerm {
        epoch: seed,
        number: 300 + seed,
        owner: 70_000 + seed,
        nonce: 0xfeed_0000_0000_0000 + seed,
    }
}

fn submitted_job() -> SubmittedJob {
    SubmittedJob {
        host: "trainer.example".into(),
        path: "/batches/generate".into(),
        body: Bytes::from_static(br#"{"parcels":[{"id":"item-1","lane":"/generate/x"}]}"#),
        total: 417,
    }
}

fn delivered_result() -> ItemResult {
    ItemResult {
        id: "item-1".into(),
        condition: ItemCondition::Delivered,
        text: "first event\nsecond event\n".to_owned(),
        versions: vec![6, 7, 300],
        grade: Some("stamp 0.75".to_owned()),
    }
}

fn undeliverable_result() -> ItemResult {
    ItemResult {
        id: "item-2".into(),
        condition: ItemCondition::Undeliverable,
        text: String::new(),
        versions: Vec::new(),
        grade: None,
    }
}

fn entries() -> Vec<LogEntry> {
    let entries = [
        Entry::Job(submitted_job()),
        Entry::Result(delivered_result()),
        Entry::Result(undeliverable_result()),
        Entry::End,
    ];
    entries.into_iter().map(LogEntry::from).collect()
}

fn record_epoch() -> Record {
    Record::Epoch(9)
}

fn record_promise() -> Record {
    Record::Promise { job: "job-1".into(), term: term(1) }
}

fn record_append() -> Record {
    Record::Append { job: "job-1".into(), term: term(2), start: 513, entries: entries() }
}

fn record_snapshot() -> Record {
    Record::Snapshot { job: "job-1".into(), promised: term(3), accepted: term(2), entries: entries() }
}

fn record_delete() -> Record {
    Record::Delete { job: "job-1".into() }
}

#[parameterized(
    epoch = { "record-epoch.hex", record_epoch() },
    promise = { "record-promise.hex", record_promise() },
    append = { "record-write.hex", record_append() },
    snapshot = { "record-snapshot.hex", record_snapshot() },
    delete = { "record-forget.hex", record_delete() },
)]
fn given_a_record_when_encoded_then_its_bytes_match_the_golden_file(name: &str, record: Record) {
    check_encoding(name, &record);
}

/// A store writes a list of [`Record`]s as a single record of its journal.
#[test]
fn given_a_list_of_records_when_encoded_then_its_bytes_match_the_golden_file() {
    let records: Vec<Record> =
        vec![record_epoch(), record_promise(), record_append(), record_snapshot(), record_delete()];
    check_encoding("journal-records.hex", &records);
}

#[parameterized(
    job = { "entry-job.hex", Entry::Job(submitted_job()) },
    result_delivered = { "entry-result-delivered.hex", Entry::Result(delivered_result()) },
    result_undeliverable = { "entry-result-undeliverable.hex", Entry::Result(undeliverable_result()) },
    end = { "entry-end.hex", Entry::End },
)]
fn given_an_entry_when_encoded_then_its_bytes_match_the_golden_file(name: &str, entry: Entry) {
    check_encoding(name, &entry);
}

#[test]
fn given_a_term_a_submitted_job_and_results_when_encoded_then_their_bytes_match_the_golden_files() {
    check_encoding("ballot.hex", &term(4));
    check_encoding("submitted-job.hex", &submitted_job());
    check_encoding("item-result-delivered.hex", &delivered_result());
    check_encoding("item-result-undeliverable.hex", &undeliverable_result());
}

#[parameterized(
    prepare = {
        "request-claim.hex",
        ReplicaRequest::Prepare { term: term(5), accepted: term(4), length: 301 },
    },
    append = {
        "request-write.hex",
        ReplicaRequest::Append { term: term(5), adopted: term(3), start: 2, entries: entries() },
    },
    query = { "request-query.hex", ReplicaRequest::Query },
    delete = { "request-forget.hex", ReplicaRequest::Delete { term: term(6) } },
    stage = {
        "request-stage.hex",
        ReplicaRequest::Stage { term: term(5), adopted: term(3), start: 2, entries: entries() },
    },
    fetch = { "request-fetch.hex", ReplicaRequest::Fetch { term: term(5), accepted: term(3), start: 2 } },
)]
fn given_a_replica_request_when_encoded_then_its_bytes_match_the_golden_file(
    name: &str,
    request: ReplicaRequest,
) {
    check_encoding(name, &request);
}

#[parameterized(
    promised = {
        "reply-promised.hex",
        ReplicaReply::Promised {
            term: term(5),
            accepted: term(4),
            length: 305,
            start: 301,
            entries: entries(),
        },
    },
    appended = { "reply-written.hex", ReplicaReply::Appended { term: term(5), length: 305 } },
    log_mismatch = {
        "reply-behind.hex",
        ReplicaReply::LogMismatch { term: term(5), accepted: term(2), length: 17 },
    },
    rejected = { "reply-rejected.hex", ReplicaReply::Rejected { promised: term(7) } },
    status = { "reply-holds.hex", ReplicaReply::Status { promised: term(7), length: 18 } },
    deleted = { "reply-forgotten.hex", ReplicaReply::Deleted { term: term(6) } },
    staged = { "reply-staged.hex", ReplicaReply::Staged { term: term(5), length: 305 } },
    fetched = {
        "reply-fetched.hex",
        ReplicaReply::Fetched { term: term(5), accepted: term(4), start: 301, entries: entries() },
    },
)]
fn given_a_replica_reply_when_encoded_then_its_bytes_match_the_golden_file(name: &str, reply: ReplicaReply) {
    check_encoding(name, &reply);
}

#[parameterized(
    malformed = { "job-error-unreadable.hex", JobError::Malformed("expected value".to_owned()) },
    no_items = { "job-error-empty.hex", JobError::NoItems },
    duplicate_item = { "job-error-repeated.hex", JobError::DuplicateItem("item-1".into()) },
    invalid_body = { "job-error-bad-body.hex", JobError::InvalidBody("item-2".into()) },
)]
fn given_a_job_error_when_encoded_then_its_bytes_match_the_golden_file(name: &str, error: JobError) {
    check_encoding(name, &error);
}

fn complete_job() -> Job {
    let headers = [("Model", "model-a"), ("Prompt-Prefix", "p1,p2")];
    Job {
        step: Some(7),
        model: Some("model-a".into()),
        oldest_version: Some(6),
        required_groups: Some(1),
        items: vec![Item {
            id: "item-1".into(),
            path: "/generate/x".to_owned(),
            headers: headers.map(|(name, value)| (name.to_owned(), value.to_owned())).into(),
            body: "q83vEjRWeJA=".to_owned(),
            tokens: 940,
            group: Some("group-1".into()),
            reward: Some(RewardRequest {
                id: "reward-1".to_owned(),
                host: "scorer.example".to_owned(),
                path: "/score".to_owned(),
                body: "3q2+7w==".to_owned(),
            }),
        }],
    }
}

fn minimal_job() -> Job {
    let item = Item {
        id: "item-1".into(),
        path: "/generate/x".to_owned(),
        headers: Default::default(),
        body: String::new(),
        tokens: 0,
        group: None,
        reward: None,
    };
    Job { step: None, model: None, oldest_version: None, required_groups: None, items: vec![item] }
}

#[parameterized(
    complete = { "job-complete.json", complete_job() },
    minimal = { "job-minimal.json", minimal_job() },
)]
fn given_a_job_when_written_as_json_then_it_matches_the_golden_file_and_parses_back(name: &str, job: Job) {
    let json = serde_json::to_string(&job).expect("a job can be written");
    check_golden(name, &json);
    let outline = JobOutline::parse(json.as_bytes()).expect("the job is valid");
    let items: Result<Vec<Item>, ItemChanged> =
        outline.items.iter().map(|item| item.parse(&json.as_bytes()[item.json.clone()])).collect();
    assert_eq!(items.as_ref(), Ok(&job.items));
    assert_eq!(serde_json::from_str::<Job>(&json).expect("the job parses"), job);
}

#[parameterized(
    delivered = { "item-result-delivered.json", delivered_result() },
    undeliverable = { "item-result-undeliverable.json", undeliverable_result() },
)]
fn given_an_item_result_when_written_as_json_then_it_matches_the_golden_file(name: &str, result: ItemResult) {
    let json = serde_json::to_string(&result).expect("a result can be written");
    check_golden(name, &json);
    assert_eq!(serde_json::from_str::<ItemResult>(&json).ok(), Some(result));
}
