//! Items and reward calls that fail, are rejected, are interrupted or expire.

use std::time::Duration;

use batch::ItemCondition;
use store_plane::runner::ports::{ItemOutcome, RewardOutcome, RouteRules};
use yare::parameterized;

use crate::harness::{
    advance, complete_outcome, graded_outcome, job_with_items, progress, rules, with_paused_time,
    FakeExecutor, FakeLog, RunnerHarness, AMPLE_TIME, RUN_DURATION,
};

#[tokio::test(start_paused = true)]
async fn given_an_unprocessable_item_when_run_then_it_is_undeliverable_after_one_run() {
    let harness = RunnerHarness::start(FakeExecutor::new(|_, _| ItemOutcome::Unprocessable, graded_outcome));

    let log = harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Undeliverable));
    assert_eq!(harness.executor.runs().len(), 1);
    assert!(harness.executor.rewards().is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_runs_that_fail_with_500_when_max_attempts_is_reached_then_the_item_is_undeliverable() {
    let harness = RunnerHarness::start(FakeExecutor::new(|_, _| ItemOutcome::Failed, graded_outcome));

    let log = harness.submit("job", job_with_items("a", 1));
    advance(RUN_DURATION * 2 + RUN_DURATION / 2).await;
    assert!(log.results().is_empty());
    advance(AMPLE_TIME).await;

    assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Undeliverable));
    assert_eq!(harness.executor.runs().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn given_reward_calls_that_fail_with_500_when_max_attempts_is_reached_then_the_item_is_undeliverable() {
    let harness = RunnerHarness::start(FakeExecutor::new(
        |_, _| complete_outcome(),
        |_| RewardOutcome::Failed { internal_errors: 1 },
    ));

    let log = harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Undeliverable));
    assert_eq!(harness.executor.rewards().len(), 3);
    assert_eq!(harness.executor.runs().len(), 1);
}

#[parameterized(retryable = { RewardOutcome::Retryable }, no_route = { RewardOutcome::NoRoute })]
fn given_reward_calls_without_a_grade_when_run_then_they_are_repeated_with_pauses_until_graded(
    outcome: RewardOutcome,
) {
    with_paused_time(async move {
        let script = move |nth: usize| if nth < 6 { outcome.clone() } else { graded_outcome(nth) };
        let harness = RunnerHarness::start(FakeExecutor::new(|_, _| complete_outcome(), script));

        let log = harness.submit("job", job_with_items("a", 1));
        advance(AMPLE_TIME).await;

        assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Delivered));
        let calls: Vec<Duration> = harness.executor.rewards().into_iter().map(|(_, at)| at).collect();
        assert_eq!(calls.len(), 7);
        assert!(calls.windows(2).all(|pair| pair[0] < pair[1]));
    });
}

#[tokio::test(start_paused = true)]
async fn given_an_interrupted_run_when_run_again_then_it_continues_after_its_last_event() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        _ => complete_outcome(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded_outcome));

    let log = harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    let runs = harness.executor.runs();
    assert_eq!(runs.len(), 2);
    assert_eq!(runs[1].progress, progress(&["a"], &[7]));
    assert_eq!(log.results().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn given_an_interrupted_run_when_no_server_can_continue_it_then_the_next_run_starts_over() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        _ => complete_outcome(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded_outcome));
    *harness.executor.can_continue.lock().unwrap() = false;

    harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    assert_eq!(harness.executor.runs()[1].progress, progress(&[], &[]));
}

#[tokio::test(start_paused = true)]
async fn given_an_interrupted_run_when_rejected_often_then_the_next_run_starts_over() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        1..=4 => ItemOutcome::NotExecuted { retry_after: Duration::from_millis(10) },
        _ => complete_outcome(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded_outcome));

    let log = harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    assert_eq!(harness.executor.runs().last().unwrap().progress, progress(&[], &[]));
    assert_eq!(log.results().len(), 1);
}

#[parameterized(
    two_versions_complete = { true, true, &[7, 8] },
    too_old_complete = { false, true, &[5, 7] },
    no_version_complete = { false, true, &[] },
    two_versions_interrupted = { true, false, &[7, 8] },
    too_old_interrupted = { false, false, &[5] },
)]
fn given_events_of_disallowed_versions_when_run_again_then_the_run_starts_over_and_none_is_recorded(
    single_version: bool,
    is_complete: bool,
    versions: &'static [u64],
) {
    with_paused_time(async move {
        let script = move |_: &_, nth| {
            let disallowed = progress(&["wrong"], versions);
            match (nth, is_complete) {
                (0, true) => ItemOutcome::Complete(disallowed),
                (0, false) => ItemOutcome::Interrupted(disallowed),
                _ => complete_outcome(),
            }
        };
        let executor =
            FakeExecutor::new(script, graded_outcome).with_rules(RouteRules { single_version, ..rules() });
        let harness = RunnerHarness::start(executor);

        let log = harness.submit("job", job_with_items("a", 1));
        advance(AMPLE_TIME).await;

        assert_eq!(harness.executor.runs()[1].progress, progress(&[], &[]));
        let results = log.results();
        assert_eq!(results.len(), 1);
        assert_eq!((results[0].text.as_str(), &results[0].versions), ("a\nb", &vec![7]));
    });
}

