//! Which stores keep a batch job.

use std::collections::HashSet;

use register::{Incarnation, Member};
use state::{StoreMember, StoreSet};
use store_plane::copies_of;

fn set_of(members: u64, zones: u64) -> StoreSet {
    let member = |number: u64| StoreMember {
        member: Member {
            station: format!("vault-{number}"),
            incarnation: Incarnation(number),
            address: format!("10.0.0.{number}:1"),
        },
        zone: format!("zone-{}", number % zones),
    };
    StoreSet { epoch: 1, members: (0..members).map(member).collect(), copies: 3, wanted: 3 }
}

fn stations(set: &StoreSet, job: &str) -> Vec<String> {
    copies_of(set, job).iter().map(|store| store.member.station.clone()).collect()
}

#[test]
fn given_several_zones_when_copies_are_chosen_then_each_is_in_another() {
    let set = set_of(9, 3);

    for number in 0..200 {
        let job = format!("job-{number}");
        let zones: HashSet<_> = copies_of(&set, &job).iter().map(|store| store.zone.clone()).collect();
        assert_eq!(zones.len(), 3, "{job}");
    }
}

#[test]
fn given_fewer_stores_than_copies_when_chosen_then_all_keep_it() {
    assert_eq!(stations(&set_of(2, 1), "job").len(), 2);
}

#[test]
fn given_a_replaced_disk_and_address_when_chosen_then_the_copies_stay() {
    let set = set_of(9, 3);
    let mut replaced = set.clone();
    for store in &mut replaced.members {
        store.member.incarnation = Incarnation(store.member.incarnation.0 + 100);
        store.member.address = "10.9.9.9:1".to_owned();
    }

    for number in 0..200 {
        let job = format!("job-{number}");
        assert_eq!(stations(&set, &job), stations(&replaced, &job));
    }
}

#[test]
fn given_many_batch_jobs_when_placed_then_all_stores_keep_about_as_many() {
    let set = set_of(5, 1);
    let mut kept = std::collections::HashMap::new();
    for number in 0..5000 {
        for station in stations(&set, &format!("{number:016x}")) {
            *kept.entry(station).or_insert(0) += 1;
        }
    }

    assert!(kept.len() == 5 && kept.values().all(|count| (2700..3300).contains(count)), "{kept:?}");
}

#[test]
fn given_batch_jobs_with_the_same_copies_when_placed_then_they_share_their_order() {
    let set = set_of(3, 1);
    let first = stations(&set, "job");
    assert_eq!(first.len(), 3);
    for number in 0..200 {
        assert_eq!(stations(&set, &format!("job-{number}")), first);
    }
}

#[test]
fn given_more_stores_than_copies_when_placed_then_any_two_stand_in_one_order() {
    let set = set_of(5, 1);
    let mut before = HashSet::new();
    for number in 0..2000 {
        let order = stations(&set, &format!("{number:016x}"));
        for (at, earlier) in order.iter().enumerate() {
            before.extend(order[at + 1..].iter().map(|later| (earlier.clone(), later.clone())));
        }
    }
    assert!(before.iter().all(|(earlier, later)| !before.contains(&(later.clone(), earlier.clone()))));
}
