//! Rules that every node must obey, in edge cases and in generated sequences of events with a checker.
//!
//! The checker asserts that each request gets one final answer in time, that drained servers get no new
//! requests, that a request is sent twice only if its class allows it, that a request is rejected only if a
//! retry by the client is safe, and that attempts, cancellations and probes comply with the settings.

mod common;
use common::*;

use std::collections::BTreeMap;

use balancer::*;

#[test]
fn requests_are_rejected_at_once_if_there_are_no_servers() {
    for idempotency in [Idempotency::Safe, keyed(DeduplicationScope::Cell, 500.0), Idempotency::Unsafe] {
        let mut node = Node::new(one_class(idempotency), 1);
        assert!(rejected(&node.request(1, 0, 100.0)), "a request that was never sent was not rejected");
        node.set_servers(Vec::new());
        assert!(rejected(&node.request(2, 0, 100.0)));
    }
}

#[test]
fn a_request_of_an_unknown_class_fails() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.set_servers(ready(0..2));
    assert!(failed(&node.request(1, 7, 100.0)));
}

/// The hint is the expected latency (100 ms without samples), at most the limit of the settings. If the
/// settings have no limit, no hint is allowed.
#[test]
fn a_rejection_has_a_retry_hint_if_the_settings_allow_one() {
    for (max, hint) in [(None, None), (Some(400.0), Some(100.0)), (Some(30.0), Some(30.0))] {
        let mut settings = one_class(Idempotency::Safe);
        settings.max_retry_after_ms = max;
        let mut node = Node::new(settings, 1);
        let rejection = BalancerAction::Reject { request: RequestId(1), retry_after_ms: hint };
        assert_eq!(node.request(1, 0, 800.0), [rejection]);
        node.set_servers(ready(0..2));
        node.sent_to(2);
        node.end(2, 0, 20.0, AttemptOutcome::Served);
        node.set_servers(Vec::new());
        let hint = max.map(|_| 20.0);
        let rejection = BalancerAction::Reject { request: RequestId(3), retry_after_ms: hint };
        assert_eq!(node.request(3, 0, 800.0), [rejection]);
    }
}

/// After an outcome with which the request may have run, an unsafe request fails: it is neither retried nor
/// rejected, since the client would repeat a rejected one.
#[test]
fn unsafe_requests_are_retried_only_if_they_did_not_run() {
    for (outcome, may_retry) in [
        (AttemptOutcome::Rejected, true),
        (AttemptOutcome::Unreachable, true),
        (AttemptOutcome::NotSent, true),
        (AttemptOutcome::Error, false),
        (AttemptOutcome::TimedOut, false),
        (AttemptOutcome::Reset, false),
        (AttemptOutcome::Cancelled, false),
    ] {
        let mut node = Node::new(one_class(Idempotency::Unsafe), 1);
        node.set_servers(ready(0..3));
        node.sent_to(1);
        node.now += 5.0;
        let actions = node.end(1, 0, 5.0, outcome);
        assert_eq!(send_of(&actions).is_some(), may_retry, "whether it is retried after {outcome:?}");
        assert_eq!(failed(&actions), !may_retry, "whether it fails after {outcome:?}");
        assert!(!rejected(&actions), "rejected after {outcome:?}");
    }
}

#[test]
fn keyed_requests_are_retried_only_in_their_cell_and_deduplication_window() {
    let settings = one_class(keyed(DeduplicationScope::Cell, 500.0));
    for (wait, may_retry) in [(5.0, true), (399.0, true), (401.0, false), (600.0, false)] {
        for seed in 0..20 {
            let mut node = Node::new(settings.clone(), seed);
            let mut entries = ready(0..6);
            entries.iter_mut().enumerate().for_each(|(i, e)| e.cell = i / 2);
            node.set_servers(entries);
            let first = node.sent_to(1);
            node.now += wait;
            let actions = node.end(1, 0, wait, AttemptOutcome::Error);
            assert!(!rejected(&actions), "rejected, although the request may have run");
            match send_of(&actions) {
                Some(second) => assert!(
                    may_retry && second / 2 == first / 2,
                    "after {wait} ms: server {first}, then {second}"
                ),
                None => assert!(!may_retry && failed(&actions), "after {wait} ms: no retry, or no failure"),
            }
        }
    }
}

