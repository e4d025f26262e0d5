//! The calls of discovery, and configurations that are loaded again, invalid or incomplete.

use std::net::Shutdown;

use serde_json::{json, Value};

use crate::net::*;

/// If the network to discovery is partitioned, a poll gets no response and its connection stays open, so that
/// only a timeout detects the failure.
#[test]
fn an_unanswered_poll_times_out_and_is_repeated() {
    let node = Node::with_servers(&[]);
    let mut unanswered = node.discovery.request();
    let again = node.discovery.request();
    assert_ne!(unanswered.connection, again.connection);
    unanswered.wait_until_closed();
}

/// An error status, a malformed list and a broken connection must each lead to another call for the changes
/// since the same revision.
#[test]
fn the_list_is_polled_again_after_each_failure() {
    let (old, new) = (Server::start(), Server::start());
    let node = Node::with_servers(&[&old]);
    let next_poll = || {
        let poll = node.discovery.request();
        assert!(poll.request.start_line.starts_with("GET /catalog/members?since=1&timeout_ms="));
        poll
    };
    next_poll().answer("503 Down", "", b"");
    next_poll().answer(OK, "", b"{\"revision\": 7, \"complete\": true, \"members\": [{\"id\": 5}]}");
    next_poll().stream.shutdown(Shutdown::Both).expect("broken");
    // A delta changes the address of the server. Then a complete list names only another server.
    let moved = Server::start();
    let change = list(2, false, &[member("s0", moved.address, "active")]);
    next_poll().answer(OK, "", change.to_string().as_bytes());
    let poll = node.discovery.request();
    assert!(poll.request.start_line.contains("since=2&"), "{}", poll.request.start_line);
    assert_served_by(&node, &moved);
    let full = list(9, true, &[member("s9", new.address, "active")]);
    poll.answer(OK, "", full.to_string().as_bytes());
    assert!(node.discovery.request().request.start_line.contains("since=9&"));
    (0..4).for_each(|_| assert_served_by(&node, &new));
    assert!(!old.has_request() && !moved.has_request());
}

/// SIGHUP once killed the node. The new discovery need not have the revisions of the former one and would not
/// respond to a long poll since an unknown revision, so the first call must fetch the complete list. Pending
/// requests must still be answered.
#[test]
fn sighup_under_load_moves_the_long_poll_to_a_new_discovery() {
    let (old, new) = (Server::start(), Server::start());
    let mut config = config(&members(&[&old]));
    let node = Node::start(&config);
    let mut poll = node.discovery.request();
    let mut pending = node.client();
    pending.send(&request("pay", 20.0));
    let exchange = old.request();

    let elsewhere = Server::start();
    config["discovery"] = json!(elsewhere.address.to_string());
    for _ in 0..5 {
        node.reload(&config.to_string());
    }
    let first_call = elsewhere.request();
    assert_eq!(first_call.request.start_line, "GET /catalog/members HTTP/1.1");
    poll.wait_until_closed();
    let full = list(1, true, &[member("s9", new.address, "active")]);
    first_call.answer(OK, "", full.to_string().as_bytes());
    let mut next = elsewhere.request();
    assert!(next.request.start_line.contains("since=1&"), "{}", next.request.start_line);
    assert_served_by(&node, &new);
    exchange.answer(OK, "", b"");
    assert_eq!(pending.response().status(), 200);
    // Reloading an unchanged configuration has no effect.
    node.reload(&config.to_string());
    assert_served_by(&node, &new);
    assert!(!next.is_closed() && !elsewhere.has_request() && !old.has_request());
}

/// The pause after a failed call, here one hour, must not delay the first call to a new discovery.
#[test]
fn a_new_discovery_is_called_at_once_after_failures_of_the_old_one() {
    let mut config = config(&[]);
    config["settings"]["rules"]["ask_within_ms"] = json!(3_600_000.0);
    let node = Node::start(&config);
    node.discovery.request().answer("503 Down", "", b"");
    let elsewhere = Server::start();
    config["discovery"] = json!(elsewhere.address.to_string());
    node.reload(&config.to_string());
    elsewhere.request();
}

#[test]
fn an_invalid_new_configuration_is_logged_and_the_old_one_stays_in_force() {
    let mut config = config(&[]);
    let mut node = Node::start(&config);
    let mut poll = node.discovery.request();
    config["discovery"] = json!("here");
    for (key, text) in [("GW_CONFIG", "{".to_owned()), ("discovery", config.to_string())] {
        node.reload(&text);
        let line = node.next_log_line();
        assert!(line.contains(&format!("`{key}")), "{key}: {line}");
    }
    std::fs::remove_file(config_path(node.address)).expect("removed");
    node.send_sighup();
    assert!(node.next_log_line().contains("`GW_CONFIG`"));
    assert!(!poll.is_closed());
}

