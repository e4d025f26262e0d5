//! Servers that drain, are removed, fail or report nonsense, and the subscription to their list.

use balancer::*;

use crate::common::*;

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.set_servers(ready(0..3));
    let mut entry = ServerEntry::new(ServerId(0), Availability::Draining);
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![entry.clone()])));
    entry.server = ServerId(1);
    entry.availability = Availability::Removed;
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![entry])));
    assert!((0..20).all(|id| node.sent_to(id) == 2));
    // A complete list without the last ready server removes it.
    node.set_servers(ready(3..4));
    assert!((20..40).all(|id| node.sent_to(id) == 3));
}

/// A removed server stays in the table of servers until its last attempt has ended; later results of probes
/// at it are ignored. A keyed request is still retried only in the cell of its first attempt, although the
/// server of that attempt is no longer in the table.
#[test]
fn a_removed_server_is_dropped_after_its_last_attempt_and_retries_stay_in_its_cell() {
    let cell = |i, cell| ServerEntry { cell, ..ServerEntry::new(ServerId(i), Availability::Ready) };
    let mut node = Node::new(one_class(keyed(DeduplicationScope::Cell, 500.0)), 1);
    node.set_servers(vec![cell(0, 7)]);
    assert_eq!((node.sent_to(1), node.sent_to(2)), (0, 0));
    node.set_servers(vec![cell(1, 8), cell(2, 7)]);
    assert_eq!(send_of(&node.end_with_load(1, 0, 50.0, AttemptOutcome::Reset, Some(3.0))), Some(2));
    assert_eq!(send_of(&node.end_with_load(2, 0, 50.0, AttemptOutcome::Reset, Some(3.0))), Some(2));
    let report = Some(LoadReport { in_flight: Some(9.0), queued: None });
    node.feed(BalancerEvent::ProbeEnded { server: ServerId(0), outcome: AttemptOutcome::Served, report });
    node.end(1, 1, 50.0, AttemptOutcome::Served);
    let removed = ServerEntry { availability: Availability::Removed, ..cell(2, 7) };
    node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(vec![removed])));
    assert!(failed(&node.end(2, 1, 50.0, AttemptOutcome::Reset)));
}

#[test]
fn a_node_subscribes_at_once_and_again_after_each_failure() {
    let mut settings = one_class(Idempotency::Safe);
    settings.discovery = DiscoveryMode::Subscribe;
    settings.max_poll_interval_ms = 10_000.0;
    let mut node = Node::new(settings, 1);
    let actions = node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::CachedSnapshot(ready(0..2))));
    assert_eq!(actions, [BalancerAction::Subscribe]);
    let mut waits = Vec::new();
    for call in 0..8 {
        let actions = node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
        let logged = actions.iter().filter(|a| matches!(a, BalancerAction::Log(_))).count();
        assert_eq!(logged, usize::from(call == 0), "only the first failure in a row is logged: {actions:?}");
        let [.., BalancerAction::SetTimer { timer, after_ms }] = actions[..] else { panic!("{actions:?}") };
        assert!(
            node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable)).is_empty(),
            "a second failure before the retry leads to no action"
        );
        waits.push(after_ms);
        node.now += after_ms;
        assert_eq!(node.feed(BalancerEvent::TimerFired(timer)), [BalancerAction::Subscribe]);
        assert!(
            node.feed(BalancerEvent::TimerFired(timer)).is_empty(),
            "a second firing of the same timer is ignored"
        );
    }
    assert!(
        waits[0] < waits[4] && waits.iter().all(|w| *w <= 2_500.0),
        "times in ms until the next call: {waits:?}"
    );
    let list = || BalancerEvent::EndpointsUpdated(EndpointUpdate::Snapshot(ready(0..2)));
    let logged = node.feed(list());
    assert!(matches!(logged[..], [BalancerAction::Log(_)]), "the recovery is logged: {logged:?}");
    assert!(node.feed(list()).is_empty(), "the recovery is logged once");
}

