//! Calls of a traffic node about batch jobs, on stores without faults: submission, reads and the end.

use std::time::Duration;

use store_plane::{BodyOutcome, EndOutcome, JobState, OwnershipLost, ReadOutcome, SubmitOutcome};

use crate::cluster::{item_ids, result, Cluster};

#[tokio::test]
async fn given_a_batch_job_when_results_are_appended_then_they_are_read_once_each_in_order() {
    let mut cluster = Cluster::start(3);
    cluster.submit_until_accepted("job").await;
    assert_eq!(cluster.submit("job").await, SubmitOutcome::Accepted);
    let owned = cluster.next_owned().await;
    assert_eq!(owned.items_with_results, item_ids(&[]));

    let long_poll = cluster.client.read("job".into(), 0, Duration::from_secs(1));
    let (page, appended) = tokio::join!(long_poll, owned.append(vec![result(3), result(1)]));
    assert_eq!(appended, Ok(()));
    assert_eq!(owned.append(vec![result(1), result(2), result(2)]).await, Ok(()));

    assert!(matches!(page, ReadOutcome::Page(page) if page.next == 2));
    let page = cluster.read("job", 1).await;
    let expected = serde_json::to_string(&[result(1), result(2)]).expect("results are JSON");
    assert_eq!((page.total, page.next, &page.deliveries[..]), (10, 3, expected.as_bytes()));
    assert!(cluster.owned.try_recv().is_err(), "only one store owns the batch job");
}

#[tokio::test]
async fn given_a_batch_job_when_ended_then_it_stays_readable_and_accepts_no_results() {
    let (cluster, owned) = Cluster::with_owned_job(3, &[0]).await;

    assert_eq!(cluster.client.end("job".into()).await, EndOutcome::Ended);
    assert_eq!(cluster.client.end("job".into()).await, EndOutcome::Ended);

    assert_eq!(*owned.state().borrow(), JobState::Ended);
    assert_eq!(owned.append(vec![result(1)]).await, Err(OwnershipLost));
    assert_eq!(cluster.read("job", 0).await.next, 1);
}

#[tokio::test]
async fn given_an_unknown_batch_job_when_called_then_a_majority_reports_that_it_does_not_exist() {
    let cluster = Cluster::start(5);

    assert_eq!(cluster.client.read("none".into(), 0, Duration::ZERO).await, ReadOutcome::NoSuchJob);
    assert_eq!(cluster.client.end("none".into()).await, EndOutcome::NoSuchJob);
    assert_eq!(cluster.client.body("none".into(), "item-1").await, BodyOutcome::NoSuchItem);
}

#[tokio::test]
async fn given_results_that_are_on_the_disk_only_when_read_repeatedly_then_the_disk_is_read_once() {
    let (mut cluster, _owned) = Cluster::with_owned_job(3, &[0, 1, 2]).await;
    cluster.power_cycle();
    let owned = cluster.next_owned().await;
    let disk = cluster.stores[cluster.index_of_owner(&owned)].disk.clone();
    let first = cluster.read("job", 0).await;
    let reads = disk.reads();

    let second = cluster.read("job", 0).await;

    assert_eq!(second, first);
    assert!(reads > 0, "the results were on the disk only");
    assert_eq!(disk.reads(), reads);
}
