//! Unit tests of the prefix-cache affinity.

use std::sync::Arc;

use state::ServerId;

use super::{PrefixAffinity, MAX_GROUPS};

fn group(number: usize) -> Arc<str> {
    format!("group{number}").into()
}

#[test]
fn given_a_group_when_another_server_is_recorded_then_it_replaces_the_first() {
    let mut affinity = PrefixAffinity::default();
    assert_eq!(affinity.server("group0"), None);
    affinity.record(&group(0), &ServerId::from("a"));
    affinity.record(&group(0), &ServerId::from("b"));
    assert_eq!(affinity.server("group0"), Some(ServerId::from("b")));
}

#[test]
fn given_the_maximum_number_of_groups_when_one_is_added_then_the_first_recorded_is_evicted() {
    let mut affinity = PrefixAffinity::default();
    for number in 0..MAX_GROUPS {
        affinity.record(&group(number), &ServerId::from("a"));
    }
    // Recording a group again does not change its position in the order of eviction.
    affinity.record(&group(0), &ServerId::from("b"));
    affinity.record(&group(MAX_GROUPS), &ServerId::from("a"));
    assert_eq!(affinity.server("group0"), None);
    assert_eq!(affinity.server("group1"), Some(ServerId::from("a")));
    assert_eq!(affinity.server(&group(MAX_GROUPS)), Some(ServerId::from("a")));
}
