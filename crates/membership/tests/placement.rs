//! Tests of placement by rendezvous hashing and of the assignment of monitors.

use std::collections::BTreeSet;

use membership::{hash, monitored_by, monitors, rendezvous};
use yare::parameterized;

/// Number of keys that are placed.
const KEYS: u64 = 20_000;

fn member_names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("vault-bandung-{}-{index}", index % 3)).collect()
}

fn key(index: u64) -> Vec<u8> {
    format!("{index:016x}").into_bytes()
}

#[parameterized(
    empty = { "", 0x2d06_8005_38d3_94c2 },
    name = { "vault-bandung-a-1", 0x3b7c_5a56_b672_a485 },
)]
fn given_a_text_when_hashed_then_the_hash_equals_the_pinned_value(text: &str, expected: u64) {
    assert_eq!(hash(text.as_bytes()), expected, "{:#x}", hash(text.as_bytes()));
}

#[test]
fn given_members_in_any_order_when_ranked_then_the_ranking_is_the_same() {
    let mut random = fastrand::Rng::with_seed(1);
    let members = member_names(9);
    let mut shuffled = members.clone();
    for index in 0..100 {
        random.shuffle(&mut shuffled);
        assert_eq!(rendezvous(&key(index), &members, 4), rendezvous(&key(index), &shuffled, 4));
    }
}

#[test]
fn given_two_counts_when_ranked_then_the_shorter_ranking_is_a_prefix_of_the_longer() {
    let members = member_names(9);
    for index in 0..100 {
        let all = rendezvous(&key(index), &members, 20);
        assert_eq!(all.len(), 9);
        assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), 9);
        assert_eq!(rendezvous(&key(index), &members, 3), all[..3]);
    }
}

#[parameterized(few = { 3, 1 }, some = { 7, 2 }, many = { 40, 4 })]
fn given_many_keys_when_placed_then_all_members_get_equal_shares(count: usize, replicas: usize) {
    let members = member_names(count);
    let mut placed = vec![0_u64; count];
    for index in 0..KEYS {
        for member in rendezvous(&key(index), &members, replicas) {
            let position = members.iter().position(|name| name == member).expect("a ranked name is a member");
            placed[position] += 1;
        }
    }
    let mean = (KEYS * replicas as u64) as f64 / count as f64;
    for share in placed {
        let deviation = (share as f64 - mean).abs() / mean;
        assert!(deviation < 0.12, "a member has {share} keys, the mean is {mean}");
    }
}

#[test]
fn given_a_member_leaves_when_ranked_again_then_the_others_keep_their_order() {
    let members = member_names(8);
    for removed_index in 0..members.len() {
        let mut rest = members.clone();
        let removed = rest.remove(removed_index);
        for index in 0..200 {
            let mut before = rendezvous(&key(index), &members, 8);
            before.retain(|member| **member != removed);
            assert_eq!(before, rendezvous(&key(index), &rest, 8));
        }
    }
}

#[test]
fn given_a_member_joins_when_placed_again_then_only_its_fair_share_moves() {
    let before = member_names(9);
    let after = member_names(10);
    let mut moved = 0;
    for index in 0..KEYS {
        let old = rendezvous(&key(index), &before, 1)[0];
        let new = rendezvous(&key(index), &after, 1)[0];
        if old != new {
            assert_eq!(new, &after[9], "keys move only to the new member");
            moved += 1;
        }
    }
    let share = moved as f64 / KEYS as f64;
    assert!((0.09..0.11).contains(&share), "{share} of all keys moved");
}

#[parameterized(small = { 11 }, middle = { 100 }, large = { 400 })]
fn given_any_number_of_members_when_monitors_are_assigned_then_the_peers_per_monitor_are_bounded(
    count: usize,
) {
    let members = member_names(count);
    let mut max_monitored = 0;
    let mut sum = 0;
    for member in &members {
        let monitoring = monitors(member, &members, 3);
        assert_eq!(monitoring.len(), 3);
        assert!(!monitoring.contains(&member));
        let monitored = monitored_by(member, &members, 3);
        max_monitored = max_monitored.max(monitored.len());
        sum += monitored.len();
    }
    assert_eq!(sum, count * 3);
    assert!(max_monitored <= 12, "one member monitors {max_monitored} peers");
}

#[test]
fn given_monitors_and_monitored_by_when_compared_then_they_agree() {
    let members = member_names(17);
    for member in &members {
        for other in &members {
            let is_monitored = monitors(member, &members, 3).contains(&other);
            assert_eq!(is_monitored, monitored_by(other, &members, 3).contains(&member));
        }
    }
}

#[parameterized(alone = { 1, 0 }, pair = { 2, 1 }, three = { 3, 2 })]
fn given_few_members_when_monitors_are_assigned_then_all_others_monitor(count: usize, expected: usize) {
    let members = member_names(count);
    assert_eq!(monitors(&members[0], &members, 3).len(), expected);
    assert_eq!(monitored_by(&members[0], &members, 3).len(), expected);
}

#[test]
fn given_no_members_when_ranked_then_the_ranking_is_empty() {
    let none: [&str; 0] = [];
    assert!(rendezvous(b"key", &none, 3).is_empty());
}
