//! Items that come again in a later batch job.

use crate::support::{job_of, pass, paused, progress, whole, Bench, FakeExecutor, RUN};
use std::time::Duration;
use store_plane::runner::ports::{ItemOutcome, JobState, RewardOutcome};
use yare::parameterized;

const LONG: Duration = Duration::from_secs(30);

fn graded(_nth: usize) -> RewardOutcome {
    RewardOutcome::Graded("stamp".to_string())
}

#[tokio::test(start_paused = true)]
async fn given_items_listed_before_when_they_come_again_then_kept_texts_are_listed_without_a_run() {
    let bench = Bench::start(FakeExecutor::reliable());
    let first = bench.hand_in("first", job_of("a", 2));
    pass(LONG).await;
    first.state.send_replace(JobState::Ended);

    let second = bench.hand_in("second", job_of("a", 3));
    pass(LONG).await;

    assert_eq!(bench.executor.run_ids(), vec!["a-0", "a-1", "a-2"]);
    assert_eq!(second.result("a-0"), first.result("a-0"));
    assert_eq!(second.listed().len(), 3);
}

#[parameterized(
    newer_versions_wanted = { |job: &mut batch::Job| job.oldest_version = Some(8) },
    other_body = { |job: &mut batch::Job| job.items[0].body = "AAAA".to_string() },
    other_model = { |job: &mut batch::Job| job.model = Some("other".into()) },
)]
fn given_a_kept_text_when_it_does_not_fit_the_new_job_then_the_item_runs_anew(change: fn(&mut batch::Job)) {
    paused(async move {
        let script = |_: &_, nth| match nth {
            0 => whole(),
            _ => ItemOutcome::Complete(progress(&["new"], &[8])),
        };
        let bench = Bench::start(FakeExecutor::new(script, graded));
        bench.hand_in("first", job_of("a", 1));
        pass(LONG).await;

        let mut again = job_of("a", 1);
        change(&mut again);
        let second = bench.hand_in("second", again);
        pass(LONG).await;

        assert_eq!(bench.executor.runs()[1].progress, progress(&[], &[]));
        assert_eq!(second.result("a-0").map(|result| result.text), Some("new".to_string()));
    });
}

#[tokio::test(start_paused = true)]
async fn given_an_unfinished_text_when_its_item_comes_again_then_it_goes_on() {
    let script = |_: &_, nth| match nth {
        0 => ItemOutcome::Interrupted(progress(&["a"], &[7])),
        _ => whole(),
    };
    let bench = Bench::start(FakeExecutor::new(script, graded));
    let first = bench.hand_in("first", job_of("a", 1));
    pass(RUN + RUN / 2).await;
    first.state.send_replace(JobState::Ended);
    pass(RUN).await;

    let second = bench.hand_in("second", job_of("a", 1));
    pass(LONG).await;

    assert_eq!(bench.executor.runs().last().unwrap().progress, progress(&["a"], &[7]));
    assert_eq!(second.listed().len(), 1);
}
