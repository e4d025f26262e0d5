//! Batch jobs whose runs and reward calls succeed.

use std::time::Duration;

use batch::ItemCondition;
use store_plane::runner::ports::ItemOutcome;

use crate::harness::{
    advance, graded_outcome, item, job, job_with_items, progress, FakeExecutor, FakeLog, RunnerHarness,
    AMPLE_TIME, RUN_DURATION,
};

#[tokio::test(start_paused = true)]
async fn given_a_job_without_faults_when_run_then_each_item_is_recorded_once_with_text_versions_and_grade() {
    let executor = FakeExecutor::new(
        |_, _| ItemOutcome::Complete(progress(&["one", "", "three"], &[9, 7])),
        graded_outcome,
    );
    let harness = RunnerHarness::start(executor);

    let log = harness.submit("job", job_with_items("a", 4));
    advance(AMPLE_TIME).await;

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
async fn given_an_item_with_a_reward_call_when_run_then_the_call_starts_after_the_run() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());

    harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    let ended = harness.executor.runs()[0].at + RUN_DURATION;
    assert!(harness.executor.rewards()[0].1 >= ended);
}

#[tokio::test(start_paused = true)]
async fn given_an_item_without_a_reward_call_when_complete_then_it_is_recorded_without_a_grade() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let mut plain = item("plain", "group");
    plain.reward = None;

    let log = harness.submit("job", job(vec![plain]));
    advance(AMPLE_TIME).await;

    assert_eq!(log.result("plain").map(|result| result.grade), Some(None));
}

#[tokio::test(start_paused = true)]
async fn given_results_of_earlier_owners_when_acquired_then_only_the_other_items_run() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let first = harness.submit("first", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    let fresh = RunnerHarness::start(FakeExecutor::reliable());
    let with_results = first.results().into_iter().map(|result| result.id).collect();
    let log = fresh.acquire("job", job_with_items("a", 3), Duration::ZERO, with_results, FakeLog::new());
    advance(AMPLE_TIME).await;

    assert_eq!(fresh.executor.run_ids(), vec!["a-1", "a-2"]);
    assert_eq!(log.results().len(), 2);
}
