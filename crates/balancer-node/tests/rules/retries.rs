//! Whether a request is sent again, and when its attempts end.

use std::collections::BTreeMap;

use balancer::*;

use crate::common::*;

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
