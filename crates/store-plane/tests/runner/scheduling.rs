//! The order in which items start, and how many run at the same time.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::harness::{advance, job_of, FakeExecutor, FakeLog, RunnerHarness, LONG, RUN};

#[tokio::test(start_paused = true)]
async fn given_few_slots_when_a_job_runs_then_no_more_items_stream_at_once() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(3));

    let log = harness.submit("job", job_of("a", 9));
    advance(RUN / 2).await;

    assert_eq!(harness.executor.runs().len(), 3);
    advance(RUN * 3).await;
    assert_eq!(log.results().len(), 9);
}

#[tokio::test(start_paused = true)]
async fn given_a_large_fleet_when_one_store_owns_all_jobs_then_all_slots_are_used() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(228));
    harness.submit("a", job_of("a", 200));
    harness.submit("b", job_of("b", 200));
    advance(RUN / 2).await;
    assert_eq!(harness.executor.runs().len(), 228);
}

#[tokio::test(start_paused = true)]
async fn given_no_capacity_when_other_stores_free_it_then_items_start_without_an_own_event() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(0));

    let log = harness.submit("job", job_of("a", 2));
    advance(RUN).await;
    harness.executor.slots.store(8, Ordering::SeqCst);
    advance(RUN * 2).await;

    assert_eq!(log.results().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn given_two_jobs_when_slots_are_few_then_the_earlier_due_goes_first() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));

    harness.submit("young", job_of("young", 2));
    harness.acquire("old", job_of("old", 2), Duration::from_secs(3), Vec::new(), FakeLog::new());
    advance(LONG).await;

    assert_eq!(harness.executor.run_ids(), vec!["old-0", "old-1", "young-0", "young-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_a_job_past_its_due_when_another_is_in_time_then_it_yields() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));

    harness.acquire("late", job_of("late", 2), Duration::from_secs(9), Vec::new(), FakeLog::new());
    harness.submit("fresh", job_of("fresh", 2));
    advance(LONG).await;

    assert_eq!(harness.executor.run_ids(), vec!["fresh-0", "fresh-1", "late-0", "late-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_a_job_whose_items_cannot_end_in_time_when_another_can_then_it_yields() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));
    harness.submit("first", job_of("first", 2));
    advance(RUN * 2).await;

    let almost_due = Duration::from_millis(7_900);
    harness.acquire("hopeless", job_of("hopeless", 2), almost_due, Vec::new(), FakeLog::new());
    harness.submit("fresh", job_of("fresh", 2));
    advance(LONG).await;

    assert_eq!(harness.executor.run_ids()[2..], ["fresh-0", "fresh-1", "hopeless-0", "hopeless-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_required_groups_started_when_little_capacity_is_left_then_items_of_others_wait() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(3));
    let mut job_requiring_one_group = job_of("a", 6);
    job_requiring_one_group.required_groups = Some(1);

    harness.submit("job", job_requiring_one_group);
    advance(RUN / 2).await;

    assert_eq!(harness.executor.run_ids(), vec!["a-0", "a-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_required_groups_started_when_half_of_the_slots_are_taken_then_items_of_others_wait() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(20));
    let mut job_requiring_one_group = job_of("a", 40);
    job_requiring_one_group.required_groups = Some(1);
    harness.submit("job", job_requiring_one_group);
    advance(RUN / 2).await;
    assert_eq!(harness.executor.runs().len(), 10);
}
