//! Items and reward calls that fail, are rejected, are interrupted or expire.

use std::time::Duration;

use batch::ItemCondition;
use store_plane::runner::ports::{ItemOutcome, RewardOutcome, RouteTerms};
use yare::parameterized;

use crate::harness::{
    advance, complete, graded, job_of, progress, terms, with_paused_time, FakeExecutor, FakeLog,
    RunnerHarness, LONG, RUN,
};

#[tokio::test(start_paused = true)]
async fn given_an_impossible_item_when_run_then_undeliverable_at_once() {
    let harness = RunnerHarness::start(FakeExecutor::new(|_, _| ItemOutcome::Unprocessable, graded));

    let log = harness.submit("job", job_of("a", 1));
    advance(LONG).await;

    assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Undeliverable));
    assert_eq!(harness.executor.runs().len(), 1);
    assert!(harness.executor.rewards().is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_answers_of_500_when_as_many_as_max_attempts_then_undeliverable_and_not_before() {
    let harness = RunnerHarness::start(FakeExecutor::new(|_, _| ItemOutcome::Failed, graded));

    let log = harness.submit("job", job_of("a", 1));
    advance(RUN * 2 + RUN / 2).await;
    assert!(log.results().is_empty());
    advance(LONG).await;

    assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Undeliverable));
    assert_eq!(harness.executor.runs().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn given_failing_reward_calls_when_as_many_as_max_attempts_then_undeliverable_after_one_run() {
    let harness = RunnerHarness::start(FakeExecutor::new(
        |_, _| complete(),
        |_| RewardOutcome::Failed { internal_errors: 1 },
    ));

    let log = harness.submit("job", job_of("a", 1));
    advance(LONG).await;

    assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Undeliverable));
    assert_eq!(harness.executor.rewards().len(), 3);
    assert_eq!(harness.executor.runs().len(), 1);
}

#[parameterized(again = { RewardOutcome::Retryable }, no_route = { RewardOutcome::NoRoute })]
fn given_reward_calls_without_verdict_when_many_then_repeated_with_pauses_until_graded(end: RewardOutcome) {
    with_paused_time(async move {
        let script = move |nth: usize| if nth < 6 { end.clone() } else { graded(nth) };
        let harness = RunnerHarness::start(FakeExecutor::new(|_, _| complete(), script));

        let log = harness.submit("job", job_of("a", 1));
        advance(LONG).await;

        assert_eq!(log.result("a-0").map(|result| result.condition), Some(ItemCondition::Delivered));
        let calls: Vec<Duration> = harness.executor.rewards().into_iter().map(|(_, at)| at).collect();
        assert_eq!(calls.len(), 7);
        assert!(calls.windows(2).all(|pair| pair[0] < pair[1]));
    });
}

#[tokio::test(start_paused = true)]
async fn given_an_interrupted_stream_when_run_again_then_it_continues_from_its_last_event() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        _ => complete(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded));

    let log = harness.submit("job", job_of("a", 1));
    advance(LONG).await;

    let runs = harness.executor.runs();
    assert_eq!(runs.len(), 2);
    assert_eq!(runs[1].progress, progress(&["a"], &[7]));
    assert_eq!(log.results().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn given_no_server_with_the_version_when_run_again_then_restarted() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        _ => complete(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded));
    *harness.executor.can_continue.lock().unwrap() = false;

    harness.submit("job", job_of("a", 1));
    advance(LONG).await;

    assert_eq!(harness.executor.runs()[1].progress, progress(&[], &[]));
}

#[tokio::test(start_paused = true)]
async fn given_no_server_continues_an_output_when_rejected_often_then_restarted() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        1..=4 => ItemOutcome::NotRun { retry_after: Duration::from_millis(10) },
        _ => complete(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded));

    let log = harness.submit("job", job_of("a", 1));
    advance(LONG).await;

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
fn given_events_of_wrong_versions_when_run_again_then_from_the_start_and_none_of_them_is_recorded(
    single_version: bool,
    is_complete: bool,
    versions: &'static [u64],
) {
    with_paused_time(async move {
        let script = move |_: &_, nth| {
            let broken = progress(&["wrong"], versions);
            match (nth, is_complete) {
                (0, true) => ItemOutcome::Complete(broken),
                (0, false) => ItemOutcome::Interrupted(broken),
                _ => complete(),
            }
        };
        let executor = FakeExecutor::new(script, graded).with_terms(RouteTerms { single_version, ..terms() });
        let harness = RunnerHarness::start(executor);

        let log = harness.submit("job", job_of("a", 1));
        advance(LONG).await;

        assert_eq!(harness.executor.runs()[1].progress, progress(&[], &[]));
        let results = log.results();
        assert_eq!(results.len(), 1);
        assert_eq!((results[0].text.as_str(), &results[0].versions), ("a\nb", &vec![7]));
    });
}

