//! Unit tests of the hedge budget.

use super::HedgeBudget;

/// Withdraws this many times; returns how many of the withdrawals the budget allowed.
fn successful_withdrawals(budget: &mut HedgeBudget, times: usize) -> usize {
    (0..times).filter(|_| budget.withdraw()).count()
}

#[test]
fn given_a_full_budget_when_withdrawn_then_it_allows_five_hedged_requests() {
    assert_eq!(successful_withdrawals(&mut HedgeBudget::new(), 10), 5);
}

#[test]
fn given_an_empty_budget_when_attempts_are_counted_then_each_twentieth_allows_a_hedged_request() {
    let mut budget = HedgeBudget::new();
    successful_withdrawals(&mut budget, 5);
    for _ in 0..42 {
        budget.deposit();
    }
    assert_eq!(successful_withdrawals(&mut budget, 10), 2);
}

#[test]
fn given_many_attempts_when_withdrawn_then_the_budget_does_not_exceed_its_maximum() {
    let mut budget = HedgeBudget::new();
    for _ in 0..1000 {
        budget.deposit();
    }
    assert_eq!(successful_withdrawals(&mut budget, 10), 5);
}
