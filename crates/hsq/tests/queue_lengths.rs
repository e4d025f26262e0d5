//! Tests of [`QueueLengths`].

use std::collections::BTreeSet;

use hsq::QueueLengths;
use yare::parameterized;

/// Returns queue lengths of one server per report, each overwritten by its report.
fn lengths_with_reports(reports: &[u64]) -> QueueLengths {
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
fn given_queue_lengths_when_selecting_then_the_shortest_is_selected(reports: &[u64], shortest: usize) {
    let lengths = lengths_with_reports(reports);
    assert_eq!(lengths.shortest(0..reports.len()), Some(shortest));
}

#[test]
fn given_no_servers_when_selecting_then_none_is_selected() {
    assert_eq!(QueueLengths::new().shortest([]), None);
}

#[test]
fn given_a_tie_when_selecting_repeatedly_then_each_tied_server_is_selected() {
    let lengths = lengths_with_reports(&[2, 2, 5, 2]);
    let selected: BTreeSet<_> = (0..400).filter_map(|_| lengths.shortest(0..4)).collect();
    assert_eq!(selected, BTreeSet::from([0, 1, 3]));
}

#[test]
fn given_a_preferred_server_when_selecting_then_it_wins_ties_but_loses_to_a_shorter_queue() {
    let lengths = lengths_with_reports(&[2, 2, 1]);
    assert_eq!(lengths.shortest_preferring([(0, 1), (1, 0)]), Some(1));
    assert_eq!(lengths.shortest_preferring([(0, 1), (1, 0), (2, 1)]), Some(2));
}

#[test]
fn given_increments_when_one_length_is_overwritten_then_only_that_length_changes() {
    let mut lengths = lengths_with_reports(&[3, 3]);
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
fn given_servers_with_reports_when_another_is_added_then_its_length_starts_at_their_mean(
    reports: &[u64],
    expected: u64,
) {
    let mut lengths = lengths_with_reports(reports);
    let server = lengths.add();
    assert_eq!(lengths.get(server), expected);
}

#[test]
fn given_a_removed_server_when_another_is_added_then_it_reuses_the_index() {
    let mut lengths = lengths_with_reports(&[9, 2]);
    lengths.remove(0);
    assert_eq!(lengths.add(), 0);
    assert_eq!(lengths.get(0), 2);
}
