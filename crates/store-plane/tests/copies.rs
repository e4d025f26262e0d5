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
    StoreSet { epoch: 1, members: (0..members).map(member).collect(), copies: 3 }
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
fn given_many_batch_jobs_when_placed_then_all_stores_come_first_about_as_often() {
    let set = set_of(5, 1);
    let mut first = std::collections::HashMap::new();
    for number in 0..5000 {
        *first.entry(stations(&set, &format!("{number:016x}"))[0].clone()).or_insert(0) += 1;
    }

    assert!(first.len() == 5 && first.values().all(|count| (800..1200).contains(count)), "{first:?}");
}
