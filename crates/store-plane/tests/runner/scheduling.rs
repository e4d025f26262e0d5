//! The order in which items start, and the number of items that run concurrently.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::harness::{
    advance, job_with_items, FakeExecutor, FakeLog, RunnerHarness, AMPLE_TIME, RUN_DURATION,
};

#[tokio::test(start_paused = true)]
async fn given_few_slots_when_a_job_runs_then_at_most_that_many_items_run_concurrently() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(3));

    let log = harness.submit("job", job_with_items("a", 9));
    advance(RUN_DURATION / 2).await;

    assert_eq!(harness.executor.runs().len(), 3);
    advance(RUN_DURATION * 3).await;
    assert_eq!(log.results().len(), 9);
}

#[tokio::test(start_paused = true)]
async fn given_a_large_fleet_when_one_store_owns_all_jobs_then_all_slots_are_used() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(228));
    harness.submit("a", job_with_items("a", 200));
    harness.submit("b", job_with_items("b", 200));
    advance(RUN_DURATION / 2).await;
    assert_eq!(harness.executor.runs().len(), 228);
}

#[tokio::test(start_paused = true)]
async fn given_no_capacity_when_other_stores_free_some_then_items_start_without_an_event_of_this_runner() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(0));

    let log = harness.submit("job", job_with_items("a", 2));
    advance(RUN_DURATION).await;
    harness.executor.slots.store(8, Ordering::SeqCst);
    advance(RUN_DURATION * 2).await;

    assert_eq!(log.results().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn given_two_jobs_when_slots_are_few_then_the_one_with_the_earlier_due_time_runs_first() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));

    harness.submit("young", job_with_items("young", 2));
    harness.acquire("old", job_with_items("old", 2), Duration::from_secs(3), Vec::new(), FakeLog::new());
    advance(AMPLE_TIME).await;

    assert_eq!(harness.executor.run_ids(), vec!["old-0", "old-1", "young-0", "young-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_a_job_past_its_due_time_when_another_is_in_time_then_the_other_runs_first() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));

    harness.acquire("late", job_with_items("late", 2), Duration::from_secs(9), Vec::new(), FakeLog::new());
    harness.submit("fresh", job_with_items("fresh", 2));
    advance(AMPLE_TIME).await;

    assert_eq!(harness.executor.run_ids(), vec!["fresh-0", "fresh-1", "late-0", "late-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_a_job_whose_items_cannot_finish_in_time_when_another_job_can_then_the_other_runs_first() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));
    harness.submit("first", job_with_items("first", 2));
    advance(RUN_DURATION * 2).await;

    let almost_due = Duration::from_millis(7_900);
    harness.acquire("hopeless", job_with_items("hopeless", 2), almost_due, Vec::new(), FakeLog::new());
    harness.submit("fresh", job_with_items("fresh", 2));
    advance(AMPLE_TIME).await;

    assert_eq!(harness.executor.run_ids()[2..], ["fresh-0", "fresh-1", "hopeless-0", "hopeless-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_the_required_groups_are_running_when_little_capacity_is_free_then_surplus_items_wait() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(3));
    let mut job_requiring_one_group = job_with_items("a", 6);
    job_requiring_one_group.required_groups = Some(1);

    harness.submit("job", job_requiring_one_group);
    advance(RUN_DURATION / 2).await;

    assert_eq!(harness.executor.run_ids(), vec!["a-0", "a-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_the_required_groups_are_running_when_half_of_the_slots_are_taken_then_surplus_items_wait() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(20));
    let mut job_requiring_one_group = job_with_items("a", 40);
    job_requiring_one_group.required_groups = Some(1);
    harness.submit("job", job_requiring_one_group);
    advance(RUN_DURATION / 2).await;
    assert_eq!(harness.executor.runs().len(), 10);
}
