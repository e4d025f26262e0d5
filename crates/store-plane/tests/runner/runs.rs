//! Runs of batch jobs in simulated time, against an executor and a log in memory.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::harness::{
    advance, complete, item, job, job_of, progress, terms, with_paused_time, FakeExecutor, FakeLog,
    RunnerHarness, RUN,
};
use batch::ItemCondition;
use store_plane::runner::ports::{ItemOutcome, JobState, RewardOutcome, RouteTerms};
use yare::parameterized;

const LONG: Duration = Duration::from_secs(30);

fn graded(_nth: usize) -> RewardOutcome {
    RewardOutcome::Graded("stamp".to_string())
}

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
async fn given_wanted_groups_started_when_little_capacity_is_left_then_items_of_others_wait() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(3));
    let mut wanted_one = job_of("a", 6);
    wanted_one.required_groups = Some(1);

    harness.submit("job", wanted_one);
    advance(RUN / 2).await;

    assert_eq!(harness.executor.run_ids(), vec!["a-0", "a-1"]);
}

#[tokio::test(start_paused = true)]
async fn given_wanted_groups_started_when_half_of_the_slots_are_taken_then_items_of_others_wait() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(20));
    let mut wanted_one = job_of("a", 40);
    wanted_one.required_groups = Some(1);
    harness.submit("job", wanted_one);
    advance(RUN / 2).await;
    assert_eq!(harness.executor.runs().len(), 10);
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
    two_versions_whole = { true, true, &[7, 8] },
    too_old_whole = { false, true, &[5, 7] },
    no_version_whole = { false, true, &[] },
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

#[parameterized(ended = { JobState::Ended }, ownership_lost = { JobState::OwnershipLost })]
fn given_a_running_job_when_it_is_no_longer_open_then_runs_stop_and_nothing_is_recorded(state: JobState) {
    with_paused_time(async move {
        let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(2));
        let log = harness.submit("job", job_of("a", 6));
        advance(RUN / 2).await;

        log.state.send_replace(state);
        advance(Duration::from_millis(1)).await;

        assert_eq!(harness.executor.busy.load(Ordering::SeqCst), 0);
        advance(LONG).await;
        assert_eq!(harness.executor.runs().len(), 2);
        assert!(log.results().is_empty());
    });
}

#[tokio::test(start_paused = true)]
async fn given_a_job_that_is_not_open_when_acquired_then_nothing_runs() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let log = FakeLog::new();
    log.state.send_replace(JobState::Ended);

    harness.acquire("job", job_of("a", 2), Duration::ZERO, Vec::new(), log);
    advance(LONG).await;

    assert!(harness.executor.runs().is_empty());
}

#[tokio::test(start_paused = true)]
async fn given_an_append_that_finds_another_owner_when_it_ends_then_everything_stops() {
    let harness = RunnerHarness::start(FakeExecutor::reliable().with_slots(1));

    harness.acquire("job", job_of("a", 5), Duration::ZERO, Vec::new(), FakeLog::new().with_other_owner());
    advance(LONG).await;

    assert!(harness.executor.runs().len() <= 2, "{:?}", harness.executor.runs());
}

#[tokio::test(start_paused = true)]
async fn given_a_job_that_comes_again_when_acquired_then_its_earlier_runs_stop() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let before = harness.submit("job", job_of("a", 2));
    advance(RUN / 2).await;

    let after = harness.submit("job", job_of("a", 2));
    advance(LONG).await;

    assert!(before.results().is_empty());
    assert_eq!(after.results().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn given_slow_commits_when_results_come_meanwhile_then_they_are_appended_together() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let log = FakeLog::new().with_commit_time(Duration::from_millis(100));

    harness.acquire("job", job_of("a", 8), Duration::ZERO, Vec::new(), log.clone());
    advance(LONG).await;

    assert_eq!(log.results().len(), 8);
    assert!(log.appends() <= 2, "{} appends", log.appends());
}

#[tokio::test(start_paused = true)]
async fn given_no_route_when_time_passes_then_nothing_runs_or_is_given_up_until_there_is_one() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    *harness.executor.terms.lock().unwrap() = None;

    let log = harness.submit("job", job_of("a", 2));
    advance(LONG).await;
    assert!(harness.executor.runs().is_empty());
    assert!(log.results().is_empty());
    *harness.executor.terms.lock().unwrap() = Some(terms());
    advance(RUN * 2).await;

    assert_eq!(log.results().len(), 2);
}
