//! When requests are rejected: no servers, overload, quotas of tenants, low value.

use balancer::*;

use crate::common::*;

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