#[test]
fn a_request_deduplicated_by_all_servers_is_rejected_after_its_last_attempt() {
    let mut settings = one_class(keyed(DeduplicationScope::All, 500.0));
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..3));
    node.sent_to(1);
    node.now += 5.0;
    assert!(rejected(&node.end(1, 0, 5.0, AttemptOutcome::Error)));
}

#[test]
fn a_request_fails_at_once_if_its_attempt_times_out_at_the_deadline() {
    let mut node = Node::new(one_class(Idempotency::Unsafe), 1);
    node.set_servers(ready(0..3));
    node.sent_to(1);
    node.now += 800.0;
    assert!(failed(&node.end(1, 0, 800.0, AttemptOutcome::TimedOut)));
    assert!(
        node.end(1, 0, 801.0, AttemptOutcome::Served).is_empty(),
        "the second end of an attempt is ignored"
    );
}

#[test]
fn no_retry_follows_a_disconnect_and_a_second_disconnect_is_ignored() {
    let mut node = Node::new(one_class(Idempotency::Safe), 1);
    node.set_servers(ready(0..3));
    node.sent_to(1);
    node.feed(BalancerEvent::ClientDisconnected(RequestId(1)));
    node.now += 5.0;
    assert!(send_of(&node.end(1, 0, 5.0, AttemptOutcome::Error)).is_none());
    assert!(node.feed(BalancerEvent::ClientDisconnected(RequestId(1))).is_empty());
}

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

/// If a server becomes unresponsive, its requests are delayed. Those that may be repeated are sent to another
/// server.
#[test]
fn stalled_attempts_are_cancelled_if_the_request_may_be_repeated() {
    let keyed = |window_ms| Idempotency::Keyed { group: DeduplicationScope::All, window_ms };
    for (idempotency, responsive, cancelled) in [
        (Idempotency::Safe, false, true),
        (keyed(5_000.0), false, true),
        (keyed(500.0), false, false),
        (Idempotency::Unsafe, false, false),
        (Idempotency::Safe, true, false),
    ] {
        let mut node = Node::new(one_class(idempotency), 1);
        node.set_servers(ready(0..2));
        let ids = 1..=6;
        let server_of: BTreeMap<u64, usize> = ids.clone().map(|id| (id, node.sent_to(id))).collect();
        node.now += 20.0;
        let stalled: Vec<u64> = ids.clone().filter(|id| server_of[id] == 0).collect();
        for id in ids.filter(|id| server_of[id] == 1 || responsive && *id == stalled[0]) {
            node.end(id, 0, 20.0, AttemptOutcome::Served);
        }
        node.now += 700.0;
        // The timer of the third attempt at a server checks all attempts there.
        let actions = node.feed(BalancerEvent::TimerFired(stalled[2] + 1));
        for id in stalled {
            let cancel = BalancerAction::Cancel { request: RequestId(id), attempt: 0 };
            assert_eq!(actions.contains(&cancel), cancelled, "{idempotency:?}, responsive: {responsive}");
            if !cancelled {
                continue;
            }
            assert_eq!(send_of(&node.end(id, 0, 720.0, AttemptOutcome::Cancelled)), Some(1));
            assert_eq!(
                node.feed(BalancerEvent::TimerFired(id + 1)),
                [],
                "the timer of the first attempt does not affect the second one"
            );
        }
    }
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

/// While all servers fail, some requests must still be sent, so that the recovery is detected.
#[test]
fn rejections_end_when_the_servers_recover() {
    let mut settings = one_class(Idempotency::Safe);
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..4));
    let mut last = (0, 0);
    for id in 0..3_000 {
        let failing = (500..1_000).contains(&id);
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 10.0;
        if sent {
            let (elapsed, outcome) =
                if failing { (800.0, AttemptOutcome::TimedOut) } else { (30.0, AttemptOutcome::Served) };
            node.end(id, 0, elapsed, outcome);
        }
        if id >= 2_000 {
            last = (last.0 + usize::from(sent), last.1 + 1);
        }
    }
    assert!(last.0 * 100 > last.1 * 95, "(sent, requests) long after the recovery: {last:?}");
}

