//! Batch jobs on stores that are killed, lose power, lose or fill their disks.

mod fleet;

use std::time::Duration;

use fleet::{eventually, result, DiskMode, Fleet};
use store_plane::{BodyOutcome, EndOutcome, JobState, OwnershipLost, ReadOutcome, SubmitOutcome};
use yare::parameterized;

fn in_runtime(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

#[test]
fn given_a_batch_job_when_results_are_appended_then_they_are_read_once_each_in_order() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        assert_eq!(fleet.submit("job").await, SubmitOutcome::Accepted);
        let owned = fleet.next_owned().await;
        assert_eq!(owned.committed_results, []);

        let held = fleet.client.read("job".into(), 0, Duration::from_secs(1));
        let (held, appended) = tokio::join!(held, owned.append(vec![result(3), result(1)]));
        assert_eq!(appended, Ok(()));
        assert_eq!(owned.append(vec![result(1), result(2), result(2)]).await, Ok(()));

        assert!(matches!(held, ReadOutcome::Page(page) if page.next == 2));
        let page = fleet.read("job", 1).await;
        let expected = serde_json::to_string(&[result(1), result(2)]).expect("results are JSON");
        assert_eq!((page.total, page.next, &page.deliveries[..]), (10, 3, expected.as_bytes()));
        assert!(fleet.owned.try_recv().is_err(), "one store owns it");
    });
}

#[test]
fn given_a_batch_job_when_ended_then_it_stays_readable_and_takes_no_results() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        let owned = fleet.next_owned().await;
        owned.append(vec![result(0)]).await.expect("it is open");

        assert_eq!(fleet.client.end("job".into()).await, EndOutcome::Ended);
        assert_eq!(fleet.client.end("job".into()).await, EndOutcome::Ended);

        assert_eq!(*owned.state().borrow(), JobState::Ended);
        assert_eq!(owned.append(vec![result(1)]).await, Err(OwnershipLost));
        assert_eq!(fleet.read("job", 0).await.next, 1);
    });
}

#[test]
fn given_no_such_batch_job_when_asked_then_a_majority_says_so() {
    in_runtime(async {
        let fleet = Fleet::start(5);

        assert_eq!(fleet.client.read("none".into(), 0, Duration::ZERO).await, ReadOutcome::NoSuchJob);
        assert_eq!(fleet.client.end("none".into()).await, EndOutcome::NoSuchJob);
        assert_eq!(fleet.client.body("none".into(), "item-1").await, BodyOutcome::NoSuchItem);
    });
}

#[test]
fn given_an_owner_that_is_killed_when_read_then_another_store_has_all_results_and_goes_on() {
    in_runtime(async {
        let mut fleet = Fleet::start(5);
        fleet.submit_until_accepted("job").await;
        let first = fleet.next_owned().await;
        first.append(vec![result(0), result(1)]).await.expect("it is owned");
        let before = fleet.read("job", 0).await;

        fleet.kill(fleet.index_of(&first));

        assert_eq!(fleet.read("job", 0).await, before);
        let second = fleet.next_owned().await;
        assert_eq!(second.committed_results, [result(0), result(1)]);
        second.append(vec![result(1), result(2)]).await.expect("it is owned");
        assert_eq!(fleet.read("job", 0).await.next, 3);
        let body = fleet.client.body("job".into(), "item-5").await;
        assert_eq!(body, BodyOutcome::Body("hello".into()));
    });
}

#[test]
fn given_an_owner_that_is_about_to_end_when_it_resigns_then_the_next_store_owns_its_batch_jobs_at_once() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        let first = fleet.next_owned().await;
        first.append(vec![result(0), result(1)]).await.expect("it is owned");
        let leaving = fleet.index_of(&first);

        let began = std::time::Instant::now();
        fleet.resign(leaving).await;
        let second = fleet.next_owned().await;

        assert!(began.elapsed() < Duration::from_millis(500), "sooner than its silence is noticed");
        assert_ne!(fleet.index_of(&second), leaving);
        assert_eq!(second.committed_results, [result(0), result(1)]);
        assert_eq!(*first.state().borrow(), JobState::OwnershipLost);
        fleet.submit_until_accepted("another").await;
        let another = fleet.next_owned().await;
        assert_ne!(fleet.index_of(&another), leaving, "a store that is leaving owns nothing any more");
    });
}

#[test]
fn given_results_when_all_stores_lose_power_at_once_then_they_are_read_again() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        let owned = fleet.next_owned().await;
        owned.append(vec![result(0), result(1)]).await.expect("it is owned");
        let before = fleet.read("job", 0).await;

        (0..3).for_each(|index| fleet.kill(index));
        (0..3).for_each(|index| fleet.restart(index));

        assert_eq!(fleet.read("job", 0).await, before);
        assert_eq!(fleet.next_owned().await.committed_results.len(), 2);
    });
}

#[test]
fn given_disks_lost_one_after_the_other_when_moved_between_then_results_stay() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        let owned = fleet.next_owned().await;
        owned.append(vec![result(0), result(1)]).await.expect("it is owned");
        let before = fleet.read("job", 0).await;

        for index in 0..3 {
            fleet.replace(index);
            fleet.finish_move().await;
            assert_eq!(fleet.read("job", 0).await, before);
        }
    });
}

