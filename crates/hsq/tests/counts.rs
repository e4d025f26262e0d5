//! The array of counts.

use std::collections::BTreeSet;

use hsq::Counts;
use yare::parameterized;

fn counts_of(reports: &[u64]) -> Counts {
    let mut counts = Counts::new();
    for report in reports {
        let slot = counts.add();
        counts.report(slot, *report);
    }
    counts
}

#[parameterized(
    one = {&[4], 0},
    last = {&[4, 3, 1], 2},
    first = {&[0, 3, 1], 0},
)]
fn given_counts_when_asked_then_the_lowest_is_chosen(reports: &[u64], lowest: usize) {
    let counts = counts_of(reports);
    assert_eq!(counts.lowest(0..reports.len()), Some(lowest));
}

#[test]
fn given_no_servers_when_asked_then_none_is_chosen() {
    assert_eq!(Counts::new().lowest([]), None);
}

#[test]
fn given_a_tie_when_asked_often_then_each_is_chosen() {
    let counts = counts_of(&[2, 2, 5, 2]);
    let chosen: BTreeSet<_> = (0..400).filter_map(|_| counts.lowest(0..4)).collect();
    assert_eq!(chosen, BTreeSet::from([0, 1, 3]));
}

#[test]
fn given_a_tie_when_one_is_preferred_then_it_wins_but_never_against_a_lower_count() {
    let counts = counts_of(&[2, 2, 1]);
    assert_eq!(counts.lowest_preferring([(0, 1), (1, 0)]), Some(1));
    assert_eq!(counts.lowest_preferring([(0, 1), (1, 0), (2, 1)]), Some(2));
}

#[test]
fn given_sends_when_a_report_comes_then_it_overwrites_that_count_alone() {
    let mut counts = counts_of(&[3, 3]);
    counts.sent(0);
    counts.sent(0);
    counts.sent(1);
    counts.report(0, 1);
    assert_eq!((counts.count(0), counts.count(1)), (1, 4));
}

#[parameterized(
    none = {&[], 0},
    rounded_down = {&[1, 2, 1], 1},
    rounded_up = {&[4, 9], 7},
)]
fn given_others_when_a_server_is_added_then_it_starts_at_their_mean(reports: &[u64], start: u64) {
    let mut counts = counts_of(reports);
    let slot = counts.add();
    assert_eq!(counts.count(slot), start);
}

#[test]
fn given_a_removed_server_when_one_is_added_then_its_slot_is_used_again() {
    let mut counts = counts_of(&[9, 2]);
    counts.remove(0);
    assert_eq!(counts.add(), 0);
    assert_eq!(counts.count(0), 2);
}
