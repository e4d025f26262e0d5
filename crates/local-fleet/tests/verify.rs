//! Tests of the rules: results against the generated events, arrivals of requests, and orders of leaders.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use batch::{ItemCondition, ItemResult};
use local_fleet::verification::{
    check_result, EventData, ExpectedItem, ExpectedRequest, GenerationId, JobExpectations, OrderRecord,
    RecordedResponse, RequestArrival,
};
use local_fleet::{RequestLog, Rule};
use yare::parameterized;

const CANCELLATION_TIMEOUT: Duration = Duration::from_secs(3);
const HANDOVER_INTERVAL: Duration = Duration::from_secs(3);

fn request_log() -> RequestLog {
    RequestLog::new(CANCELLATION_TIMEOUT, HANDOVER_INTERVAL)
}

fn expectations(events: u64) -> JobExpectations {
    let item = ExpectedItem { events, reward: "w1".into() };
    let items = HashMap::from([("t1".to_owned(), item)]);
    JobExpectations { items, oldest_version: 2, single_version: true, may_be_undeliverable: false }
}

/// Records a generation of item `t1` that continues after event `after` up to event `last`, all by `version`;
/// returns its id and events.
fn generate(request_log: &RequestLog, after: u64, last: u64, version: u64) -> (GenerationId, Vec<EventData>) {
    let generation = request_log.start_generation("t1", after);
    let data = (after + 1..=last).map(|index| {
        request_log.record_event(generation, index, version);
        EventData { index, generation, version }
    });
    (generation, data.collect())
}

/// Records a reward call with this id and its response with `status`; returns the stamp of the response.
fn record_grade(request_log: &RequestLog, id: &str, status: u16) -> String {
    request_log.expect_request(
        id,
        ExpectedRequest { path: "/r".into(), body: "b".into(), services: vec!["tally".into()] },
    );
    let arrival =
        RequestArrival { id, path: "/r", body: b"b", service: "tally", server: "i-1", at: Instant::now() };
    let arrival_sequence = request_log.record_arrival(&arrival);
    let stamp = format!("stamp-{arrival_sequence}");
    request_log.record_response(
        &stamp,
        RecordedResponse { id: id.into(), status, body: "graded".into(), arrival_sequence },
    );
    stamp
}

fn result(text: &[EventData], versions: &[u64], grade: Option<String>) -> ItemResult {
    let text = text.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    ItemResult {
        id: "t1".into(),
        condition: ItemCondition::Delivered,
        text,
        versions: versions.to_vec(),
        grade,
    }
}

fn broken_rules(request_log: &RequestLog, expectations: &JobExpectations, result: &ItemResult) -> Vec<Rule> {
    check_result(request_log, expectations, result).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn given_a_complete_text_with_a_grade_when_checked_then_no_rule_is_broken() {
    let request_log = request_log();
    let (_, text) = generate(&request_log, 0, 3, 2);
    let stamp = record_grade(&request_log, "w1", 200);
    assert_eq!(broken_rules(&request_log, &expectations(3), &result(&text, &[2], Some(stamp))), []);
}

#[test]
fn given_a_text_of_two_joined_generations_when_checked_then_no_rule_is_broken() {
    let request_log = request_log();
    let (_, first) = generate(&request_log, 0, 2, 2);
    let (_, second) = generate(&request_log, 2, 4, 2);
    let stamp = record_grade(&request_log, "w1", 200);
    let text = [first, second].concat();
    assert_eq!(broken_rules(&request_log, &expectations(4), &result(&text, &[2], Some(stamp))), []);
}

#[test]
fn given_a_second_generation_that_does_not_continue_the_first_when_checked_then_the_event_order_is_violated()
{
    let request_log = request_log();
    let (_, first) = generate(&request_log, 0, 2, 2);
    let (_, second) = generate(&request_log, 0, 4, 2);
    let stamp = record_grade(&request_log, "w1", 200);
    let text = [&first[..], &second[2..]].concat();
    assert_eq!(
        broken_rules(&request_log, &expectations(4), &result(&text, &[2], Some(stamp))),
        [Rule::EventOrder]
    );
}

#[test]
fn given_a_short_text_when_checked_then_it_is_a_mismatch() {
    let request_log = request_log();
    let (_, text) = generate(&request_log, 0, 3, 2);
    let stamp = record_grade(&request_log, "w1", 200);
    assert_eq!(
        broken_rules(&request_log, &expectations(4), &result(&text, &[2], Some(stamp))),
        [Rule::Mismatch]
    );
}

#[test]
fn given_a_missing_event_when_checked_then_the_event_order_is_violated() {
    let request_log = request_log();
    let (_, mut text) = generate(&request_log, 0, 4, 2);
    text.remove(1);
    let stamp = record_grade(&request_log, "w1", 200);
    assert_eq!(
        broken_rules(&request_log, &expectations(3), &result(&text, &[2], Some(stamp))),
        [Rule::EventOrder]
    );
}

#[test]
fn given_a_text_that_no_engine_generated_when_checked_then_it_is_a_mismatch() {
    let request_log = request_log();
    let stamp = record_grade(&request_log, "w1", 200);
    let mut invented = result(&[], &[2], Some(stamp));
    invented.text = "an invented line".into();
    assert_eq!(broken_rules(&request_log, &expectations(1), &invented), [Rule::Mismatch]);
}

#[parameterized(
    unreported = { 2, &[] },
    wrongly_reported = { 2, &[3] },
    too_old = { 1, &[1] },
)]
fn given_unreported_wrong_or_outdated_versions_when_checked_then_the_version_rule_is_broken(
    actual: u64,
    reported: &[u64],
) {
    let request_log = request_log();
    let (_, text) = generate(&request_log, 0, 2, actual);
    let stamp = record_grade(&request_log, "w1", 200);
    assert_eq!(
        broken_rules(&request_log, &expectations(2), &result(&text, reported, Some(stamp))),
        [Rule::Version]
    );
}

