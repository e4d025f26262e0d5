//! The output cache: which outputs are found and which are evicted, and the version rules of outputs.

use std::collections::BTreeSet;

use batch::{ItemOutline, JobOutline};
use bytes::Bytes;
use store_plane::runner::output_cache::{satisfies_version_rules, CachedOutput, OutputCache};
use store_plane::runner::ports::{ItemProgress, JobAddress};
use yare::parameterized;

fn address() -> JobAddress {
    JobAddress { host: "a.example".into(), path: "/job".into(), model: Some("m".into()), oldest_version: 1 }
}

fn item(id: usize) -> ItemOutline {
    let submission = format!(r#"{{"parcels":[{{"id":"item{id}","lane":"/generate","payload":"AAAA"}}]}}"#);
    let job = JobOutline::parse(submission.as_bytes()).expect("the job is valid");
    job.items[0].clone()
}

fn output(bytes: usize) -> CachedOutput {
    let progress = ItemProgress { events: vec![Bytes::from(vec![b'x'; bytes])], ..ItemProgress::default() };
    CachedOutput { progress, is_complete: true, grade: None }
}

#[test]
fn given_more_outputs_than_memory_when_cached_then_the_oldest_are_evicted() {
    let mut cache = OutputCache::new(10_000);

    for id in 0..20 {
        cache.insert(&address(), &item(id), output(1_000));
    }

    assert_eq!(cache.get(&address(), &item(0)), None);
    assert_eq!(cache.get(&address(), &item(19)), Some(&output(1_000)));
}

#[test]
fn given_an_output_that_is_replaced_often_when_looked_up_then_the_newest_is_returned_and_counted_once() {
    let mut cache = OutputCache::new(10_000);
    cache.insert(&address(), &item(0), output(10));

    for bytes in 0..100 {
        cache.insert(&address(), &item(1), output(1_000 + bytes));
    }

    assert_eq!(cache.get(&address(), &item(0)), Some(&output(10)));
    assert_eq!(cache.get(&address(), &item(1)), Some(&output(1_099)));
}

#[test]
fn given_an_output_larger_than_the_cache_when_inserted_then_it_is_not_cached() {
    let mut cache = OutputCache::new(100);

    cache.insert(&address(), &item(0), output(1_000));

    assert_eq!(cache.get(&address(), &item(0)), None);
}

#[test]
fn given_a_cached_output_when_looked_up_for_another_host_then_it_is_not_found() {
    let mut cache = OutputCache::new(10_000);
    cache.insert(&address(), &item(0), output(10));

    let other = JobAddress { host: "b.example".into(), ..address() };

    assert_eq!(cache.get(&other, &item(0)), None);
}

#[parameterized(
    one = { &[3], 3, true, true },
    one_too_old = { &[2], 3, true, false },
    several = { &[3, 4], 3, false, true },
    several_where_one_is_required = { &[3, 4], 3, true, false },
    one_of_several_too_old = { &[2, 4], 3, false, false },
    none = { &[], 3, true, true },
)]
fn given_the_versions_of_an_output_when_checked_then_the_version_rules_apply(
    generated_by: &[u64],
    oldest: u64,
    single_version: bool,
    expected: bool,
) {
    let versions: BTreeSet<u64> = generated_by.iter().copied().collect();

    assert_eq!(satisfies_version_rules(&versions, oldest, single_version), expected);
}

#[test]
fn given_a_replaced_output_when_memory_runs_out_then_its_age_counts_from_the_replacement() {
    let mut cache = OutputCache::new(10_000);
    cache.insert(&address(), &item(0), output(1_000));
    cache.insert(&address(), &item(1), output(1_000));
    cache.insert(&address(), &item(0), output(1_000));

    for id in 2..8 {
        cache.insert(&address(), &item(id), output(1_000));
    }

    assert_eq!(cache.get(&address(), &item(1)), None);
    assert_eq!(cache.get(&address(), &item(0)), Some(&output(1_000)));
}