#[parameterized(full = { DiskMode::Fails }, stalled = { DiskMode::Stalls })]
fn given_one_bad_disk_when_results_are_appended_then_the_other_stores_keep_them(mode: DiskMode) {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        let owned = fleet.next_owned().await;
        let owner = fleet.index_of(&owned);
        owned.append(vec![result(0)]).await.expect("it is owned");

        fleet.stores[owner].disk.set(mode);
        owned.append(vec![result(1)]).await.expect("two stores are a majority");
        let before = fleet.read("job", 0).await;
        fleet.kill(owner);
        fleet.stores[owner].disk.set(DiskMode::Works);
        fleet.restart(owner);

        assert_eq!(before.next, 2);
        assert_eq!(fleet.read("job", 0).await, before);
    });
}

#[test]
fn given_a_disk_that_was_full_when_it_works_again_then_the_store_counts_again() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        let owned = fleet.next_owned().await;
        let owner = fleet.index_of(&owned);
        let (full, other) = ((owner + 1) % 3, (owner + 2) % 3);

        fleet.stores[full].disk.set(DiskMode::Fails);
        owned.append(vec![result(0)]).await.expect("two stores are a majority");
        fleet.stores[full].disk.set(DiskMode::Works);
        fleet.kill(other);
        owned.append(vec![result(1)]).await.expect("two stores are a majority");
        (0..3).for_each(|index| fleet.kill(index));
        fleet.restart(full);
        fleet.restart(other);

        assert_eq!(fleet.read("job", 0).await.next, 2);
    });
}

#[test]
fn given_no_majority_when_a_batch_job_is_refused_then_nothing_of_it_ever_runs() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.kill(0);
        fleet.kill(1);

        assert_eq!(fleet.submit("job").await, SubmitOutcome::NotAccepted);

        fleet.restart(0);
        fleet.restart(1);
        fleet.submit_until_accepted("other").await;
        assert_eq!(&*fleet.next_owned().await.id, "other");
        assert_eq!(fleet.client.read("job".into(), 0, Duration::ZERO).await, ReadOutcome::NoSuchJob);
    });
}

#[test]
fn given_two_stores_without_a_majority_of_disks_when_handed_in_then_it_is_not_acknowledged() {
    in_runtime(async {
        let fleet = Fleet::start(3);
        fleet.stores.iter().skip(1).for_each(|store| store.disk.set(DiskMode::Fails));

        assert_ne!(fleet.submit("job").await, SubmitOutcome::Accepted);
    });
}

#[test]
fn given_a_filling_ring_when_written_anew_then_all_batch_jobs_survive_a_loss_of_power() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        let mut owned = Vec::new();
        for number in 0..20 {
            fleet.submit_until_accepted(&format!("job-{number}")).await;
            owned.push(fleet.next_owned().await);
        }
        for number in 0..9 {
            for job in &owned {
                job.append(vec![result(number)]).await.expect("it is owned");
            }
        }
        let disks: Vec<_> = fleet.stores.iter().map(|store| store.disk.clone()).collect();
        eventually("old records are released", || async {
            let has_released = |disk: &fleet::Disk| {
                let (written, kept) = disk.written_and_kept();
                written > 150 && kept <= 60
            };
            disks.iter().all(has_released).then_some(())
        })
        .await;

        (0..3).for_each(|index| fleet.kill(index));
        (0..3).for_each(|index| fleet.restart(index));

        for number in 0..20 {
            assert_eq!(fleet.read(&format!("job-{number}"), 0).await.next, 9);
        }
    });
}

#[test]
fn given_an_owner_that_is_frozen_when_thawed_then_it_neither_lists_nor_shows_anything_old() {
    in_runtime(async {
        let mut fleet = Fleet::start(3);
        fleet.submit_until_accepted("job").await;
        let first = fleet.next_owned().await;
        first.append(vec![result(0)]).await.expect("it is owned");

        let frozen = fleet.freeze(fleet.index_of(&first));
        let second = eventually_owned(&mut fleet).await;
        second.append(vec![result(1)]).await.expect("it is owned");
        let before = fleet.read("job", 0).await;
        drop(frozen);

        assert_eq!(first.append(vec![result(2)]).await, Err(OwnershipLost));
        assert_eq!(*first.state().borrow(), JobState::OwnershipLost);
        assert_eq!(second.committed_results, [result(0)]);
        assert_eq!(fleet.read("job", 0).await, before);
    });
}

/// The next batch job that a store owns, while clients go on to read.
async fn eventually_owned(fleet: &mut Fleet) -> store_plane::OwnedJob {
    fleet.read("job", 0).await;
    fleet.next_owned().await
}

#[test]
fn given_batch_jobs_past_their_time_when_only_one_is_ended_then_only_that_one_is_dropped() {
    in_runtime(async {
        let mut fleet = Fleet::start_with(3, Duration::ZERO);
        for id in ["open", "ended"] {
            fleet.submit_until_accepted(id).await;
            fleet.next_owned().await.append(vec![result(0)]).await.expect("it is owned");
        }

        eventually("the batch job is ended, and may be dropped at once", || async {
            (fleet.client.end("ended".into()).await != EndOutcome::Unknown).then_some(())
        })
        .await;
        is_dropped(&fleet, "ended").await;
        (0..3).for_each(|index| fleet.kill(index));
        (0..3).for_each(|index| fleet.restart(index));

        assert_eq!(fleet.read("open", 0).await.next, 1);
        is_dropped(&fleet, "ended").await;
    });
}

/// Waits until a majority knows nothing of a batch job.
async fn is_dropped(fleet: &Fleet, id: &str) {
    eventually("the batch job is dropped", || async {
        let read = fleet.client.read(id.into(), 0, Duration::ZERO).await;
        (read == ReadOutcome::NoSuchJob).then_some(())
    })
    .await;
}