/// A server that fails quickly reports a short queue and would attract more requests.
#[test]
fn failures_eject_a_server_and_a_success_ends_the_ejection() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.set_servers(ready(0..4));
    let sends_to_first_server = |node: &mut Node, from: u64, faulty: bool| {
        let mut sent = 0;
        for id in from..from + 400 {
            let server = node.sent_to(id);
            node.now += 10.0;
            sent += usize::from(server == 0);
            if faulty && server == 0 {
                let retry = node.end_with_load(id, 0, 2.0, AttemptOutcome::Error, Some(0.0));
                let attempt = usize::from(send_of(&retry).is_some());
                node.end(id, attempt, 30.0, AttemptOutcome::Served);
            } else {
                node.end(id, 0, 30.0, AttemptOutcome::Served);
            }
        }
        sent
    };
    assert!(sends_to_first_server(&mut node, 0, false) > 50);
    assert!(sends_to_first_server(&mut node, 1_000, true) < 25, "the failing server was not ejected");
    sends_to_first_server(&mut node, 2_000, false);
    node.now += 10_000.0;
    sends_to_first_server(&mut node, 2_500, false);
    assert!(sends_to_first_server(&mut node, 3_000, false) > 50, "the server is still ejected");
}

/// A server that accepts requests but answers none must soon get no more of them.
#[test]
fn an_unresponsive_server_is_avoided() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.set_servers(ready(0..4));
    let mut unanswered = 0;
    for id in 0..600 {
        let server = send_of(&node.request(id, 0, 800.0));
        node.now += 10.0;
        if id > 200 && server == Some(0) {
            unanswered += 1;
        } else if server.is_some() {
            node.end_with_load(id, 0, 30.0, AttemptOutcome::Served, Some((1 + id % 3) as f64));
        }
    }
    assert!(unanswered < 12, "{unanswered} requests were sent to the unresponsive server");
}

/// If a report of an impossible number of requests were used, the server would never be selected again.
#[test]
fn an_implausible_report_changes_no_count() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.set_servers(ready(0..2));
    let mut sent = [0; 2];
    for id in 1..=40 {
        let server = node.sent_to(id);
        sent[server] += 1;
        node.end_with_load(
            id,
            0,
            20.0,
            AttemptOutcome::Served,
            Some(if server == 0 { 1e300 } else { f64::INFINITY }),
        );
    }
    assert_eq!(sent, [20, 20]);
}

/// What discovery has published counts as announced to the node, even if the push failed. The node must ask
/// again within the drain grace.
#[test]
fn a_failed_push_is_retried_within_the_drain_grace() {
    for (grace, max_delay) in [(2_000.0, 500.0), (1_000.0, 250.0), (0.0, 50.0)] {
        let mut settings = one_class(Idempotency::Safe);
        settings.drain_grace_ms = grace;
        let mut node = Node::new(settings, 1);
        node.set_servers(ready(0..1));
        for _ in 0..12 {
            let actions = node.feed(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
            let after = |a: &BalancerAction| {
                if let BalancerAction::SetTimer { after_ms, .. } = a {
                    Some(*after_ms)
                } else {
                    None
                }
            };
            let after = actions.iter().find_map(after).expect("a timer for the retry");
            assert!(after > 0.0 && after <= max_delay, "retry after {after} ms, drain grace {grace} ms");
            node.now += after;
            assert_eq!(node.feed(BalancerEvent::TimerFired(0)), [BalancerAction::Subscribe]);
        }
    }
}

/// Events about unknown requests, servers and timers have no effect.
#[test]
fn events_with_unknown_ids_are_ignored() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.set_servers(ready(0..2));
    assert!(node.end(77, 0, 5.0, AttemptOutcome::Served).is_empty());
    assert!(node.feed(BalancerEvent::ClientDisconnected(RequestId(77))).is_empty());
    assert!(
        node.feed(BalancerEvent::TimerFired(0)).is_empty()
            && node.feed(BalancerEvent::TimerFired(5)).is_empty()
    );
    assert!(node.feed(BalancerEvent::StreamStarted { request: RequestId(7), attempt: 0 }).is_empty());
    let probed = BalancerEvent::ProbeEnded {
        server: ServerId(99),
        outcome: AttemptOutcome::Served,
        report: Some(LoadReport::default()),
    };
    assert!(node.feed(probed).is_empty());
    node.sent_to(1);
    assert!(
        node.end(1, 9, 5.0, AttemptOutcome::Error).is_empty(),
        "the end of an attempt that was never made is ignored"
    );
}
