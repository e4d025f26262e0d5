//! Golden tests of the encoded forms of the messages between stores, and from traffic nodes to stores.
//!
//! The messages are private to the replication module, which therefore includes this file as a module. Each
//! encoded form is stored in a file of this directory as lines of hexadecimal digits. A run with
//! `GOLDEN_WRITE=1` writes missing files.

use std::fmt::Debug;

use batch::{
    Entry, ItemCondition, ItemResult, JobError, JobId, LogEntry, OwnershipTerm, ReplicaReply, ReplicaRequest,
    StoreId, SubmittedJob,
};
use bytes::Bytes;
use golden_files::GoldenFiles;
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::messages::{
    AddressedRequest, Heartbeat, HeartbeatReply, JobHeartbeat, JobHeartbeatReply, MigrationStatus,
    OwnerReply, ReadRequest, ReleaseNotice, ReplicateReply, ResultPage, Submission, SubmitReply,
    TakeoverRequest,
};

/// Store id whose bytes are all different.
const STORE: StoreId = 0x0102_0304_0506_0708;

/// Checks that a message is encoded as in its golden file, and that the file is decoded to the message.
fn check<T: Serialize + DeserializeOwned + Debug>(name: &str, message: &T) {
    let golden = GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
        .check_bytes(&format!("{name}.hex"), &rpc::encode(message));
    let decoded: T = rpc::decode(&golden).expect("the golden file can be decoded");
    assert_eq!(
        format!("{decoded:?}"),
        format!("{message:?}"),
        "{name}.hex is decoded to a different message"
    );
}

fn term(number: u64) -> OwnershipTerm {
    OwnershipTerm { epoch: 300, number, owner: STORE, nonce: 0x1112_1314_1516_1718 }
}

fn entries() -> Vec<LogEntry> {
    let submitted = SubmittedJob {
        host: "texts.example".into(),
        path: "/jobs/1".into(),
        body: Bytes::from_static(b"{\"parcels\":[]}"),
        total: 70_000,
    };
    let delivered = ItemResult {
        id: "item-1".into(),
        condition: ItemCondition::Delivered,
        text: "one\ntwo".to_owned(),
        versions: vec![7, 300],
        grade: Some("stamp".to_owned()),
    };
    let undeliverable = ItemResult {
        id: "item-2".into(),
        condition: ItemCondition::Undeliverable,
        text: String::new(),
        versions: Vec::new(),
        grade: None,
    };
    let entries = [Entry::Job(submitted), Entry::Result(delivered), Entry::Result(undeliverable), Entry::End];
    entries.into_iter().map(LogEntry::from).collect()
}

fn addressed<T>(request: T) -> AddressedRequest<T> {
    AddressedRequest { to: STORE, job: JobId::from("job-1"), request }
}

#[test]
fn given_replica_requests_when_encoded_then_their_bytes_match_the_golden_files() {
    let requests = [
        ("claim", ReplicaRequest::Prepare { term: term(5), accepted: term(4), length: 1000 }),
        ("write", ReplicaRequest::Append { term: term(5), adopted: term(4), start: 2, entries: entries() }),
        ("query", ReplicaRequest::Query),
        ("forget", ReplicaRequest::Delete { term: term(5) }),
    ];
    for (name, request) in requests {
        check(&format!("replicate-{name}"), &addressed(request));
    }
}

#[test]
fn given_replica_replies_when_encoded_then_their_bytes_match_the_golden_files() {
    let promised =
        ReplicaReply::Promised { term: term(5), accepted: term(4), length: 6, start: 2, entries: entries() };
    let replies = [
        ("promised", promised),
        ("written", ReplicaReply::Appended { term: term(5), length: 1000 }),
        ("behind", ReplicaReply::LogMismatch { term: term(5), accepted: term(4), length: 1000 }),
        ("rejected", ReplicaReply::Rejected { promised: term(6) }),
        ("holds", ReplicaReply::Status { promised: term(6), length: 1000 }),
        ("forgotten", ReplicaReply::Deleted { term: term(5) }),
    ];
    for (name, reply) in replies {
        check(&format!("replicate-reply-{name}"), &ReplicateReply { reply, age_ms: 123_456 });
    }
}

#[test]
fn given_takeover_requests_when_encoded_then_their_bytes_match_the_golden_files() {
    check("take-over-resigned", &addressed(TakeoverRequest { from: 300, is_from_owner: true }));
    check("take-over-left", &addressed(TakeoverRequest { from: 301, is_from_owner: false }));
    check("take-over-reply", &());
}

#[test]
fn given_a_release_notice_when_encoded_then_its_bytes_match_the_golden_file() {
    check("release-notice", &addressed(ReleaseNotice { from: 300 }));
}

