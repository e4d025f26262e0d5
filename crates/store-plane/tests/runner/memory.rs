//! The memory of requests in flight and of results that are not committed yet.

use std::time::Duration;

use batch::{Item, Job};
use store_plane::runner::ports::ItemOutcome;

use crate::harness::{
    advance, graded_outcome, item, job, progress, FakeExecutor, FakeLog, RunnerHarness, AMPLE_TIME,
    RUN_DURATION,
};

/// Length of the base64 of the request body of a large item.
const LARGE_BODY: usize = 40_000;
/// Memory for two large items, but not for three.
const MEMORY_FOR_TWO: usize = 100_000;

fn job_with_large_items(name: &str, items: usize) -> Job {
    let item = |n: usize| Item { body: "A".repeat(LARGE_BODY), ..item(&format!("{name}-{n}"), "group") };
    job((0..items).map(item).collect())
}

/// Guards against an owner whose open batch jobs take more than its memory (docs/incidents/store-memory.md).
#[tokio::test(start_paused = true)]
async fn given_large_requests_when_run_then_no_more_are_in_flight_than_the_memory_allows() {
    let harness = RunnerHarness::start_with_memory(FakeExecutor::reliable(), MEMORY_FOR_TWO);

    let logs =
        [0, 1, 2].map(|n| harness.submit(&format!("job{n}"), job_with_large_items(&format!("{n}"), 2)));
    advance(RUN_DURATION / 2).await;

    assert_eq!(harness.executor.runs().len(), 2);
    advance(AMPLE_TIME).await;
    assert!(logs.iter().all(|log| log.results().len() == 2));
}

#[tokio::test(start_paused = true)]
async fn given_a_request_larger_than_the_memory_when_run_then_it_runs_by_itself() {
    let harness = RunnerHarness::start_with_memory(FakeExecutor::reliable(), LARGE_BODY / 2);

    let log = harness.submit("job", job_with_large_items("a", 2));
    advance(RUN_DURATION / 2).await;

    assert_eq!(harness.executor.runs().len(), 1);
    advance(AMPLE_TIME).await;
    assert_eq!(log.results().len(), 2);
}

/// Guards against results that fill the memory of an owner while they cannot become durable.
#[tokio::test(start_paused = true)]
async fn given_results_that_are_not_committed_when_they_fill_the_memory_then_no_item_is_started() {
    let text = "x".repeat(LARGE_BODY);
    let complete = move |_: &_, _| {
        let output = progress(&[text.as_str()], &[7]);
        ItemOutcome::Complete(output)
    };
    let executor = FakeExecutor::new(complete, graded_outcome).with_slots(1);
    let harness = RunnerHarness::start_with_memory(executor, MEMORY_FOR_TWO);

    let log = FakeLog::new().with_commit_time(AMPLE_TIME);
    let items = (0..8).map(|n| item(&format!("a-{n}"), "group")).collect();
    harness.acquire("job", job(items), Duration::ZERO, Vec::new(), log);
    advance(AMPLE_TIME - RUN_DURATION).await;

    assert_eq!(harness.executor.runs().len(), 3);
}
