//! Parsing and validation of submitted batch jobs.

use batch::{Job, JobError};
use yare::parameterized;

const VALID_JOB: &str = r#"{"step":7,"model":"m","oldestEdition":6,"wanted":1,"parcels":[{"id":"a","lane":"/x/1",
    "envelope":{"Model":"m"},"payload":"q83vEjRWeJA=","tokens":940,"bundle":"g1",
    "scorer":{"id":"r","depot":"h.example","lane":"/y/2","payload":"3q2+7w=="}}]}"#;

#[test]
fn given_a_valid_job_when_parsed_then_its_bodies_are_decoded() {
    let job = Job::parse(VALID_JOB.as_bytes()).expect("the job is valid");

    assert_eq!(job.items[0].decoded_body(), [0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]);
    let reward = job.items[0].reward.as_ref().expect("the item has a reward request");
    assert_eq!(reward.decoded_body(), [0xde, 0xad, 0xbe, 0xef]);
}

#[test]
fn given_only_the_required_fields_when_parsed_then_the_optional_ones_are_absent() {
    let job = Job::parse(br#"{"parcels":[{"id":"a","lane":"/x/1"}]}"#).expect("the job is valid");

    assert_eq!((job.step, job.required_groups, job.oldest_version), (None, None, None));
}

#[parameterized(
    no_items = { r#"{"parcels":[]}"#, JobError::NoItems },
    duplicate_item = { r#"{"parcels":[{"id":"a","lane":"/"},{"id":"a","lane":"/"}]}"#, JobError::DuplicateItem("a".into()) },
    invalid_body = { r#"{"parcels":[{"id":"a","lane":"/","payload":"?"}]}"#, JobError::InvalidBody("a".into()) },
)]
fn given_an_invalid_job_when_parsed_then_the_error_names_the_cause(body: &str, error: JobError) {
    assert_eq!(Job::parse(body.as_bytes()), Err(error));
}

#[parameterized(truncated = { "{\"parcels\":[" }, array = { "[]" }, empty = { "" })]
fn given_bytes_that_are_not_a_job_when_parsed_then_the_error_is_malformed(body: &str) {
    assert!(matches!(Job::parse(body.as_bytes()), Err(JobError::Malformed(_))));
}