/// While all answers are late, nodes send trial requests to idle servers to detect the recovery. The trials
/// of many nodes must not keep the servers overloaded.
#[test]
fn many_nodes_send_few_trial_requests_while_answers_are_late() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (16, 1);
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..10));
    let mut trials = 0;
    for id in 0..4_000 {
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 10.0;
        if sent {
            node.end(id, 0, 790.0, AttemptOutcome::Served);
            trials += u32::from(id >= 2_000);
        }
    }
    // Twenty seconds are fifty latency targets. Sixteen nodes together may send each server about 100 trials.
    assert!((10..=10 * 2 * 50 / 16 * 3 / 2).contains(&trials), "{trials} trials");
}

/// A node with few requests gets few latency samples of each server. The weight of samples from an overload
/// must decay soon, else the node rejects requests that idle servers could serve.
#[test]
fn the_weight_of_latency_samples_from_an_overload_decays_within_two_seconds() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (12, 1);
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..20));
    let mut in_flight = std::collections::VecDeque::new();
    let (mut requests, mut rejections) = (0, 0);
    for id in 0..620_u64 {
        node.now += 10.0;
        let overloaded = id < 120;
        while in_flight.front().is_some_and(|(_, _, end)| *end <= node.now) {
            let (id, elapsed, _) = in_flight.pop_front().expect("an entry");
            node.end(id, 0, elapsed, AttemptOutcome::Served);
        }
        let sent = send_of(&node.request(id, 0, 800.0)).is_some();
        if sent {
            let elapsed = if overloaded { 600.0 } else { 50.0 };
            in_flight.push_back((id, elapsed, node.now + elapsed));
        }
        // Counts three seconds, beginning two seconds after the end of the overload.
        if (320..620).contains(&id) {
            requests += 1;
            rejections += u32::from(!sent);
        }
    }
    assert!(rejections * 4 < requests, "{rejections} of {requests} rejected because of old samples");
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

/// A retry must be sent within its deduplication window, even if the connection is slow to establish.
#[test]
fn the_retry_of_a_keyed_request_must_be_sent_within_its_window() {
    let within = |actions: &[BalancerAction]| match actions[..] {
        [BalancerAction::Send { within_ms, .. }, ..] => within_ms,
        _ => panic!("not sent: {actions:?}"),
    };
    let keyed = keyed(DeduplicationScope::All, 1_000.0);
    for (idempotency, limit) in [(keyed, Some(700.0)), (Idempotency::Safe, None)] {
        let mut node = Node::new(one_class(idempotency), 1);
        node.set_servers(ready(0..3));
        assert_eq!(within(&node.request(1, 0, 800.0)), None);
        node.now += 200.0;
        assert_eq!(within(&node.end(1, 0, 200.0, AttemptOutcome::Error)), limit);
        // The window does not start with an attempt that did not run.
        assert_eq!(within(&node.request(2, 0, 800.0)), None);
        assert_eq!(within(&node.end(2, 0, 0.0, AttemptOutcome::Rejected)), None);
    }
}

/// A request whose client disconnected is not retried, however its attempt ends, even if the settings forbid
/// cancelling attempts.
#[test]
fn nothing_is_sent_after_the_client_has_disconnected() {
    for cancel in [true, false] {
        for outcome in [
            AttemptOutcome::Rejected,
            AttemptOutcome::Unreachable,
            AttemptOutcome::NotSent,
            AttemptOutcome::Error,
            AttemptOutcome::Cancelled,
        ] {
            let mut settings = one_class(Idempotency::Safe);
            settings.cancel = cancel;
            let mut node = Node::new(settings, 1);
            node.set_servers(ready(0..3));
            node.sent_to(1);
            let actions = node.feed(BalancerEvent::ClientDisconnected(RequestId(1)));
            assert_eq!(send_of(&actions), None);
            assert_eq!(actions.len(), usize::from(cancel), "after the disconnect: {actions:?}");
            node.now += 300.0;
            let actions = node.end(1, 0, 300.0, outcome);
            assert!(actions.iter().all(|a| matches!(a, BalancerAction::Log(_))), "{outcome:?}: {actions:?}");
        }
    }
}

