//! Tests the steps between two sets of acceptors, and the order of issued ballots.

mod common;

use common::{member, member_with_disk, members};
use register::{is_single_step, next_step, same_members, with_member, without_member, Ballot, BallotSource};
use yare::parameterized;

#[parameterized(
    same_set_in_other_order = { &[0, 1, 2], &[2, 1, 0], true },
    added = { &[0, 1, 2], &[0, 1, 2, 3], true },
    removed = { &[0, 1, 2, 3], &[0, 1, 3], true },
    replaced = { &[0, 1, 2], &[0, 1, 3], true },
    two_replaced = { &[0, 1, 2], &[0, 3, 4], false },
    two_removed = { &[0, 1, 2, 3], &[0, 1], false },
    one_replaced_by_two = { &[0, 1, 2], &[0, 1, 3, 4], false },
    two_added = { &[0, 1, 2], &[0, 1, 2, 3, 4], false },
    last_one_removed = { &[0], &[], false },
    named_twice = { &[0, 1], &[0, 1, 1], false },
)]
fn given_two_sets_when_compared_then_only_single_steps_are_allowed(
    from: &[usize],
    to: &[usize],
    allowed: bool,
) {
    assert_eq!(is_single_step(&members(from), &members(to)), allowed);
}

#[test]
fn given_a_replaced_disk_when_stepped_then_one_step_replaces_the_old_incarnation_by_the_new_one() {
    let current = members(&[0, 1, 2]);
    let target = vec![member(0), member(1), member_with_disk(2, 30)];
    let step = next_step(&current, &target).expect("a step remains towards the target");
    assert!(is_single_step(&current, &step));
    assert!(same_members(&step, &target));
    assert_eq!(next_step(&step, &target), None);
}

#[test]
fn given_more_additions_than_removals_when_stepped_then_each_step_is_allowed_and_the_set_never_shrinks() {
    let target = members(&[0, 3, 4, 5]);
    let mut current = members(&[0, 1, 2]);
    let mut sizes = Vec::new();
    while let Some(step) = next_step(&current, &target) {
        assert!(is_single_step(&current, &step));
        sizes.push(step.len());
        current = step;
    }
    assert!(same_members(&current, &target));
    assert_eq!(sizes, [3, 3, 4]);
}

#[test]
fn given_one_acceptor_when_the_target_is_empty_then_it_is_not_removed() {
    assert_eq!(next_step(&members(&[0]), &[]), None);
}

#[test]
fn given_members_when_one_is_added_again_or_removed_then_no_member_is_named_twice() {
    let current = members(&[0, 1]);
    assert_eq!(with_member(&current, member(1)), current);
    assert_eq!(without_member(&current, member(0).incarnation), members(&[1]));
}

#[test]
fn given_observed_ballots_when_the_next_is_issued_then_it_is_higher_than_all_of_them() {
    let mut ballots = BallotSource::new(4);
    ballots.observe(Ballot { round: 8, proposer: 9 });
    ballots.observe(Ballot { round: 3, proposer: 9 });
    let first = ballots.next_ballot();
    assert!(first > Ballot { round: 8, proposer: 9 });
    assert!(ballots.next_ballot() > first);
}
