//! Items that are submitted again in a later batch job, and whose cached outputs are used.

use store_plane::runner::ports::{ItemOutcome, JobState};
use yare::parameterized;

use crate::harness::{
    advance, complete_outcome, graded_outcome, job_with_items, progress, with_paused_time, FakeExecutor,
    RunnerHarness, AMPLE_TIME, RUN_DURATION,
};

#[tokio::test(start_paused = true)]
async fn given_recorded_items_when_submitted_again_then_cached_outputs_are_recorded_without_a_run() {
    let harness = RunnerHarness::start(FakeExecutor::reliable());
    let first = harness.submit("first", job_with_items("a", 2));
    advance(AMPLE_TIME).await;
    first.state.send_replace(JobState::Ended);

    let second = harness.submit("second", job_with_items("a", 3));
    advance(AMPLE_TIME).await;

    assert_eq!(harness.executor.run_ids(), vec!["a-0", "a-1", "a-2"]);
    assert_eq!(second.result("a-0"), first.result("a-0"));
    assert_eq!(second.results().len(), 3);
}

#[parameterized(
    newer_versions_required = { |job: &mut batch::Job| job.oldest_version = Some(8) },
    other_body = { |job: &mut batch::Job| job.items[0].body = "AAAA".to_string() },
    other_model = { |job: &mut batch::Job| job.model = Some("other".into()) },
)]
fn given_a_cached_output_when_it_is_unusable_for_the_new_job_then_the_item_runs_again(
    change: fn(&mut batch::Job),
) {
    with_paused_time(async move {
        let script = |_: &_, nth| match nth {
            0 => complete_outcome(),
            _ => ItemOutcome::Complete(progress(&["new"], &[8])),
        };
        let harness = RunnerHarness::start(FakeExecutor::new(script, graded_outcome));
        harness.submit("first", job_with_items("a", 1));
        advance(AMPLE_TIME).await;

        let mut again = job_with_items("a", 1);
        change(&mut again);
        let second = harness.submit("second", again);
        advance(AMPLE_TIME).await;

        assert_eq!(harness.executor.runs()[1].progress, progress(&[], &[]));
        assert_eq!(second.result("a-0").map(|result| result.text), Some("new".to_string()));
    });
}

#[tokio::test(start_paused = true)]
async fn given_a_cached_incomplete_output_when_its_item_is_submitted_again_then_the_run_continues_it() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        _ => complete_outcome(),
    };
    let harness = RunnerHarness::start(FakeExecutor::new(script, graded_outcome));
    let first = harness.submit("first", job_with_items("a", 1));
    advance(RUN_DURATION + RUN_DURATION / 2).await;
    first.state.send_replace(JobState::Ended);
    advance(RUN_DURATION).await;

    let second = harness.submit("second", job_with_items("a", 1));
    advance(AMPLE_TIME).await;

    assert_eq!(harness.executor.runs().last().unwrap().progress, progress(&["a"], &[7]));
    assert_eq!(second.results().len(), 1);
}
