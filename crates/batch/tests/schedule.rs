//! Tests of the order in which items of batch jobs are started.

use std::collections::BTreeMap;
use std::time::Duration;

use batch::{
    Item, ItemCandidate, ItemIndex, ItemPhase, Job, JobForecast, JobOutline, JobSchedule, Precedence, Urgency,
};
use yare::parameterized;

const START: Duration = Duration::ZERO;

fn outline(job: &Job) -> JobOutline {
    let json = serde_json::to_vec(job).expect("a job can be written");
    JobOutline::parse(&json).expect("the job is valid")
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn item(id: usize, group: Option<usize>, tokens: u64) -> Item {
    Item {
        id: format!("item{id}").into(),
        path: "/generate/x".to_string(),
        headers: BTreeMap::new(),
        body: String::new(),
        tokens,
        group: group.map(|group| format!("group{group}").into()),
        reward: None,
    }
}

/// Creates a job of `groups` groups with `items_each` items each; the items of a group are adjacent.
fn job(groups: usize, items_each: usize, required: Option<u32>) -> Job {
    let items = (0..groups * items_each).map(|id| item(id, Some(id / items_each), 10)).collect();
    Job { step: None, model: None, oldest_version: None, required_groups: required, items }
}

/// Starts items at `now` until none may start.
fn start_all(schedule: &mut JobSchedule, now: Duration) -> Vec<ItemCandidate> {
    let mut started = Vec::new();
    while let Some(candidate) = schedule.next_item(now) {
        schedule.set_phase(candidate.index, ItemPhase::Streaming);
        started.push(candidate);
    }
    started
}

fn indices(candidates: &[ItemCandidate]) -> Vec<ItemIndex> {
    candidates.iter().map(|candidate| candidate.index).collect()
}

fn record(schedule: &mut JobSchedule, items: impl IntoIterator<Item = ItemIndex>) {
    for index in items {
        schedule.set_phase(index, ItemPhase::Recorded);
    }
}

#[test]
fn given_a_new_job_when_items_start_then_groups_start_in_order_and_the_required_ones_are_needed() {
    let mut schedule = JobSchedule::new(&outline(&job(4, 2, Some(3))));

    let started = start_all(&mut schedule, START);

    assert_eq!(indices(&started), vec![0, 1, 2, 3, 4, 5, 6, 7]);
    let needed: Vec<bool> = started.iter().map(|candidate| candidate.needed).collect();
    assert_eq!(needed, vec![true, true, true, true, true, true, false, false]);
}

#[test]
fn given_no_number_of_required_groups_when_items_start_then_all_groups_are_needed() {
    let mut schedule = JobSchedule::new(&outline(&job(3, 2, None)));

    assert!(start_all(&mut schedule, START).iter().all(|candidate| candidate.needed));
}

#[test]
fn given_groups_with_interleaved_items_when_items_start_then_one_group_starts_after_the_other() {
    let mut job = job(2, 2, None);
    job.items = vec![item(0, Some(0), 1), item(1, Some(1), 1), item(2, Some(0), 1), item(3, Some(1), 1)];
    let mut schedule = JobSchedule::new(&outline(&job));

    assert_eq!(indices(&start_all(&mut schedule, START)), vec![0, 2, 1, 3]);
}

#[test]
fn given_items_without_a_group_when_one_is_recorded_then_it_counts_as_a_complete_group() {
    let mut job = job(0, 0, Some(1));
    job.items = vec![item(0, None, 1), item(1, None, 1)];
    let mut schedule = JobSchedule::new(&outline(&job));

    record(&mut schedule, [1]);

    assert_eq!(schedule.complete_groups(), 1);
    assert_eq!(schedule.next_item(START), Some(ItemCandidate { index: 0, needed: false }));
}

#[test]
fn given_a_group_with_items_of_different_length_when_it_starts_then_longer_items_start_first() {
    let mut job = job(1, 3, None);
    job.items = vec![item(0, Some(0), 5), item(1, Some(0), 9), item(2, Some(0), 7)];
    let mut schedule = JobSchedule::new(&outline(&job));

    assert_eq!(indices(&start_all(&mut schedule, START)), vec![1, 2, 0]);
}

#[test]
fn given_a_failed_item_of_a_started_group_when_the_next_item_starts_then_it_precedes_groups_not_started() {
    let mut schedule = JobSchedule::new(&outline(&job(6, 2, None)));
    for index in 0..8 {
        schedule.set_phase(index, ItemPhase::Streaming);
    }

    schedule.set_phase(7, ItemPhase::Pending(START));

    assert_eq!(schedule.next_item(START), Some(ItemCandidate { index: 7, needed: true }));
}

#[test]
fn given_two_started_groups_when_the_next_item_starts_then_it_is_of_the_group_with_fewer_unfinished_items() {
    let mut schedule = JobSchedule::new(&outline(&job(4, 3, None)));
    record(&mut schedule, [6, 9, 10]);

    record(&mut schedule, 0..6);

    assert_eq!(schedule.next_item(START).map(|candidate| candidate.index), Some(11));
}

#[test]
fn given_groups_that_may_be_carried_over_when_others_are_nearer_to_completion_then_the_former_start_first() {
    let mut schedule = JobSchedule::new(&outline(&job(6, 2, Some(4))));
    record(&mut schedule, [4, 6, 8]);

    let started = start_all(&mut schedule, START);

    assert_eq!(indices(&started)[..4], [0, 1, 2, 3]);
}

#[test]
fn given_enough_complete_groups_when_one_that_may_be_carried_over_is_incomplete_then_it_is_still_needed() {
    let mut schedule = JobSchedule::new(&outline(&job(6, 1, Some(2))));
    record(&mut schedule, [2, 3]);

    let started = start_all(&mut schedule, START);

    assert_eq!(started[0], ItemCandidate { index: 0, needed: true });
    assert!(started[1..].iter().all(|candidate| !candidate.needed));
}

#[test]
fn given_an_item_in_backoff_when_the_backoff_ends_then_the_item_may_start() {
    let mut schedule = JobSchedule::new(&outline(&job(1, 1, None)));
    schedule.set_phase(0, ItemPhase::Pending(seconds(2)));

    assert_eq!(schedule.next_item(seconds(1)), None);
    assert_eq!(schedule.next_retry(seconds(1)), Some(seconds(2)));
    assert_eq!(schedule.next_item(seconds(2)).map(|candidate| candidate.index), Some(0));
    assert_eq!(schedule.next_retry(seconds(2)), None);
}

#[test]
fn given_a_recorded_item_when_its_phase_is_set_again_then_it_stays_recorded() {
    let mut schedule = JobSchedule::new(&outline(&job(1, 2, None)));
    record(&mut schedule, [0]);

    schedule.set_phase(0, ItemPhase::Pending(START));
    record(&mut schedule, [0, 1]);

    assert_eq!(schedule.phase(0), ItemPhase::Recorded);
    assert!(schedule.is_finished());
    assert_eq!(schedule.complete_groups(), 1);
}

#[test]
fn given_streaming_items_when_some_leave_the_phase_then_the_number_of_streams_decreases() {
    let mut schedule = JobSchedule::new(&outline(&job(1, 3, None)));
    start_all(&mut schedule, START);

    schedule.set_phase(0, ItemPhase::Grading);
    schedule.set_phase(1, ItemPhase::Pending(START));

    assert_eq!(schedule.streaming(), 1);
}

#[parameterized(
    needed_before_due = { true, 10, Urgency::InTime },
    needed_just_after_due = { true, 9, Urgency::InTime },
    needed_late = { true, 8, Urgency::Late },
    not_needed = { false, 10, Urgency::Surplus },
)]
fn given_an_item_when_its_precedence_is_computed_then_need_and_due_time_decide_the_urgency(
    needed: bool,
    due: u64,
    urgency: Urgency,
) {
    let item_finished = Duration::from_millis(9_500);
    let forecast = JobForecast { due: seconds(due), item_finished, ..JobForecast::default() };

    let precedence = Precedence::new(ItemCandidate { index: 0, needed }, forecast);

    assert_eq!(precedence.urgency, urgency);
}

