//! Unit tests of the hedge budget.

use super::HedgeBudget;

fn withdrawn(budget: &mut HedgeBudget, times: usize) -> usize {
    (0..times).filter(|_| budget.withdraw()).count()
}

#[test]
fn given_a_full_budget_when_withdrawn_then_it_allows_five_hedged_requests() {
    assert_eq!(withdrawn(&mut HedgeBudget::new(), 10), 5);
}

#[test]
fn given_an_empty_budget_when_attempts_are_counted_then_each_twentieth_allows_a_hedged_request() {
    let mut budget = HedgeBudget::new();
    withdrawn(&mut budget, 5);
    for _ in 0..42 {
        budget.deposit();
    }
    assert_eq!(withdrawn(&mut budget, 10), 2);
}

#[test]
fn given_many_attempts_when_withdrawn_then_no_more_than_a_full_budget_is_saved_up() {
    let mut budget = HedgeBudget::new();
    for _ in 0..1000 {
        budget.deposit();
    }
    assert_eq!(withdrawn(&mut budget, 10), 5);
}
