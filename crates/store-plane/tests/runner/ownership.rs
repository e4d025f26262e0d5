//! Batch jobs that are acquired, ended or taken over by another owner, and the appends to their logs.

use std::sync::atomic::Ordering;
use std::time::Duration;

use store_plane::runner::ports::JobState;
use yare::parameterized;

use crate::harness::{
    advance, job_with_items, rules, with_paused_time, FakeExecutor, FakeLog, RunnerHarness, AMPLE_TIME,
    RUN_DURATION,
};

#[parameterized(ended = { JobState::Ended }, ownership_lost = { JobState::OwnershipLost })]
fn given_a_running_job_when_it_is_no_longer_open_then_runs_stop_and_nothing_is_recorded(state: JobState) {
    with_paused_time(async move {
        let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));
        let log = harness.submit("job", job_with_items("a", 6));
        advance(RUN_DURATION / 2).await;

        log.state.send_replace(state);
        advance(Duration::from_millis(1)).await;

        assert_eq!(harness.executor.busy.load(Ordering::SeqCst), 0);
        advance(AMPLE_TIME).await;
        assert_eq!(harness.executor.runs().len(), 2);
        assert!(log.results().is_empty());
    });
}

#[tokio::test(start_paused = true)]
async fn given_a_job_that_is_not_open_when_acquired_then_no_item_runs() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let log = FakeLog::new();
    log.state.send_replace(JobState::Ended);

    harness.acquire("job", job_with_items("a", 2), Duration::ZERO, Vec::new(), log);
    advance(AMPLE_TIME).await;

    assert!(harness.executor.runs().is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_a_lost_ownership_when_an_append_fails_then_the_remaining_items_do_not_run() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(1));

    harness.acquire(
        "job",
        job_with_items("a", 5),
        Duration::ZERO,
        Vec::new(),
        FakeLog::new().with_superseded_ownership(),
    );
    advance(AMPLE_TIME).await;

    assert!(harness.executor.runs().len() <= 2, "runs: {:?}", harness.executor.runs());
}

#[tokio::test(start_paused = true)]
async fn given_a_running_job_when_acquired_again_then_its_earlier_runs_stop() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let before = harness.submit("job", job_with_items("a", 2));
    advance(RUN_DURATION / 2).await;

    let after = harness.submit("job", job_with_items("a", 2));
    advance(AMPLE_TIME).await;

    assert!(before.results().is_empty());
    assert_eq!(after.results().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn given_a_slow_commit_when_further_results_arrive_then_they_are_appended_together() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let log = FakeLog::new().with_commit_time(Duration::from_millis(100));

    harness.acquire("job", job_with_items("a", 8), Duration::ZERO, Vec::new(), log.clone());
    advance(AMPLE_TIME).await;

    assert_eq!(log.results().len(), 8);
    assert!(log.appends() <= 2, "the results took {} appends", log.appends());
}

#[tokio::test(start_paused = true)]
async fn given_no_matching_route_when_time_passes_then_items_neither_run_nor_expire_until_a_route_matches() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    *harness.executor.rules.lock().unwrap() = None;

    let log = harness.submit("job", job_with_items("a", 2));
    advance(AMPLE_TIME).await;
    assert!(harness.executor.runs().is_empty());
    assert!(log.results().is_empty());
    *harness.executor.rules.lock().unwrap() = Some(rules());
    advance(RUN_DURATION * 2).await;

    assert_eq!(log.results().len(), 2);
}
