//! Items that come again in a later batch job.

use store_plane::runner::ports::{ItemOutcome, JobState};
use yare::parameterized;

use crate::harness::{
    advance, complete, graded, job_of, progress, with_paused_time, FakeExecutor, RunnerHarness, LONG, RUN,
};

#[tokio::test(start_paused = true)]
async fn given_items_recorded_before_when_they_come_again_then_cached_outputs_are_recorded_without_a_run() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let first = harness.submit("first", job_of("a", 2));
    advance(LONG).await;
    first.state.send_replace(JobState::Ended);

    let second = harness.submit("second", job_of("a", 3));
    advance(LONG).await;

    assert_eq!(harness.executor.run_ids(), vec!["a-0", "a-1", "a-2"]);
    assert_eq!(second.result("a-0"), first.result("a-0"));
    assert_eq!(second.results().len(), 3);
}

#[parameterized(
    newer_versions_required = { |job: &mut batch::Job| job.oldest_version = Some(8) },
    other_body = { |job: &mut batch::Job| job.items[0].body = "AAAA".to_string() },
    other_model = { |job: &mut batch::Job| job.model = Some("other".into()) },
)]
fn given_a_cached_output_when_it_does_not_fit_the_new_job_then_the_item_runs_again(
    change: fn(&mut batch::Job),
) {
    with_paused_time(async move {
        let script = |_: &_, nth| match nth {
            0 => complete(),
            _ => ItemOutcome::Complete(progress(&["new"], &[8])),
        };
        let harness = RunnerHarness::start(FakeExecutor::new(script, graded));
        harness.submit("first", job_of("a", 1));
        advance(LONG).await;

        let mut again = job_of("a", 1);
        change(&mut again);
        let second = harness.submit("second", again);
        advance(LONG).await;

        assert_eq!(harness.executor.runs()[1].progress, progress(&[], &[]));
        assert_eq!(second.result("a-0").map(|result| result.text), Some("new".to_string()));
    });
}

#[tokio::test(start_paused = true)]
async fn given_an_unfinished_output_when_its_item_comes_again_then_it_continues() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        _ => complete(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded));
    let first = harness.submit("first", job_of("a", 1));
    advance(RUN + RUN / 2).await;
    first.state.send_replace(JobState::Ended);
    advance(RUN).await;

    let second = harness.submit("second", job_of("a", 1));
    advance(LONG).await;

    assert_eq!(harness.executor.runs().last().unwrap().progress, progress(&["a"], &[7]));
    assert_eq!(second.results().len(), 1);
}