/// Incident i007987: each of hundreds of nodes got a few requests per second, and with a fixed bound on the
/// expected wait they all rejected every request, then none. Among many nodes, a node admits a fraction of
/// the requests over the bound.
#[test]
fn among_many_nodes_a_fraction_of_the_requests_over_the_bound_is_admitted() {
    let mut settings = one_class(Idempotency::Safe);
    (settings.nodes, settings.max_attempts) = (400, 1);
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..4));
    let mut sent = 0;
    for id in 0..400 {
        let admitted = send_of(&node.request(id, 0, 800.0)).is_some();
        node.now += 340.0;
        if admitted {
            node.end(id, 0, 340.0, AttemptOutcome::Served);
        }
        sent += usize::from(admitted && id >= 100);
    }
    // The expected wait is 340 ms, the bound 300 ms: some of the last 300 requests are sent, not all.
    assert!((60..240).contains(&sent), "{sent} of 300 sent");
}

#[test]
fn requests_beyond_the_quota_of_their_tenant_are_rejected_first() {
    let mut settings = one_class(Idempotency::Safe);
    settings.quotas_per_s = vec![1_000.0, 10.0];
    settings.over_quota_value = 0.1;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..2));
    let mut rejections = [0; 2];
    for id in 0..4_000_u64 {
        let tenant = (id % 2) as usize;
        let request = ClientRequest { tenant, ..ClientRequest::new(RequestId(id), 0, 800.0) };
        let actions = node.feed(BalancerEvent::RequestArrived(request));
        rejections[tenant] += usize::from(rejected(&actions));
        node.now += 10.0;
        // Each of the two servers takes 25 ms per request in flight, so both are close to their capacity.
        if id >= 4 {
            node.end(id - 4, 0, 100.0 + (id % 7) as f64 * 20.0, AttemptOutcome::Served);
        }
    }
    assert!(rejections[1] > rejections[0], "rejections by tenant: {rejections:?}");
}

/// Incident ie11f3d: among hundreds of nodes, a tenant's share of its quota at one node is below one request
/// per second. The token bucket was too small for one token, so every tenant was beyond its quota at every
/// node.
#[test]
fn a_quota_share_below_one_request_per_second_admits_requests() {
    let mut settings = one_class(Idempotency::Safe);
    settings.nodes = 800;
    settings.quotas_per_s = vec![400.0, 40.0];
    settings.over_quota_value = 0.1;
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..4));
    let mut rejections = [0; 2];
    for id in 0..2_000_u64 {
        // Each tenant sends one request every two seconds, within the first tenant's share but not the
        // second's.
        let tenant = (id % 2) as usize;
        let request = ClientRequest { tenant, ..ClientRequest::new(RequestId(id), 0, 800.0) };
        rejections[tenant] += usize::from(rejected(&node.feed(BalancerEvent::RequestArrived(request))));
        node.now += 1_000.0;
        node.end(id, 0, 280.0, AttemptOutcome::Served);
    }
    assert!(rejections[0] < 20 && rejections[1] > 400, "rejections by tenant: {rejections:?}");
}

/// Requests of a class with a long latency target can wait long. If their value is low, they must not fill
/// the queues so that requests of a class of higher value with a short target are late.
#[test]
fn requests_of_low_value_are_rejected_before_those_of_higher_value() {
    let mut urgent = RequestClass::new(200.0, 2_000.0, Idempotency::Safe);
    urgent.value = 5.0;
    let mut settings =
        DecisionSettings::new(vec![urgent, RequestClass::new(4_000.0, 8_000.0, Idempotency::Safe)]);
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready(0..2));
    let mut rejections = [0; 2];
    let mut in_flight = std::collections::VecDeque::new();
    for id in 0..4_000_u64 {
        let class = (id % 2) as usize;
        let sent = send_of(&node.request(id, class, 2_000.0)).is_some();
        if sent {
            in_flight.push_back((id, node.now));
        } else {
            rejections[class] += 1;
        }
        node.now += 10.0;
        // One answer every 20 ms serves half of the requests. Each request waits for all earlier ones.
        if id % 2 == 0 {
            if let Some((id, since)) = in_flight.pop_front() {
                node.end(id, 0, node.now - since, AttemptOutcome::Served);
            }
        }
    }
    assert!(rejections[1] > 2 * rejections[0], "rejections by class: {rejections:?}");
}

