//! Budgets of messages that are handled at the same time.

use std::time::Duration;

use rpc::MessageBudget;
use tokio::time::{timeout, Instant};

const KIB: usize = 1024;

#[tokio::test(start_paused = true)]
async fn given_a_used_budget_when_a_message_comes_then_it_waits_until_enough_is_free() {
    let budget = MessageBudget::new(300 * KIB);
    let first = budget.acquire(200 * KIB).await;
    let second = budget.acquire(100 * KIB).await;
    let mut third = Box::pin(budget.acquire(200 * KIB));

    drop(second);
    assert!(timeout(Duration::from_millis(100), &mut third).await.is_err(), "too little is free");
    drop(first);

    assert!(third.await.is_some());
}

#[tokio::test(start_paused = true)]
async fn given_a_message_longer_than_the_budget_when_nothing_else_is_handled_then_it_is_alone() {
    let budget = MessageBudget::new(100 * KIB);

    let long = budget.acquire(1000 * KIB).await;
    let began = Instant::now();
    let other = budget.acquire(65 * KIB).await;

    assert!(long.is_some());
    assert!(other.is_none(), "the other message does not wait for ever");
    assert_eq!(began.elapsed(), Duration::from_secs(2));
    assert!(budget.acquire(64 * KIB).await.is_some(), "short messages are not counted");
}