#[test]
fn an_invalid_configuration_ends_the_process_with_an_error_that_names_the_key() {
    let valid = config(&[]);
    let edit = |change: fn(&mut Value)| {
        let mut config = valid.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("GW_CONFIG", "{".to_owned()),
        ("seed", edit(|c| c["seed"] = json!("xyz"))),
        ("sockets", edit(|c| c["limits"] = json!({}))),
        ("known", edit(|c| c["known"] = json!({"revision": 1}))),
        ("settings", edit(|c| c["settings"] = json!(3))),
        ("classes", edit(|c| c["settings"]["classes"] = json!([]))),
        ("deadline_ms", edit(|c| c["settings"]["classes"][0]["deadline_ms"] = Value::Null)),
        ("zones", edit(|c| c["settings"]["zones"] = json!(1))),
        ("conn_idle_ms", edit(|c| c["settings"]["allowed"]["conn_idle_ms"] = json!("long"))),
        ("dial_timeout_ms", edit(|c| c["settings"]["allowed"]["dial_timeout_ms"] = json!(-1))),
        ("most_held", edit(|c| c["settings"]["allowed"]["most_held"] = json!("many"))),
        ("most_held", edit(|c| c["settings"]["allowed"]["most_held"] = json!(-1))),
        ("max_attempts", edit(|c| c["settings"]["allowed"]["max_attempts"] = json!("many"))),
    ];
    for (key, text) in cases {
        assert_exits_naming(key, &mut command(&text, unused_address(), unused_address()));
    }
    for key in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONFIG"] {
        assert_exits_naming(
            key,
            command(&valid.to_string(), unused_address(), unused_address()).env_remove(key),
        );
    }
    assert_exits_naming(
        "GW_LISTEN",
        command(&valid.to_string(), unused_address(), unused_address()).env("GW_LISTEN", "here"),
    );
}

/// Settings may omit a limit or a switch, or set it to zero or false. The node must start and serve
/// nevertheless.
#[test]
fn a_node_serves_with_settings_that_are_absent_or_zero() {
    let limits =
        ["conn_idle_ms", "dial_timeout_ms", "most_held", "cancel", "retry_after", "max_retry_after_ms"];
    let rules = ["ask_within_ms", "drain_grace_ms", "cold_from", "cold_ms", "tip_multiple", "tip_after_ms"];
    let keys = limits.map(|key| ("allowed", key)).into_iter().chain(rules.map(|key| ("rules", key)));
    let zero = |key: &str| if ["cancel", "retry_after"].contains(&key) { json!(false) } else { json!(0) };
    let mut cases = vec![config(&[]), config(&[])];
    for (part, key) in keys {
        cases[0]["settings"][part].as_object_mut().expect("an object").remove(key);
        cases[1]["settings"][part][key] = zero(key);
    }
    cases[1]["settings"]["classes"][1]["promise_ms"] = json!(0);
    cases[1]["settings"]["n_instances"] = json!(0);
    for key in ["parties", "zones", "kinds", "stats"] {
        cases[0]["settings"].as_object_mut().expect("an object").remove(key);
    }
    for case in &mut cases {
        let server = Server::start();
        case["known"] = list(1, true, &members(&[&server]));
        let node = Node::start(case);
        (0..3).for_each(|_| assert_served_by(&node, &server));
    }
    // With zero attempts allowed no request can be served, but it is still rejected with a retry hint.
    let server = Server::start();
    let mut case = config(&members(&[&server]));
    case["settings"]["allowed"]["max_attempts"] = json!(0);
    case["settings"]["allowed"]["max_retry_after_ms"] = Value::Null;
    let answer = Node::start(&case).client().round_trip(&request("pay", 20.0));
    assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, true));
    assert!(!server.has_request());
}

/// Checks that a command fails and writes one line that names the key.
fn assert_exits_naming(key: &str, command: &mut std::process::Command) {
    let child = spawn(command.stdout(std::process::Stdio::null()).stderr(std::process::Stdio::piped()));
    let output = child.wait_with_output().expect("ended");
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success(), "{key}: the process has exited without an error");
    assert_eq!(log.lines().count(), 1, "{key}: {log}");
    assert!(log.contains(&format!("`{key}")), "{key}: {log}");
}
