//! Stores that run items at the same servers, and complete the groups that trainers require in time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::harness::{advance, item, job, FakeExecutor, FakeLog, RunnerHarness};
use batch::Job;

/// Number of items that the servers run concurrently.
const SLOTS: usize = 64;
/// Number of items of a group.
const GROUP_SIZE: usize = 8;

/// Returns a batch job with `groups` groups, of which the trainer requires `required`.
fn job_requiring_groups(name: &str, groups: usize, required: u32) -> Job {
    let items =
        (0..groups * GROUP_SIZE).map(|n| item(&format!("{name}-{n}"), &format!("{}", n / GROUP_SIZE)));
    Job { required_groups: Some(required), ..job(items.collect()) }
}

/// Returns the number of groups whose items all have results in the log.
fn complete_groups(job: &Job, log: &FakeLog) -> usize {
    let results: std::collections::HashSet<Arc<str>> =
        log.results().into_iter().map(|result| result.id).collect();
    let mut groups: HashMap<&str, bool> = HashMap::new();
    for item in &job.items {
        *groups.entry(item.group.as_deref().unwrap_or_default()).or_insert(true) &=
            results.contains(&item.id);
    }
    groups.values().filter(|is_complete| **is_complete).count()
}

#[tokio::test(start_paused = true)]
async fn given_three_stores_when_the_shared_servers_suffice_then_all_required_groups_are_in_time() {
    let first = FakeExecutor::reliable().with_slots(SLOTS);
    let second = FakeExecutor::reliable().with_slots(SLOTS).with_servers_of(&first);
    let third = FakeExecutor::reliable().with_slots(SLOTS).with_servers_of(&first);
    let stores = [RunnerHarness::start(first), RunnerHarness::start(second), RunnerHarness::start(third)];
    let jobs = [
        job_requiring_groups("a", 20, 14),
        job_requiring_groups("b", 29, 20),
        job_requiring_groups("c", 20, 14),
    ];

    let mut logs = Vec::new();
    for (store, job) in stores.iter().zip(&jobs) {
        logs.push(store.submit("job", job.clone()));
        advance(Duration::from_millis(500)).await;
    }
    advance(Duration::from_millis(6_500)).await;

    for (job, log) in jobs.iter().zip(&logs) {
        let required = job.required_groups.unwrap_or_default() as usize;
        assert!(
            complete_groups(job, log) >= required,
            "{} of the {required} required groups are complete",
            complete_groups(job, log)
        );
    }
}

#[tokio::test(start_paused = true)]
async fn given_too_few_servers_when_the_due_time_is_reached_then_nearly_all_runs_belong_to_complete_groups() {
    let store = RunnerHarness::start(FakeExecutor::reliable().with_slots(10));
    let job = job_requiring_groups("a", 20, 14);

    let log = store.submit("job", job.clone());
    advance(Duration::from_millis(8_200)).await;

    // Ten slots run eighty items in eight seconds, which makes ten groups if no run is spent on a group that
    // stays incomplete.
    assert!(complete_groups(&job, &log) >= 9, "{} groups are complete", complete_groups(&job, &log));
}