/// Checks the rules from events and actions alone, independently of the decision logic.
struct Checker {
    settings: DecisionSettings,
    requests: BTreeMap<u64, RequestRecord>,
    /// Last entry of each server, also of removed ones.
    servers: BTreeMap<usize, ServerEntry>,
    /// Time in ms when each server was announced as draining or removed.
    unavailable_since: BTreeMap<usize, f64>,
    /// Time in milliseconds for which requests may still be sent to such a server.
    grace_ms: f64,
}

/// State of one request, as far as the rules need it.
struct RequestRecord {
    class: usize,
    /// Time in milliseconds by which the request must have its final answer.
    deadline: f64,
    /// Server, time of sending in milliseconds, and outcome once it has ended.
    attempts: Vec<(usize, f64, Option<AttemptOutcome>)>,
    /// Whether the final answer was given or the client has disconnected.
    done: bool,
}

impl Checker {
    /// Records an update of the server list.
    fn record_update(&mut self, now: f64, entries: &[ServerEntry], complete: bool) {
        if complete {
            let named: Vec<usize> = entries.iter().map(|e| e.server.0).collect();
            for removed in self.servers.keys().filter(|s| !named.contains(s)) {
                self.unavailable_since.entry(*removed).or_insert(now);
            }
        }
        for entry in entries {
            self.servers.insert(entry.server.0, entry.clone());
            if entry.availability == Availability::Ready {
                self.unavailable_since.remove(&entry.server.0);
            } else {
                self.unavailable_since.entry(entry.server.0).or_insert(now);
            }
        }
    }

    /// Records an event before the balancer handles it. At the end of an attempt, sets `complete` if the
    /// request already has its final answer or its client has disconnected.
    fn record_event(&mut self, event: &mut BalancerEvent) {
        match event {
            BalancerEvent::AttemptEnded(attempt_end) => {
                let entry = self.requests.get_mut(&attempt_end.request.0).expect("sent");
                entry.attempts[attempt_end.attempt].2 = Some(attempt_end.outcome);
                entry.done |= attempt_end.complete;
                attempt_end.complete = entry.done;
            }
            BalancerEvent::ClientDisconnected(id) => {
                self.requests.get_mut(&id.0).into_iter().for_each(|e| e.done = true)
            }
            _ => {}
        }
    }

