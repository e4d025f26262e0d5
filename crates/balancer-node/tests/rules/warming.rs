//! The load limit of servers that are warming up.

use std::collections::BTreeMap;

use balancer::*;

use crate::common::*;

/// A warming server reports an empty queue and would attract all requests. A single node with most of the
/// traffic must keep to the load limit that applies to all nodes together.
#[test]
fn a_warming_server_is_not_sent_more_than_its_load_limit() {
    let mut settings = one_class(Idempotency::Safe);
    settings.nodes = 3;
    settings.warmup_initial_fraction = 0.3;
    settings.warmup_ms = 9_000.0;
    settings.warmup_overload_factor = 2.5;
    settings.warmup_overload_ms = 3_000.0;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..10));
    let mut server_of = BTreeMap::new();
    let mut warming_sends = Vec::new();
    for id in 0..3_000 {
        if id == 1_500 {
            let mut entries = ready(0..11);
            entries[10].started_at = Some(node.now);
            node.set_servers(entries);
        }
        server_of.insert(id, node.sent_to(id));
        if server_of[&id] == 10 {
            warming_sends.push(node.now);
        }
        node.now += 4.0;
        if id >= 10 {
            // The warming server answers fast and reports almost no requests in flight.
            let warming = server_of[&(id - 10)] == 10;
            let in_flight = if warming { 0.1 * (id % 2) as f64 } else { (300 + id % 2) as f64 };
            let elapsed = if warming { 10.0 } else { 40.0 };
            node.end_with_load(id - 10, 0, elapsed, AttemptOutcome::Served, Some(in_flight));
        }
    }
    // Ten servers serve 250 requests per second. The capacity of the warming one begins at 0.3 of a tenth of
    // that.
    let start = 1_000.0 + 1_500.0 * 4.0;
    for window in 0..6 {
        let from = start + f64::from(window) * 500.0;
        let sent = warming_sends.iter().filter(|t| (from..from + 3_000.0).contains(*t)).count() as f64;
        let capacity = 25.0 * 3.0 * (0.3 + 0.7 * (from + 3_000.0 - start) / 9_000.0);
        assert!(sent < 2.5 * capacity, "{sent} sends in window {window}, capacity {capacity}");
    }
    assert!(!warming_sends.is_empty(), "the warming server got no request");
}

/// A node that has just restarted gets the start times of servers from the server list only.
#[test]
fn a_restarted_node_limits_requests_to_warming_servers() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.warmup_initial_fraction, settings.warmup_ms) = (0.3, 9_000.0);
    (settings.warmup_overload_factor, settings.warmup_overload_ms) = (2.5, 3_000.0);
    let mut node = Node::new(settings, 1);
    let mut entries = ready(0..2);
    entries[1].started_at = Some(node.now - 100.0);
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::CachedSnapshot(entries)));
    let to_warming = (0..40).filter(|id| send_of(&node.request(*id, 0, 800.0)) == Some(1)).count();
    // At full capacity, each of the two servers would get twenty requests.
    assert!(to_warming as f64 <= 2.5 * 0.3 * 20.0, "{to_warming} of 40 sent to the warming server");
}

/// Incidents ie11f3d and ia94218: each node could send at least one request per window to a warming server,
/// so hundreds of nodes together overloaded it. The limit applies to the sum over all nodes.
#[test]
fn hundreds_of_nodes_together_do_not_exceed_the_load_limit_of_a_warming_server() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (400, 1);
    (settings.warmup_initial_fraction, settings.warmup_ms) = (0.2, 20_000.0);
    (settings.warmup_overload_factor, settings.warmup_overload_ms) = (2.5, 1_500.0);
    let (mut to_warming, mut sent) = (0, 0);
    for node_index in 0..400 {
        settings.node_index = node_index;
        let mut node = Node::new(settings.clone(), node_index as u64);
        let mut entries = ready(0..10);
        entries[7].started_at = Some(node.now);
        node.set_servers(entries);
        for id in 0..30 {
            node.now += 50.0;
            let server = node.sent_to(id);
            node.end_with_load(id, 0, 40.0, AttemptOutcome::Served, Some(1.0));
            sent += 1;
            to_warming += usize::from(server == 7);
        }
    }
    // A warm server gets a tenth of all requests. The warming one has slightly more than a fifth of its
    // capacity.
    let even_share = f64::from(sent) / 10.0;
    assert!(
        (to_warming as f64) < 2.5 * 0.2 * even_share,
        "{to_warming} sent to the warming server, {even_share} to a warm one"
    );
    assert!(to_warming > 0, "the warming server got no request");
}