#[test]
fn given_heartbeats_when_encoded_then_their_bytes_match_the_golden_files() {
    let job_heartbeat = |job: &str, is_established| JobHeartbeat {
        job: job.into(),
        term: term(5),
        length: 1000,
        is_established,
    };
    check(
        "heartbeat",
        &Heartbeat { to: STORE, jobs: vec![job_heartbeat("job-1", true), job_heartbeat("job-2", false)] },
    );
    check("heartbeat-empty", &Heartbeat { to: STORE, jobs: Vec::new() });
    let rejected = JobHeartbeatReply::Replica(ReplicaReply::Rejected { promised: term(6) });
    check(
        "heartbeat-reply",
        &HeartbeatReply { replies: vec![None, Some(JobHeartbeatReply::UpToDate), Some(rejected)] },
    );
}

#[test]
fn given_a_submission_when_encoded_then_its_bytes_match_the_golden_file() {
    let submission = Submission {
        host: "texts.example".into(),
        path: "/jobs/1".into(),
        body: Bytes::from_static(b"{\"parcels\":[]}"),
        timeout_ms: 1200,
    };
    check("submit", &addressed(submission));
}

#[test]
fn given_replies_to_submissions_when_encoded_then_their_bytes_match_the_golden_files() {
    let replies = [
        ("accepted", SubmitReply::Accepted),
        ("invalid-unreadable", SubmitReply::Invalid(JobError::Malformed("expected value".to_owned()))),
        ("invalid-empty", SubmitReply::Invalid(JobError::NoItems)),
        ("invalid-repeated", SubmitReply::Invalid(JobError::DuplicateItem("item-1".into()))),
        ("invalid-bad-body", SubmitReply::Invalid(JobError::InvalidBody("item-2".into()))),
        ("not-taken", SubmitReply::NotAccepted),
        ("unsure", SubmitReply::Unknown),
        ("elsewhere", SubmitReply::Redirect(STORE)),
    ];
    for (name, reply) in replies {
        check(&format!("submit-reply-{name}"), &reply);
    }
}

#[test]
fn given_reads_of_results_when_encoded_then_their_bytes_match_the_golden_files() {
    let deliveries = Bytes::from_static(b"[{\"id\":\"item-1\"}]");
    check("read", &addressed(ReadRequest { after: 300, long_poll_ms: 70_000 }));
    check("read-reply-is", &OwnerReply::Success(ResultPage { total: 70_000, next: 301, deliveries }));
    check("read-reply-no-such-job", &OwnerReply::<ResultPage>::NoSuchJob);
    check("read-reply-unsure", &OwnerReply::<ResultPage>::Unknown);
    check("read-reply-elsewhere", &OwnerReply::<ResultPage>::Redirect(STORE));
}

#[test]
fn given_reads_of_an_item_body_when_encoded_then_their_bytes_match_the_golden_files() {
    check("body", &addressed("item-1".to_owned()));
    check("body-reply-is", &OwnerReply::Success(Some(Bytes::from_static(b"hello"))));
    check("body-reply-no-such-item", &OwnerReply::<Option<Bytes>>::Success(None));
    check("body-reply-no-such-job", &OwnerReply::<Option<Bytes>>::NoSuchJob);
    check("body-reply-unsure", &OwnerReply::<Option<Bytes>>::Unknown);
    check("body-reply-elsewhere", &OwnerReply::<Option<Bytes>>::Redirect(STORE));
}

#[test]
fn given_the_end_of_a_batch_job_when_encoded_then_its_bytes_match_the_golden_files() {
    check("end", &addressed(()));
    check("end-reply-is", &OwnerReply::Success(()));
    check("end-reply-no-such-job", &OwnerReply::<()>::NoSuchJob);
    check("end-reply-unsure", &OwnerReply::<()>::Unknown);
    check("end-reply-elsewhere", &OwnerReply::<()>::Redirect(STORE));
}

#[test]
fn given_a_migration_status_when_encoded_then_its_bytes_match_the_golden_files() {
    check("moved", &());
    check("moved-reply", &MigrationStatus { store: STORE, epoch: 300, is_complete: true });
}

#[test]
fn given_the_paths_of_the_messages_when_listed_then_they_are_unchanged() {
    use super::messages as paths;
    let listed = [
        paths::REPLICATE_PATH,
        paths::HEARTBEAT_PATH,
        paths::TAKEOVER_PATH,
        paths::SUBMIT_PATH,
        paths::READ_PATH,
        paths::BODY_PATH,
        paths::END_PATH,
        paths::MIGRATION_STATUS_PATH,
    ];
    let expected = [
        "/batch/replicate",
        "/batch/heartbeat",
        "/batch/take-over",
        "/batch/submit",
        "/batch/read",
        "/batch/body",
        "/batch/end",
        "/batch/moved",
    ];
    assert_eq!(listed, expected);
}