#[parameterized(single_version = { true, &[Rule::Version] }, several_versions = { false, &[] })]
fn given_a_text_of_two_versions_when_checked_then_it_is_a_violation_only_if_a_single_version_is_required(
    single_version: bool,
    expected: &[Rule],
) {
    let request_log = request_log();
    let (_, first) = generate(&request_log, 0, 2, 2);
    let (_, second) = generate(&request_log, 2, 4, 3);
    let stamp = record_grade(&request_log, "w1", 200);
    let expectations = JobExpectations { single_version, ..expectations(4) };
    let text = [first, second].concat();
    assert_eq!(broken_rules(&request_log, &expectations, &result(&text, &[2, 3], Some(stamp))), expected);
}

#[parameterized(failed_call = { "w1", 500 }, call_of_another_item = { "w2", 200 })]
fn given_a_grade_of_a_failed_or_foreign_reward_call_when_checked_then_it_is_a_mismatch(
    id: &str,
    status: u16,
) {
    let request_log = request_log();
    let (_, text) = generate(&request_log, 0, 2, 2);
    let stamp = record_grade(&request_log, id, status);
    assert_eq!(
        broken_rules(&request_log, &expectations(2), &result(&text, &[2], Some(stamp))),
        [Rule::Mismatch]
    );
}

#[test]
fn given_a_result_without_a_grade_when_checked_then_it_is_a_mismatch() {
    let request_log = request_log();
    let (_, text) = generate(&request_log, 0, 2, 2);
    assert_eq!(broken_rules(&request_log, &expectations(2), &result(&text, &[2], None)), [Rule::Mismatch]);
}

#[test]
fn given_a_reward_call_before_the_last_event_when_checked_then_it_is_a_mismatch() {
    let request_log = request_log();
    let stamp = record_grade(&request_log, "w1", 200);
    let (_, text) = generate(&request_log, 0, 2, 2);
    assert_eq!(
        broken_rules(&request_log, &expectations(2), &result(&text, &[2], Some(stamp))),
        [Rule::Mismatch]
    );
}

#[parameterized(running_job = { false, &[Rule::Mismatch] }, ended_job = { true, &[] })]
fn given_an_undeliverable_item_when_checked_then_it_is_a_mismatch_unless_its_batch_job_was_ended(
    may_be_undeliverable: bool,
    expected: &[Rule],
) {
    let undeliverable = ItemResult { condition: ItemCondition::Undeliverable, ..result(&[], &[], None) };
    let expectations = JobExpectations { may_be_undeliverable, ..expectations(2) };
    assert_eq!(broken_rules(&request_log(), &expectations, &undeliverable), expected);
}

#[parameterized(
    unchanged = { "/a", "tally", 0, None },
    another_path = { "/b", "tally", 0, Some(Rule::UnexpectedRequest) },
    another_service = { "/a", "llm", 0, Some(Rule::Route) },
    at_the_end_of_the_timeout = { "/a", "tally", 3, None },
    after_the_timeout = { "/a", "tally", 4, Some(Rule::UnexpectedRequest) },
)]
fn given_an_ended_request_when_it_arrives_at_a_server_then_path_service_and_time_are_checked(
    path: &str,
    service: &str,
    seconds: u64,
    expected: Option<Rule>,
) {
    let (request_log, start) = (request_log(), Instant::now());
    request_log.expect_request(
        "q1",
        ExpectedRequest { path: "/a".into(), body: "b".into(), services: vec!["tally".into()] },
    );
    request_log.record_end(["q1"].into_iter(), start);
    let at = start + Duration::from_secs(seconds);
    request_log.record_arrival(&RequestArrival { id: "q1", path, body: b"b", service, server: "i-1", at });
    assert_eq!(request_log.violations().first().map(|violation| violation.rule), expected);
}

#[parameterized(
    same_holder = { "a", 1, 0, None },
    next_holder_after_the_handover_interval = { "b", 2, 3, None },
    next_holder_within_the_handover_interval = { "b", 2, 2, Some(Rule::SingleLeader) },
    shared_fencing_token = { "b", 1, 3, Some(Rule::SingleLeader) },
    lower_fencing_token = { "a", 0, 0, Some(Rule::SingleLeader) },
)]
fn given_an_order_when_another_follows_then_fencing_token_and_handover_interval_are_checked(
    holder: &str,
    fence: u64,
    seconds: u64,
    expected: Option<Rule>,
) {
    let (request_log, start) = (request_log(), Instant::now());
    let order =
        |holder: &str, fence, at| OrderRecord { server: "i-1".into(), holder: holder.into(), fence, at };
    request_log.record_order(order("a", 1, start));
    request_log.record_order(order(holder, fence, start + Duration::from_secs(seconds)));
    assert_eq!(request_log.violations().first().map(|violation| violation.rule), expected);
}