    /// Checks an action against the rules and records it.
    fn check_action(&mut self, now: f64, action: &BalancerAction) {
        match action {
            BalancerAction::Send { request, server, .. } => {
                let unavailable_since = self.unavailable_since.get(&server.0);
                assert!(
                    unavailable_since.is_none_or(|t| now <= t + self.grace_ms),
                    "request {} was sent to server {}, which is draining or removed",
                    request.0,
                    server.0
                );
                let target = self.servers.get(&server.0).expect("a listed server");
                let entry = self.requests.get_mut(&request.0).expect("a known request");
                assert!(!entry.done, "sent after the final answer");
                assert!(entry.attempts.len() < self.settings.max_attempts, "too many attempts");
                assert!(
                    entry.attempts.iter().all(|a| a.2.is_some()),
                    "a second attempt while one is in flight"
                );
                let ran = entry.attempts.iter().find(|a| a.2.is_none_or(AttemptOutcome::may_have_run));
                if let Some((first, sent_at, _)) = ran {
                    match self.settings.classes[entry.class].idempotency {
                        Idempotency::Safe => {}
                        Idempotency::Unsafe => panic!("an unsafe request was sent twice"),
                        Idempotency::Keyed { group, window_ms } => {
                            assert!(now - sent_at < window_ms, "retried past its window");
                            let first = &self.servers[first];
                            assert!(match group {
                                DeduplicationScope::All => true,
                                DeduplicationScope::Zone => first.zone == target.zone,
                                DeduplicationScope::Cell => first.cell == target.cell,
                            });
                        }
                    }
                }
                entry.attempts.push((server.0, now, None));
            }
            BalancerAction::Reject { request, .. } | BalancerAction::Fail { request } => {
                let entry = self.requests.get_mut(&request.0).expect("a known request");
                assert!(!entry.done, "two final answers");
                entry.done = true;
                let ran = entry.attempts.iter().any(|a| a.2.is_none_or(AttemptOutcome::may_have_run));
                if matches!(action, BalancerAction::Reject { .. }) && ran {
                    let idempotency = self.settings.classes[entry.class].idempotency;
                    let harmless = matches!(
                        idempotency,
                        Idempotency::Safe | Idempotency::Keyed { group: DeduplicationScope::All, .. }
                    );
                    assert!(harmless, "request {} was rejected although it may have run", request.0);
                }
            }
            BalancerAction::Cancel { request, attempt } => {
                assert!(self.settings.cancel && self.requests[&request.0].attempts.len() > *attempt);
            }
            BalancerAction::Probe { server } => {
                assert!(
                    self.settings.probes && self.servers.contains_key(&server.0),
                    "a probe that the settings forbid, or of an unknown server"
                );
            }
            BalancerAction::Subscribe | BalancerAction::SetTimer { .. } | BalancerAction::Log(_) => {}
        }
    }

    /// Checks that no request has passed its deadline unanswered.
    fn check_deadlines(&self, now: f64) {
        let late = self.requests.iter().find(|(_, e)| !e.done && now > e.deadline + 20.0);
        assert!(late.is_none(), "request {:?} got no answer in time", late.map(|(id, _)| id));
    }
}

