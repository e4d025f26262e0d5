//! Retention: batch jobs are deleted when their results need no longer be readable.

use std::time::Duration;

use store_plane::{EndOutcome, ReadOutcome};

use crate::cluster::{eventually, result, Cluster};

#[tokio::test]
async fn given_batch_jobs_past_their_retention_when_only_one_is_ended_then_only_that_one_is_deleted() {
    let mut cluster = Cluster::start_with_retention(3, Duration::ZERO);
    for id in ["open", "ended"] {
        cluster.submit_until_accepted(id).await;
        cluster.next_owned().await.append(vec![result(0)]).await.expect("the store owns the batch job");
    }

    eventually("the batch job is ended, and may be deleted at once", || async {
        (cluster.client.end("ended".into()).await != EndOutcome::Unknown).then_some(())
    })
    .await;
    wait_until_deleted(&cluster, "ended").await;
    cluster.power_cycle();

    assert_eq!(cluster.read("open", 0).await.next, 1);
    wait_until_deleted(&cluster, "ended").await;
}

/// Waits until a majority of the replicas reports that it doesn't have a batch job.
async fn wait_until_deleted(cluster: &Cluster, id: &str) {
    eventually("the batch job is deleted", || async {
        let read = cluster.client.read(id.into(), 0, Duration::ZERO).await;
        (read == ReadOutcome::NoSuchJob).then_some(())
    })
    .await;
}
