//! Tests of how the decisions apply server lists, and of the selection of servers from long lists.

mod common;

use balancer::*;
use common::*;

/// Two nodes with the same seed get the same servers, one as deltas and the other as snapshots. They must
/// return the same actions.
#[test]
fn deltas_and_snapshots_lead_to_the_same_decisions() {
    let mut retries = 0;
    for seed in 0..24 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut settings = one_class(keyed(DeduplicationScope::Zone, 500.0));
        (settings.nodes, settings.zone) = (1 + random.usize(..100), 1);
        settings.node_index = random.usize(..settings.nodes);
        let mut with_deltas = Node::new(settings.clone(), seed);
        let mut with_snapshots = Node::new(settings, seed);
        let mut fleet = ready(0..400);
        for entry in &mut fleet {
            // Some keys are equal, so that the order depends on the server ids.
            (entry.zone, entry.key) = (random.usize(..3), random.u64(..300));
        }
        with_deltas.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(fleet.clone())));
        with_snapshots.set_servers(fleet.clone());
        for round in 0..60_u64 {
            let max_changes = if random.u8(..10) == 0 { 400 } else { 4 };
            let mut changed = Vec::new();
            for _ in 0..random.usize(..=max_changes) {
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
            with_deltas.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(changed)));
            let listed = fleet.iter().filter(|entry| entry.availability != Availability::Removed);
            with_snapshots.set_servers(listed.cloned().collect());
            for id in round * 8..round * 8 + 8 {
                let sent = with_deltas.request(id, 0, 800.0);
                assert_eq!(sent, with_snapshots.request(id, 0, 800.0), "seed {seed}, request {id}");
                if send_of(&sent).is_none() {
                    continue;
                }
                let outcome = if id % 3 == 0 { AttemptOutcome::Error } else { AttemptOutcome::Served };
                let in_flight = Some(random.u8(..6).into());
                let actions = with_deltas.end_with_load(id, 0, 20.0, outcome, in_flight);
                assert_eq!(
                    actions,
                    with_snapshots.end_with_load(id, 0, 20.0, outcome, in_flight),
                    "seed {seed}, request {id}"
                );
                retries += usize::from(send_of(&actions).is_some());
                for node in [&mut with_deltas, &mut with_snapshots] {
                    node.end(id, 1, 20.0, AttemptOutcome::Served);
                    node.now += 10.0;
                }
            }
        }
    }
    assert!(retries > 1_000, "only {retries} retries were compared");
}

/// In a large fleet, only a part of the ring is considered for each request. The retry of a request that may
/// have run must still find the only server that its deduplication scope allows, wherever on the ring it is.
#[test]
fn a_retry_finds_the_only_other_server_of_its_cell() {
    let mut settings = one_class(keyed(DeduplicationScope::Cell, 500.0));
    settings.nodes = 2_000;
    for seed in 0..20 {
        let mut node = Node::new(settings.clone(), seed);
        let mut entries = ready(0..4_000);
        // The two servers of a cell are in different zones. Each zone has its own ring, on which their
        // positions are half a ring apart.
        let cell = |i: usize| if i < 2_000 { i } else { (i + 1_000) % 2_000 };
        entries.iter_mut().enumerate().for_each(|(i, e)| (e.cell, e.zone) = (cell(i), i / 2_000));
        node.set_servers(entries);
        let first = node.sent_to(1);
        let second =
            send_of(&node.end(1, 0, 5.0, AttemptOutcome::Error)).expect("a retry at the other server");
        assert!(
            second != first && cell(second) == cell(first),
            "first sent to server {first}, then to {second}"
        );
    }
}

/// In a large fleet, only a part of the ring is considered for each request. Its start must vary, so that all
/// servers are selected equally often.
#[test]
fn all_servers_of_a_large_fleet_are_selected_evenly() {
    let mut node =
        Node::new(DecisionSettings::new(vec![RequestClass::new(40_000.0, 80_000.0, Idempotency::Safe)]), 1);
    node.set_servers(ready(0..700));
    let mut sends = [0; 700];
    (0..7_000).for_each(|id| sends[node.sent_to(id)] += 1);
    let (least, most) = (sends.iter().min(), sends.iter().max());
    assert!(
        least >= Some(&8) && most <= Some(&12),
        "{least:?} to {most:?} requests per server, 10 on average"
    );
}
