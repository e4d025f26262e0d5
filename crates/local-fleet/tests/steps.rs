//! Tests of the batch jobs that the emulated trainer plans.

use local_fleet::trainer::{JobRouting, JobTemplate, StepPlan};
use local_fleet::RequestLog;
use std::time::Duration;

fn template() -> JobTemplate {
    JobTemplate {
        routing: JobRouting {
            host: "h.example".into(),
            rollout_prefix: "/rollouts/".into(),
            reward_prefix: "/rewards/".into(),
            engine_service: "llm".into(),
            reward_service: "tally".into(),
        },
        model: "daka".into(),
        groups: 4,
        items_per_group: 2,
        required_groups: 3,
        shared_tokens: 255,
        unique_tokens: 16,
        events: 26,
        single_version: true,
    }
}

#[test]
fn given_a_step_when_planned_then_items_of_a_group_share_a_prompt_prefix_but_no_id() {
    let plan = StepPlan::random(&template(), 7, 6, Vec::new());
    assert_eq!((plan.job.items.len(), plan.groups.len(), plan.carried_groups), (8, 4, 0));
    let [first, second] = &plan.groups[0][..] else { panic!("two items in the first group") };
    let shared_prefix =
        |item: &batch::Item| item.headers["Prompt-Prefix"].split(',').next().map(str::to_owned);
    assert_eq!(shared_prefix(first), shared_prefix(second));
    assert_ne!(first.id, second.id);
    assert_eq!(first.headers["Tokens"], "271,26");
    assert_eq!(first.tokens, 297);
}

#[test]
fn given_incomplete_groups_when_planned_then_up_to_half_of_the_required_groups_are_carried_over_unchanged() {
    let earlier = StepPlan::random(&template(), 0, 1, Vec::new());
    let incomplete = earlier.groups[1..].to_vec();
    let plan = StepPlan::random(&template(), 1, 1, incomplete.clone());
    assert_eq!((plan.carried_groups, plan.groups.len()), (1, 4));
    assert_eq!(plan.groups[0], incomplete[0]);
    assert_eq!(plan.job.items[..2], incomplete[0]);
}

#[test]
fn given_finished_items_when_groups_are_checked_then_a_group_is_complete_only_if_all_its_items_are_finished()
{
    let plan = StepPlan::random(&template(), 0, 1, Vec::new());
    let finished = [&plan.groups[0][0], &plan.groups[0][1], &plan.groups[2][0]];
    let complete = plan.complete_groups(finished.into_iter().map(|item| &*item.id));
    assert_eq!(complete, [true, false, false, false]);
}

#[test]
fn given_a_step_when_its_requests_are_recorded_then_they_include_items_and_reward_calls() {
    let (template, request_log) = (template(), RequestLog::new(Duration::ZERO, Duration::ZERO));
    let plan = StepPlan::random(&template, 0, 1, Vec::new());
    plan.expect_requests(&template.routing, &request_log);
    assert_eq!(plan.request_ids().count(), 16);
    assert!(request_log.violations().is_empty());
}
