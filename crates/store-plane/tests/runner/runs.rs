//! Batch jobs whose items run without faults.

use std::time::Duration;

use batch::ItemCondition;
use store_plane::runner::ports::ItemOutcome;

use crate::harness::{
    advance, graded, item, job, job_of, progress, FakeExecutor, FakeLog, RunnerHarness, LONG, RUN,
};

#[tokio::test(start_paused = true)]
async fn given_a_job_when_all_goes_well_then_each_item_is_recorded_once_with_text_versions_and_grade() {
    let executor =
        FakeExecutor::new(|_, _| ItemOutcome::Complete(progress(&["one", "", "three"], &[9, 7])), graded);
    let harness = RunnerHarness::start(executor);

    let log = harness.submit("job", job_of("a", 4));
    advance(LONG).await;

    let results = log.results();
    assert_eq!(results.len(), 4);
    for result in &results {
        assert_eq!(result.condition, ItemCondition::Delivered);
        assert_eq!(result.text, "one\n\nthree");
        assert_eq!(result.versions, vec![7, 9]);
        assert_eq!(result.grade.as_deref(), Some("stamp"));
    }
    assert_eq!(harness.executor.run_ids(), vec!["a-0", "a-1", "a-2", "a-3"]);
    assert_eq!(harness.executor.rewards().len(), 4);
}

#[tokio::test(start_paused = true)]
async fn given_an_item_when_graded_then_the_reward_call_follows_its_last_event() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());

    harness.submit("job", job_of("a", 1));
    advance(LONG).await;

    let ended = harness.executor.runs()[0].at + RUN;
    assert!(harness.executor.rewards()[0].1 >= ended);
}

#[tokio::test(start_paused = true)]
async fn given_an_item_without_reward_when_complete_then_recorded_without_grade() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let mut plain = item("plain", "group");
    plain.reward = None;

    let log = harness.submit("job", job(vec![plain]));
    advance(LONG).await;

    assert_eq!(log.result("plain").map(|result| result.grade), Some(None));
}

#[tokio::test(start_paused = true)]
async fn given_results_of_earlier_owners_when_acquired_then_only_the_rest_runs() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let first = harness.submit("first", job_of("a", 1));
    advance(LONG).await;

    let fresh = RunnerHarness::start(FakeExecutor::reliable());
    let log = fresh.acquire("job", job_of("a", 3), Duration::ZERO, first.results(), FakeLog::new());
    advance(LONG).await;

    assert_eq!(fresh.executor.run_ids(), vec!["a-1", "a-2"]);
    assert_eq!(log.results().len(), 2);
}
