//! The array of queue lengths.

use std::collections::BTreeSet;

use hsq::QueueLengths;
use yare::parameterized;

fn reported(reports: &[u64]) -> QueueLengths {
    let mut lengths = QueueLengths::new();
    for report in reports {
        let server = lengths.add();
        lengths.overwrite(server, *report);
    }
    lengths
}

#[parameterized(
    one = {&[4], 0},
    last = {&[4, 3, 1], 2},
    first = {&[0, 3, 1], 0},
)]
fn given_queue_lengths_when_asked_then_the_shortest_is_chosen(reports: &[u64], shortest: usize) {
    let lengths = reported(reports);
    assert_eq!(lengths.shortest(0..reports.len()), Some(shortest));
}

#[test]
fn given_no_servers_when_asked_then_none_is_chosen() {
    assert_eq!(QueueLengths::new().shortest([]), None);
}

#[test]
fn given_a_tie_when_asked_often_then_each_is_chosen() {
    let lengths = reported(&[2, 2, 5, 2]);
    let chosen: BTreeSet<_> = (0..400).filter_map(|_| lengths.shortest(0..4)).collect();
    assert_eq!(chosen, BTreeSet::from([0, 1, 3]));
}

#[test]
fn given_a_tie_when_one_is_preferred_then_it_wins_but_never_against_a_shorter_queue() {
    let lengths = reported(&[2, 2, 1]);
    assert_eq!(lengths.shortest_preferring([(0, 1), (1, 0)]), Some(1));
    assert_eq!(lengths.shortest_preferring([(0, 1), (1, 0), (2, 1)]), Some(2));
}

#[test]
fn given_increments_when_a_report_comes_then_it_overwrites_that_length_alone() {
    let mut lengths = reported(&[3, 3]);
    lengths.increment(0);
    lengths.increment(0);
    lengths.increment(1);
    lengths.overwrite(0, 1);
    assert_eq!((lengths.get(0), lengths.get(1)), (1, 4));
}

#[parameterized(
    none = {&[], 0},
    rounded_down = {&[1, 2, 1], 1},
    rounded_up = {&[4, 9], 7},
)]
fn given_others_when_a_server_is_added_then_it_starts_at_their_mean(reports: &[u64], start: u64) {
    let mut lengths = reported(reports);
    let server = lengths.add();
    assert_eq!(lengths.get(server), start);
}

#[test]
fn given_a_removed_server_when_one_is_added_then_its_index_is_used_again() {
    let mut lengths = reported(&[9, 2]);
    lengths.remove(0);
    assert_eq!(lengths.add(), 0);
    assert_eq!(lengths.get(0), 2);
}