/// Runs a valid sequence of events that is generated from a seed: changes of the server list, outcomes of
/// every kind, clients that disconnect. Returns the number of sends.
#[allow(clippy::too_many_lines, reason = "the steps of one generated sequence, in their order")]
fn run_generated_events(seed: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let groups = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    let mut settings = DecisionSettings::new(vec![
        RequestClass::new(200.0, 600.0, Idempotency::Safe),
        RequestClass::new(
            400.0,
            900.0,
            Idempotency::Keyed { group: groups[seed as usize % 3], window_ms: 500.0 },
        ),
        RequestClass::new(600.0, 2_000.0, Idempotency::Unsafe),
    ]);
    settings.nodes = 1 + random.usize(..4);
    settings.kinds = 2;
    (settings.probes, settings.responses_carry_load) = (random.bool(), random.bool());
    settings.cancel = random.bool();
    settings.max_attempts = 1 + random.usize(..5);
    (settings.warmup_initial_fraction, settings.warmup_ms) = (0.3, 5_000.0);
    if random.bool() {
        settings.discovery = DiscoveryMode::Subscribe;
    }
    let mut checker = Checker {
        settings: settings.clone(),
        requests: BTreeMap::new(),
        servers: BTreeMap::new(),
        unavailable_since: BTreeMap::new(),
        grace_ms: 0.0,
    };
    let mut node = Node::new(settings, seed);
    let mut in_flight: Vec<(f64, u64, usize, AttemptOutcome)> = Vec::new();
    let mut sends = 0;
    let mut timers: Vec<(f64, u64)> = Vec::new();
    let mut probes: Vec<(f64, ServerId)> = Vec::new();
    for id in 0..1_500_u64 {
        node.now += random.f64() * 20.0;
        let now = node.now;
        let mut events: Vec<BalancerEvent> = Vec::new();
        if random.u32(..30) == 0 || id == 0 {
            let mut entries = Vec::new();
            for i in 0..10 {
                if random.u32(..5) == 0 {
                    continue;
                }
                let states = [Availability::Ready, Availability::Draining, Availability::Removed];
                entries.push(ServerEntry {
                    started_at: (random.u32(..4) == 0).then_some(now - 1_000.0),
                    cell: i / 3,
                    zone: i % 3,
                    kind: i % 3,
                    ..ServerEntry::new(ServerId(i), states[random.usize(..5).saturating_sub(2)])
                });
            }
            let complete = random.bool();
            checker.record_update(now, &entries, complete);
            events.push(BalancerEvent::EndpointsUpdated(if complete {
                EndpointUpdate::Snapshot(entries)
            } else {
                EndpointUpdate::Delta(entries)
            }));
        }
        if random.u32(..60) == 0 {
            events.push(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
        in_flight.sort_by(|a, b| a.0.total_cmp(&b.0));
        while in_flight.first().is_some_and(|attempt| attempt.0 <= now) {
            let (_, id, attempt, outcome) = in_flight.remove(0);
            let entry = checker.requests.get_mut(&id).expect("sent");
            let sent_at = entry.attempts[attempt].1;
            events.push(BalancerEvent::AttemptEnded(AttemptEnd {
                request: RequestId(id),
                attempt,
                elapsed_ms: now - sent_at,
                outcome,
                complete: outcome == AttemptOutcome::Served,
                report: random
                    .bool()
                    .then(|| LoadReport { in_flight: Some(random.f64() * 9.0), queued: None }),
            }));
        }
        timers.retain(|(at, timer)| {
            let due = *at <= now;
            if due {
                events.push(BalancerEvent::TimerFired(*timer));
            }
            !due
        });
        let due: Vec<_> = probes.iter().filter(|(at, _)| *at <= now).copied().collect();
        probes.retain(|(at, _)| *at > now);
        for (_, server) in due {
            let outcome = if random.u32(..4) > 0 { AttemptOutcome::Served } else { AttemptOutcome::TimedOut };
            let report = (outcome == AttemptOutcome::Served)
                .then(|| LoadReport { in_flight: Some(random.f64() * 5.0), queued: None });
            events.push(BalancerEvent::ProbeEnded { server, outcome, report });
        }
        if random.u32(..40) == 0 && id > 20 {
            let disconnected = id - 1 - random.u64(..20);
            events.push(BalancerEvent::ClientDisconnected(RequestId(disconnected)));
        }
        let class = random.usize(..3);
        let budget = checker.settings.classes[class].deadline_ms * (0.3 + 0.7 * random.f64());
        checker
            .requests
            .insert(id, RequestRecord { class, deadline: now + budget, attempts: Vec::new(), done: false });
        events.push(BalancerEvent::RequestArrived(ClientRequest::new(RequestId(id), class, budget)));
        for mut event in events {
            checker.record_event(&mut event);
            for action in node.feed(event) {
                checker.check_action(now, &action);
                match action {
                    BalancerAction::Send { request, .. } => {
                        sends += 1;
                        let entry = &checker.requests[&request.0];
                        let failures = [
                            AttemptOutcome::Error,
                            AttemptOutcome::Rejected,
                            AttemptOutcome::Unreachable,
                            AttemptOutcome::Reset,
                            AttemptOutcome::TimedOut,
                            AttemptOutcome::NotSent,
                        ];
                        let ok = random.u32(..3) > 0;
                        let outcome = if ok { AttemptOutcome::Served } else { failures[random.usize(..6)] };
                        let at = now + random.f64() * random.f64() * 900.0;
                        let (at, outcome) = if at > entry.deadline {
                            (entry.deadline, AttemptOutcome::TimedOut)
                        } else {
                            (at, outcome)
                        };
                        in_flight.push((at, request.0, entry.attempts.len() - 1, outcome));
                    }
                    BalancerAction::SetTimer { timer, after_ms } => timers.push((now + after_ms, timer)),
                    BalancerAction::Probe { server } => probes.push((now + random.f64() * 40.0, server)),
                    _ => {}
                }
            }
        }
        // Time advances in steps of up to 20 ms, which is the tolerance for answers after the deadline.
        checker.check_deadlines(now - 20.0);
    }
    sends
}

#[test]
fn generated_events_break_no_rule() {
    let sends: usize = (0..72).map(run_generated_events).sum();
    assert!(sends > 20_000, "{sends} sends are too few for a meaningful check");
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
