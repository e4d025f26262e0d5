//! Lists of servers and what a change of them moves.

mod common;

use balancer::*;
use common::*;

/// Two nodes of the same seed hear the same, one of them by changes and the other by complete lists: they send alike.
#[test]
fn deltas_give_the_same_table_as_snapshots() {
    let mut repeats = 0;
    for seed in 0..24 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut settings = one_class(keyed(DeduplicationScope::Zone, 500.0));
        (settings.nodes, settings.zone) = (1 + random.usize(..100), 1);
        settings.node_index = random.usize(..settings.nodes);
        let mut by_changes = Node::new(settings.clone(), seed);
        let mut by_lists = Node::new(settings, seed);
        let mut fleet = ready(0..400);
        for entry in &mut fleet {
            // Some keys are the same: then the number decides.
            (entry.zone, entry.key) = (random.usize(..3), random.u64(..300));
        }
        by_changes.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(fleet.clone())));
        by_lists.servers(fleet.clone());
        for round in 0..60_u64 {
            let most = if random.u8(..10) == 0 { 400 } else { 4 };
            let mut changed = Vec::new();
            for _ in 0..random.usize(..=most) {
                let entry = &mut fleet[random.usize(..400)];
                let states = [Availability::Ready, Availability::Draining, Availability::Removed];
                match random.u8(..6) {
                    0 => entry.zone = random.usize(..3),
                    1 => entry.key = random.u64(..300),
                    2 => entry.started_at = Some(round as f64),
                    _ => entry.availability = states[random.usize(..3)],
                }
                changed.push(entry.clone());
            }
            by_changes.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(changed)));
            let listed = fleet.iter().filter(|entry| entry.availability != Availability::Removed);
            by_lists.servers(listed.cloned().collect());
            for id in round * 8..round * 8 + 8 {
                let sent = by_changes.request(id, 0, 800.0);
                assert_eq!(sent, by_lists.request(id, 0, 800.0), "seed {seed}, request {id}");
                if send_of(&sent).is_none() {
                    continue;
                }
                let outcome = if id % 3 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Served };
                let held = Some(random.u8(..6).into());
                let further = by_changes.report(id, 0, 20.0, outcome, held);
                assert_eq!(further, by_lists.report(id, 0, 20.0, outcome, held), "seed {seed}, request {id}");
                repeats += usize::from(send_of(&further).is_some());
                for node in [&mut by_changes, &mut by_lists] {
                    node.end(id, 1, 20.0, AttemptOutcome::Served);
                    node.now += 10.0;
                }
            }
        }
    }
    assert!(repeats > 1_000, "{repeats} repeats are too few to mean much");
}

/// Only so many are offered to a request that may have run; what its group allows is found all round the ring.
#[test]
fn a_repeat_finds_the_one_server_of_its_group() {
    let mut settings = one_class(keyed(DeduplicationScope::Cell, 500.0));
    settings.nodes = 2_000;
    for seed in 0..20 {
        let mut node = Node::new(settings.clone(), seed);
        let mut entries = ready(0..4_000);
        // Cells of two: each server has its fellow in the other zone, half the ring away.
        let cell = |i: usize| if i < 2_000 { i } else { (i + 1_000) % 2_000 };
        entries.iter_mut().enumerate().for_each(|(i, e)| (e.cell, e.zone) = (cell(i), i / 2_000));
        node.servers(entries);
        let first = node.sent_to(1);
        let second = send_of(&node.end(1, 0, 5.0, AttemptOutcome::Error)).expect("its fellow is ready");
        assert!(second != first && cell(second) == cell(first), "{first}, then {second}");
    }
}

/// Beyond some hundreds of servers a request sees a window of them. All have their turn, as evenly as if seen at
/// once.
#[test]
fn a_window_of_a_large_fleet_goes_round() {
    let mut node =
        Node::new(DecisionSettings::new(vec![RequestClass::new(40_000.0, 80_000.0, Idempotency::Safe)]), 1);
    node.servers(ready(0..700));
    let mut sends = [0; 700];
    (0..7_000).for_each(|id| sends[node.sent_to(id)] += 1);
    let (least, most) = (sends.iter().min(), sends.iter().max());
    assert!(least >= Some(&8) && most <= Some(&12), "{least:?} to {most:?} of ten each");
}