#[parameterized(
    requested_pause = { 300, 300, 400 },
    requested_pause_above_the_maximum = { 3_000, 500, 600 },
    no_requested_pause = { 0, 30, 130 },
)]
fn given_a_rejection_when_run_again_then_the_requested_pause_is_kept_within_bounds(
    retry_after_ms: u64,
    min_ms: u64,
    max_ms: u64,
) {
    with_paused_time(async move {
        let script = move |_: &_, nth| match nth {
            0 => ItemOutcome::NotExecuted { retry_after: Duration::from_millis(retry_after_ms) },
            _ => complete_outcome(),
        };
        let harness = RunnerHarness::start(FakeExecutor::new(script, graded_outcome));

        harness.submit("job", job_with_items("a", 1));
        advance(AMPLE_TIME).await;

        let runs = harness.executor.runs();
        assert_eq!(runs.len(), 2);
        let pause = runs[1].at - runs[0].at - RUN_DURATION;
        assert!((min_ms..max_ms).contains(&(pause.as_millis() as u64)), "the pause is {pause:?}");
    });
}

#[tokio::test(start_paused = true)]
async fn given_constant_rejections_when_time_passes_then_runs_are_frequent_but_bounded() {
    let script = |_: &_, _| ItemOutcome::NotExecuted { retry_after: Duration::ZERO };
    let harness =
        RunnerHarness::start(FakeExecutor::new(script, graded_outcome).with_run_time(Duration::ZERO));

    harness.submit("job", job_with_items("a", 1));
    advance(Duration::from_secs(10)).await;

    let runs = harness.executor.runs().len();
    assert!((60..120).contains(&runs), "{runs} runs were started");
}

#[tokio::test(start_paused = true)]
async fn given_runs_that_are_always_interrupted_when_time_passes_then_the_backoff_limits_their_number() {
    let harness = RunnerHarness::start(FakeExecutor::new(
        |_, _| ItemOutcome::Interrupted(progress(&[], &[])),
        graded_outcome,
    ));

    harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    assert!(harness.executor.runs().len() <= 20, "{} runs were started", harness.executor.runs().len());
}

#[tokio::test(start_paused = true)]
async fn given_a_completed_run_when_the_next_starts_then_its_timeout_is_a_multiple_of_the_average() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());

    harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;
    harness.submit("next", job_with_items("b", 1));
    advance(AMPLE_TIME).await;

    let timeouts: Vec<Duration> = harness.executor.runs().iter().map(|run| run.timeout).collect();
    assert_eq!(timeouts, vec![Duration::from_millis(2500), RUN_DURATION * 3]);
}

#[tokio::test(start_paused = true)]
async fn given_runs_without_events_when_run_again_then_the_timeout_doubles_up_to_the_maximum() {
    let script = |_: &_, nth| match nth {
        0..=3 => ItemOutcome::Interrupted(progress(&[], &[])),
        _ => complete_outcome(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded_outcome));

    harness.submit("job", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    let timeouts: Vec<u128> = harness.executor.runs().iter().map(|run| run.timeout.as_millis()).collect();
    assert_eq!(timeouts, vec![2_500, 5_000, 10_000, 10_000, 10_000]);
}

#[tokio::test(start_paused = true)]
async fn given_items_without_results_when_the_shelf_life_has_passed_then_they_are_given_up_and_no_longer_run()
{
    let executor = FakeExecutor::new(
        |_, _| ItemOutcome::NotExecuted { retry_after: Duration::from_millis(10) },
        graded_outcome,
    );
    let harness = RunnerHarness::start(executor);

    let log =
        harness.acquire("job", job_with_items("a", 2), Duration::from_secs(50), Vec::new(), FakeLog::new());
    advance(Duration::from_secs(10)).await;
    assert!(log.results().is_empty());
    advance(Duration::from_secs(2)).await;

    assert_eq!(log.results().len(), 2);
    assert!(log.results().iter().all(|result| result.condition == ItemCondition::Undeliverable));
    let runs = harness.executor.runs().len();
    advance(AMPLE_TIME).await;
    assert_eq!(harness.executor.runs().len(), runs);
}

#[tokio::test(start_paused = true)]
async fn given_items_that_cannot_be_read_at_first_when_run_then_no_attempt_is_counted_and_they_are_delivered()
{
    let rules = RouteRules { max_attempts: 1, ..rules() };
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_rules(rules));

    let log = FakeLog::new().with_failing_loads(3);
    let log = harness.acquire("job", job_with_items("a", 1), Duration::ZERO, Vec::new(), log);
    advance(AMPLE_TIME).await;

    assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Delivered));
    assert_eq!((harness.executor.runs().len(), harness.executor.rewards().len()), (1, 1));
}
