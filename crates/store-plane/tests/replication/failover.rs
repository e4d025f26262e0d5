//! Owners that are killed, hand their batch jobs over or freeze.

use std::time::Duration;

use store_plane::{BodyOutcome, JobState, OwnedJob, OwnershipLost};

use crate::cluster::{item_ids, result, Cluster};

#[tokio::test]
async fn given_a_killed_owner_when_results_are_read_then_another_store_has_all_results_and_continues() {
    let (mut cluster, first) = Cluster::with_owned_job(5, &[0, 1]).await;
    let before = cluster.read("job", 0).await;

    cluster.kill(cluster.index_of_owner(&first));

    assert_eq!(cluster.read("job", 0).await, before);
    let second = cluster.next_owned().await;
    assert_eq!(second.items_with_results, item_ids(&[0, 1]));
    assert_eq!(cluster.results("job").await, [result(0), result(1)]);
    second.append(vec![result(1), result(2)]).await.expect("the store owns the batch job");
    assert_eq!(cluster.read("job", 0).await.next, 3);
    let body = cluster.client.body("job".into(), "item-5").await;
    assert_eq!(body, BodyOutcome::Body("hello".into()));
}

#[tokio::test]
async fn given_a_draining_owner_when_it_hands_over_then_the_next_store_owns_its_batch_jobs_at_once() {
    let (mut cluster, first) = Cluster::with_owned_job(3, &[0, 1]).await;
    let draining = cluster.index_of_owner(&first);

    let began = std::time::Instant::now();
    cluster.hand_over_jobs(draining).await;
    let second = cluster.next_owned().await;

    assert!(
        began.elapsed() < Duration::from_millis(500),
        "the handover takes less time than the timeout of an owner"
    );
    assert_ne!(cluster.index_of_owner(&second), draining);
    assert_eq!(second.items_with_results, item_ids(&[0, 1]));
    assert_eq!(cluster.results("job").await, [result(0), result(1)]);
    assert_eq!(*first.state().borrow(), JobState::OwnershipLost);
    cluster.submit_until_accepted("another").await;
    let another = cluster.next_owned().await;
    assert_ne!(cluster.index_of_owner(&another), draining, "a draining store claims no batch job any more");
}

#[tokio::test]
async fn given_a_frozen_owner_when_it_resumes_then_it_neither_appends_nor_changes_what_is_read() {
    let (mut cluster, first) = Cluster::with_owned_job(3, &[0]).await;

    let frozen = cluster.freeze(cluster.index_of_owner(&first));
    let second = next_owner_after_read(&mut cluster).await;
    second.append(vec![result(1)]).await.expect("the store owns the batch job");
    let before = cluster.read("job", 0).await;
    drop(frozen);

    assert_eq!(first.append(vec![result(2)]).await, Err(OwnershipLost));
    assert_eq!(*first.state().borrow(), JobState::OwnershipLost);
    assert_eq!(second.items_with_results, item_ids(&[0]));
    assert_eq!(cluster.results("job").await, [result(0), result(1)]);
    assert_eq!(cluster.read("job", 0).await, before);
}

/// Reads the results of the batch job, which succeeds only after another store has taken it over; then
/// returns the batch job of the new owner.
async fn next_owner_after_read(cluster: &mut Cluster) -> OwnedJob {
    cluster.read("job", 0).await;
    cluster.next_owned().await
}
