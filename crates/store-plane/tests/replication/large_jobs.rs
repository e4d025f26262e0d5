//! Batch jobs whose log is larger than a request between stores may be.

use std::time::Duration;

use batch::ItemResult;
use store_plane::{BodyOutcome, StoreLimits};

use crate::cluster::{result, Cluster};

/// Length of each text; with the ten items of a batch job, the log is larger than the largest request.
const TEXT_BYTES: usize = 7 * 1024 * 1024;
/// Number of items of a batch job.
const ITEMS: usize = 10;
/// Limits of a store whose cache has space for a part of one batch job.
const LITTLE_MEMORY: StoreLimits =
    StoreLimits { result_retention: Duration::from_secs(120), memory_bytes: 1_000_000 };

fn large_result(number: usize) -> ItemResult {
    ItemResult { text: number.to_string().repeat(TEXT_BYTES), ..result(number) }
}

/// Starts three stores and completes a batch job with large texts.
async fn cluster_with_large_job() -> Cluster {
    let (cluster, owned) = Cluster::with_owned_job(3, &[]).await;
    for number in 0..ITEMS {
        owned.append(vec![large_result(number)]).await.expect("the store owns the batch job");
    }
    cluster
}

/// Reads the first and the last result, and checks their texts.
async fn assert_results_can_be_read(cluster: &Cluster) {
    for number in [0, ITEMS - 1] {
        let after = u64::try_from(number).expect("a small number");
        let page = cluster.read("job", after).await;
        let results: Vec<ItemResult> = serde_json::from_slice(&page.deliveries).expect("a page of results");
        assert!(results == [large_result(number)], "the result at position {number} is another one");
    }
}

/// Guards against logs that no request can contain (docs/incidents/large-batch-job.md): a new replica got the
/// complete log in one request, and a claimant in one reply within the timeout of a small one.
#[tokio::test]
async fn given_a_log_larger_than_a_request_when_disks_are_replaced_then_results_can_be_read() {
    let mut cluster = cluster_with_large_job().await;

    for index in 0..2 {
        cluster.replace(index);
        cluster.finish_migration().await;
    }

    assert_results_can_be_read(&cluster).await;
}

/// Guards against stores that the platform kills because of their memory (docs/incidents/store-memory.md): the
/// contents of batch jobs stayed in memory. Here they are larger than the cache, so that they are read from the
/// disk for reads, for a store that has lost its disk and for the next owner.
#[tokio::test]
async fn given_contents_that_are_on_the_disk_only_when_a_disk_is_replaced_and_the_owner_fails_then_all_are_kept(
) {
    let mut cluster = Cluster::start_with_limits(3, LITTLE_MEMORY);
    let mut expected = Vec::new();
    for number in 0..6 {
        let job = format!("job-{number}");
        cluster.submit_until_accepted(&job).await;
        let owned = cluster.next_owned().await;
        let result = ItemResult { text: number.to_string().repeat(200_000), ..result(number) };
        owned.append(vec![result.clone()]).await.expect("the store owns the batch job");
        expected.push((job, result, owned));
    }
    let owner = cluster.index_of_owner(&expected[0].2);

    cluster.replace((owner + 1) % 3);
    cluster.finish_migration().await;
    cluster.kill(owner);

    for (job, result, _) in &expected {
        assert!(cluster.results(job).await == [result.clone()], "the result of {job} is another one");
        let body = cluster.client.body(job.as_str().into(), "item-5").await;
        assert_eq!(body, BodyOutcome::Body("hello".into()));
    }
}
