//! Stores that lose power, and disks that fail, stall, fill up or are lost.

use std::time::Duration;

use batch::ItemResult;
use store_plane::{ReadOutcome, StoreLimits, SubmitOutcome};
use yare::parameterized;

use crate::cluster::{eventually, item_ids, result, Cluster};
use crate::disk::{DiskMode, MemoryDisk};

/// Runs an async test. Parameterized tests need it, since their macro does not support async functions.
fn in_runtime(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts")
        .block_on(test);
}

#[tokio::test]
async fn given_committed_results_when_all_stores_lose_power_at_once_then_they_can_be_read_afterwards() {
    let (mut cluster, _owned) = Cluster::with_owned_job(3, &[0, 1]).await;
    let before = cluster.read("job", 0).await;

    cluster.power_cycle();

    assert_eq!(cluster.read("job", 0).await, before);
    assert_eq!(cluster.next_owned().await.items_with_results, item_ids(&[0, 1]));
    assert_eq!(cluster.results("job").await, [result(0), result(1)]);
}

#[tokio::test]
async fn given_disks_lost_one_after_another_when_batch_jobs_migrate_in_between_then_results_are_kept() {
    let (mut cluster, _owned) = Cluster::with_owned_job(3, &[0, 1]).await;
    let before = cluster.read("job", 0).await;

    for index in 0..3 {
        cluster.replace(index);
        cluster.finish_migration().await;
        assert_eq!(cluster.read("job", 0).await, before);
    }
}

#[tokio::test]
async fn given_a_disk_that_was_full_when_it_works_again_then_the_store_counts_for_the_majority_again() {
    let (mut cluster, owned) = Cluster::with_owned_job(3, &[]).await;
    let owner = cluster.index_of_owner(&owned);
    let (full, other) = ((owner + 1) % 3, (owner + 2) % 3);

    cluster.stores[full].disk.set_mode(DiskMode::Fails);
    owned.append(vec![result(0)]).await.expect("two stores are a majority");
    cluster.stores[full].disk.set_mode(DiskMode::Works);
    cluster.kill(other);
    owned.append(vec![result(1)]).await.expect("two stores are a majority");
    (0..3).for_each(|index| cluster.kill(index));
    cluster.restart(full);
    cluster.restart(other);

    assert_eq!(cluster.read("job", 0).await.next, 2);
}

#[tokio::test]
async fn given_no_majority_of_stores_when_a_submission_is_not_accepted_then_the_batch_job_never_runs() {
    let mut cluster = Cluster::start(3);
    cluster.kill(0);
    cluster.kill(1);

    assert_eq!(cluster.submit("job").await, SubmitOutcome::NotAccepted);

    cluster.restart(0);
    cluster.restart(1);
    cluster.submit_until_accepted("other").await;
    assert_eq!(&*cluster.next_owned().await.id, "other");
    assert_eq!(cluster.client.read("job".into(), 0, Duration::ZERO).await, ReadOutcome::NoSuchJob);
}

#[tokio::test]
async fn given_no_majority_of_disks_when_a_batch_job_is_submitted_then_it_is_not_acknowledged() {
    let cluster = Cluster::start(3);
    cluster.stores.iter().skip(1).for_each(|store| store.disk.set_mode(DiskMode::Fails));

    assert_ne!(cluster.submit("job").await, SubmitOutcome::Accepted);
}

/// Capacity of a disk that the records of [`given_a_journal_that_fills_up_when_it_is_compacted_then_all_batch_jobs_survive_a_loss_of_power`]
/// fill.
const SMALL_DISK_BYTES: u64 = 30_000;

#[tokio::test]
async fn given_a_journal_that_fills_up_when_it_is_compacted_then_all_batch_jobs_survive_a_loss_of_power() {
    let mut cluster = Cluster::start(3);
    cluster.stores.iter().for_each(|store| store.disk.set_capacity(SMALL_DISK_BYTES));
    let mut owned = Vec::new();
    for number in 0..20 {
        cluster.submit_until_accepted(&format!("job-{number}")).await;
        owned.push(cluster.next_owned().await);
    }
    for number in 0..9 {
        for job in &owned {
            job.append(vec![result(number)]).await.expect("the store owns the batch job");
        }
    }
    let disks: Vec<_> = cluster.stores.iter().map(|store| store.disk.clone()).collect();
    eventually("old records are released", || async {
        let has_released = |disk: &MemoryDisk| {
            let (written, kept) = disk.written_and_kept();
            written > 150 && kept <= 60
        };
        disks.iter().all(has_released).then_some(())
    })
    .await;

    cluster.power_cycle();

    for number in 0..20 {
        assert_eq!(cluster.read(&format!("job-{number}"), 0).await.next, 9);
    }
}

#[parameterized(full = { DiskMode::Fails }, stalled = { DiskMode::Stalls })]
fn given_one_failing_disk_when_results_are_appended_then_the_other_stores_commit_them(mode: DiskMode) {
    in_runtime(async {
        let (mut cluster, owned) = Cluster::with_owned_job(3, &[0]).await;
        let owner = cluster.index_of_owner(&owned);

        cluster.stores[owner].disk.set_mode(mode);
        owned.append(vec![result(1)]).await.expect("two stores are a majority");
        let before = cluster.read("job", 0).await;
        cluster.kill(owner);
        cluster.stores[owner].disk.set_mode(DiskMode::Works);
        cluster.restart(owner);

        assert_eq!(before.next, 2);
        assert_eq!(cluster.read("job", 0).await, before);
    });
}

/// Guards against an owner whose disk is slower than those of the other replicas, and which keeps all results in memory
/// meanwhile (docs/incidents/store-memory.md).
#[tokio::test]
async fn given_an_owner_whose_disk_stalls_when_many_results_are_not_durable_then_no_more_are_appended() {
    let limits = StoreLimits { result_retention: Duration::from_secs(120), memory_bytes: 1_000_000 };
    let mut cluster = Cluster::start_with_limits(3, limits);
    cluster.submit_until_accepted("job").await;
    let owned = cluster.next_owned().await;
    let long_result = |item| ItemResult { text: "x".repeat(200_000), ..result(item) };
    cluster.stores[cluster.index_of_owner(&owned)].disk.set_mode(DiskMode::Stalls);

    owned.append(vec![long_result(0)]).await.expect("two stores are a majority");
    let second = tokio::time::timeout(Duration::from_millis(400), owned.append(vec![long_result(1)])).await;

    assert!(second.is_err(), "the second result waits for the disk");
}
