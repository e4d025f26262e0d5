//! Parsing and validation of submitted batch jobs.

use batch::{ItemChanged, JobError, JobOutline};
use yare::parameterized;

const VALID_JOB: &str = r#"{"step":7,"model":"m","oldestEdition":6,"wanted":1,"parcels":[{"id":"a","lane":"/x/1",
    "envelope":{"Model":"m"},"payload":"q83vEjRWeJA=","tokens":940,"bundle":"g1",
    "scorer":{"id":"r","depot":"h.example","lane":"/y/2","payload":"3q2+7w=="}}, {"id":"b","lane":"/x/2","bundle":"g1"}]}"#;

#[test]
fn given_a_valid_job_when_parsed_then_its_bodies_are_decoded() {
    let job = JobOutline::parse(VALID_JOB.as_bytes()).expect("the job is valid");

    let json = &VALID_JOB.as_bytes()[job.items[0].json.clone()];
    let item = job.items[0].parse(json).expect("the JSON is that of the item");
    assert_eq!(item.decoded_body(), [0xab, 0xcd, 0xef, 0x12, 0x34, 0x56, 0x78, 0x90]);
    let reward = item.reward.as_ref().expect("the item has a reward request");
    assert_eq!(reward.decoded_body(), [0xde, 0xad, 0xbe, 0xef]);
}

#[test]
fn given_a_valid_job_when_parsed_then_its_outline_has_what_the_schedule_needs() {
    let job = JobOutline::parse(VALID_JOB.as_bytes()).expect("the job is valid");

    let head = (job.model.as_deref(), job.oldest_version, job.required_groups);
    assert_eq!(head, (Some("m"), Some(6), Some(1)));
    let items: Vec<_> =
        job.items.iter().map(|item| (&*item.id, item.tokens, item.group.as_deref())).collect();
    assert_eq!(items, [("a", 940, Some("g1")), ("b", 0, Some("g1"))]);
    let have_rewards: Vec<bool> = job.items.iter().map(|item| item.has_reward).collect();
    assert_eq!(have_rewards, [true, false]);
}

#[test]
fn given_escaped_characters_when_an_item_is_parsed_then_its_body_is_decoded() {
    let submission = r#"{"parcels":[{"id":"\u0061","lane":"\/x","payload":"3q2\/7w=="}]}"#;
    let job = JobOutline::parse(submission.as_bytes()).expect("the job is valid");

    let item = job.items[0].parse(&submission.as_bytes()[job.items[0].json.clone()]).expect("it is the item");

    assert_eq!((&*job.items[0].id, &*item.path, item.body.as_str()), ("a", "/x", "3q2/7w=="));
}

#[test]
fn given_the_json_of_another_item_when_an_item_is_parsed_then_it_fails() {
    let job = JobOutline::parse(VALID_JOB.as_bytes()).expect("the job is valid");

    let other = &VALID_JOB.as_bytes()[job.items[1].json.clone()];

    assert_eq!(job.items[0].parse(other), Err(ItemChanged));
}

#[test]
fn given_only_the_required_fields_when_parsed_then_the_optional_ones_are_absent() {
    let job = JobOutline::parse(br#"{"parcels":[{"id":"a","lane":"/x/1"}]}"#).expect("the job is valid");

    assert_eq!((job.model, job.required_groups, job.oldest_version), (None, None, None));
    assert_eq!((job.items[0].group.as_ref(), job.items[0].has_reward), (None, false));
}

#[parameterized(
    no_items = { r#"{"parcels":[]}"#, JobError::NoItems },
    duplicate_item = { r#"{"parcels":[{"id":"a","lane":"/"},{"id":"a","lane":"/"}]}"#, JobError::DuplicateItem("a".into()) },
    invalid_body = { r#"{"parcels":[{"id":"a","lane":"/","payload":"?"}]}"#, JobError::InvalidBody("a".into()) },
    invalid_reward_body = { r#"{"parcels":[{"id":"a","lane":"/","scorer":{"id":"r","depot":"h","lane":"/","payload":"?"}}]}"#,
        JobError::InvalidBody("a".into()) },
)]
fn given_an_invalid_job_when_parsed_then_the_error_names_the_cause(body: &str, error: JobError) {
    assert_eq!(JobOutline::parse(body.as_bytes()), Err(error));
}

#[parameterized(
    truncated = { "{\"parcels\":[" },
    array = { "[]" },
    empty = { "" },
    step_of_another_type = { r#"{"step":"7","parcels":[{"id":"a","lane":"/"}]}"# },
    item_without_an_id = { r#"{"parcels":[{"lane":"/"}]}"# },
    item_with_a_body_of_another_type = { r#"{"parcels":[{"id":"a","lane":"/","payload":7}]}"# },
)]
fn given_bytes_that_are_not_a_job_when_parsed_then_the_error_is_malformed(body: &str) {
    assert!(matches!(JobOutline::parse(body.as_bytes()), Err(JobError::Malformed(_))));
}