#[parameterized(
    named = { 300, 300, 400 },
    named_very_long = { 3_000, 500, 600 },
    none_named = { 0, 30, 130 },
)]
fn given_a_rejection_when_run_again_then_at_the_time_that_it_names_but_for_no_long_pause(
    named: u64,
    least: u64,
    most: u64,
) {
    with_paused_time(async move {
        let script = move |_: &_, nth| match nth {
            0 => ItemOutcome::NotRun { retry_after: Duration::from_millis(named) },
            _ => complete(),
        };
        let harness = RunnerHarness::start(FakeExecutor::new(script, graded));

        harness.submit("job", job_of("a", 1));
        advance(LONG).await;

        let runs = harness.executor.runs();
        assert_eq!(runs.len(), 2);
        let pause = runs[1].at - runs[0].at - RUN;
        assert!((least..most).contains(&(pause.as_millis() as u64)), "{pause:?}");
    });
}

#[tokio::test(start_paused = true)]
async fn given_rejections_only_when_many_then_pauses_stay_short_but_no_hot_loop() {
    let script = |_: &_, _| ItemOutcome::NotRun { retry_after: Duration::ZERO };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded).with_run_time(Duration::ZERO));

    harness.submit("job", job_of("a", 1));
    advance(Duration::from_secs(10)).await;

    let runs = harness.executor.runs().len();
    assert!((60..120).contains(&runs), "{runs} runs");
}

#[tokio::test(start_paused = true)]
async fn given_servers_that_never_answer_well_when_time_passes_then_runs_stay_few() {
    let harness =
        RunnerHarness::start(FakeExecutor::new(|_, _| ItemOutcome::Interrupted(progress(&[], &[])), graded));

    harness.submit("job", job_of("a", 1));
    advance(LONG).await;

    assert!(harness.executor.runs().len() <= 20, "{} runs", harness.executor.runs().len());
}

#[tokio::test(start_paused = true)]
async fn given_average_runs_when_the_next_starts_then_it_may_take_a_few_times_as_long() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());

    harness.submit("job", job_of("a", 1));
    advance(LONG).await;
    harness.submit("next", job_of("b", 1));
    advance(LONG).await;

    let limits: Vec<Duration> = harness.executor.runs().iter().map(|run| run.limit).collect();
    assert_eq!(limits, vec![Duration::from_millis(2500), RUN * 3]);
}

#[tokio::test(start_paused = true)]
async fn given_runs_without_events_when_run_again_then_longer_up_to_a_bound() {
    let script = |_: &_, nth| match nth {
        0..=3 => ItemOutcome::Interrupted(progress(&[], &[])),
        _ => complete(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded));

    harness.submit("job", job_of("a", 1));
    advance(LONG).await;

    let limits: Vec<u128> = harness.executor.runs().iter().map(|run| run.limit.as_millis()).collect();
    assert_eq!(limits, vec![2_500, 5_000, 10_000, 10_000, 10_000]);
}

#[tokio::test(start_paused = true)]
async fn given_the_shelf_life_when_it_is_over_then_open_items_are_given_up_and_stop() {
    let executor =
        FakeExecutor::new(|_, _| ItemOutcome::NotRun { retry_after: Duration::from_millis(10) }, graded);
    let harness = RunnerHarness::start(executor);

    let log = harness.acquire("job", job_of("a", 2), Duration::from_secs(50), Vec::new(), FakeLog::new());
    advance(Duration::from_secs(10)).await;
    assert!(log.results().is_empty());
    advance(Duration::from_secs(2)).await;

    assert_eq!(log.results().len(), 2);
    assert!(log.results().iter().all(|result| result.condition == ItemCondition::Undeliverable));
    let runs = harness.executor.runs().len();
    advance(LONG).await;
    assert_eq!(harness.executor.runs().len(), runs);
}
