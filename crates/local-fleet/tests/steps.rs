//! The batch jobs of a trainer.

use local_fleet::{Ledger, StepPlan, StepTerms};
use std::time::Duration;

fn terms() -> StepTerms {
    StepTerms {
        host: "h.example".into(),
        rollout_prefix: "/rollouts/".into(),
        reward_prefix: "/rewards/".into(),
        engine_service: "llm".into(),
        reward_service: "tally".into(),
        model: "daka".into(),
        groups: 4,
        items_per_group: 2,
        wanted: 3,
        shared_tokens: 255,
        own_tokens: 16,
        events: 26,
        single_version: true,
    }
}

#[test]
fn given_a_step_when_drawn_then_items_of_a_group_share_their_prompt_and_nothing_else() {
    let plan = StepPlan::draw(&terms(), 7, 6, Vec::new());
    assert_eq!((plan.job.items.len(), plan.groups.len(), plan.carried), (8, 4, 0));
    let [first, second] = &plan.groups[0][..] else { panic!("two items a group") };
    let shared = |item: &batch::Item| item.headers["Prompt-Prefix"].split(',').next().map(str::to_owned);
    assert_eq!(shared(first), shared(second));
    assert_ne!(first.id, second.id);
    assert_eq!(first.headers["Tokens"], "271,26");
    assert_eq!(first.tokens, 297);
}

#[test]
fn given_groups_that_were_left_when_drawn_then_half_of_the_wanted_stand_first_under_the_same_ids() {
    let earlier = StepPlan::draw(&terms(), 0, 1, Vec::new());
    let left = earlier.groups[1..].to_vec();
    let plan = StepPlan::draw(&terms(), 1, 1, left.clone());
    assert_eq!((plan.carried, plan.groups.len()), (1, 4));
    assert_eq!(plan.groups[0], left[0]);
    assert_eq!(plan.job.items[..2], left[0]);
}

#[test]
fn given_listed_items_when_groups_are_looked_at_then_a_group_is_whole_with_all_its_items() {
    let plan = StepPlan::draw(&terms(), 0, 1, Vec::new());
    let listed = [&plan.groups[0][0], &plan.groups[0][1], &plan.groups[2][0]];
    let whole = plan.whole_groups(listed.into_iter().map(|item| &*item.id));
    assert_eq!(whole, [true, false, false, false]);
}

#[test]
fn given_a_step_when_told_to_the_ledger_then_its_items_and_reward_calls_may_come_to_servers() {
    let (terms, ledger) = (terms(), Ledger::new(Duration::ZERO, Duration::ZERO));
    let plan = StepPlan::draw(&terms, 0, 1, Vec::new());
    plan.expect(&terms, &ledger);
    assert_eq!(plan.requests().count(), 16);
    assert!(ledger.violations().is_empty());
}