#[test]
fn given_items_of_several_jobs_when_sorted_then_by_urgency_then_due_time_then_number_of_streams() {
    let precedence = |needed, due, streaming| {
        let forecast =
            JobForecast { due: seconds(due), streaming, item_finished: seconds(5), ..JobForecast::default() };
        Precedence::new(ItemCandidate { index: 0, needed }, forecast)
    };

    let mut ranked =
        vec![precedence(false, 6, 0), precedence(true, 1, 0), precedence(true, 9, 0), precedence(true, 6, 4)];
    ranked.push(precedence(true, 6, 2));
    ranked.sort();

    let expected =
        vec![precedence(true, 6, 2), precedence(true, 6, 4), precedence(true, 9, 0), precedence(true, 1, 0)];
    assert_eq!(ranked[..4], expected);
    assert_eq!(ranked[4].urgency, Urgency::Surplus);
}

#[test]
fn given_jobs_when_sorted_then_those_behind_schedule_come_first_and_others_by_fewest_needed_items() {
    let precedence = |due, needed_remaining, all_finished| {
        let forecast = JobForecast {
            due: seconds(due),
            needed_remaining,
            item_finished: seconds(1),
            all_finished: seconds(all_finished),
            ..JobForecast::default()
        };
        Precedence::new(ItemCandidate { index: 0, needed: true }, forecast)
    };
    let (short, long) = (precedence(12, 40, 3), precedence(8, 160, 6));
    let (behind_due_first, behind_due_second) = (precedence(5, 200, 6), precedence(7, 10, 8));

    let mut ranked = vec![long, behind_due_second, short, behind_due_first];
    ranked.sort();

    assert_eq!(ranked, [behind_due_first, behind_due_second, short, long]);
}

#[test]
fn given_required_groups_when_they_become_complete_then_the_number_of_needed_items_decreases() {
    let mut schedule = JobSchedule::new(&outline(&job(4, 3, Some(2))));
    assert_eq!(schedule.needed_remaining(), 6);

    (0..3).for_each(|item| schedule.set_phase(item, ItemPhase::Recorded));
    assert_eq!(schedule.needed_remaining(), 3);

    (3..6).for_each(|item| schedule.set_phase(item, ItemPhase::Recorded));
    assert_eq!(schedule.needed_remaining(), 0);
}
