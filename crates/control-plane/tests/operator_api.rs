//! Requests to the operator's interface of nodes that share a register.

mod support;

use std::io;

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::stream;
use poem::http::{Method, StatusCode};
use poem::Body;
use support::{document, start_nodes};
use yare::parameterized;

const CONFIGURATION_PATH: &str = "/api/timetable";

#[tokio::test]
async fn given_an_acknowledged_configuration_when_read_at_another_node_then_it_is_returned_verbatim() {
    let nodes = start_nodes(3, 3).await;
    assert_eq!(nodes[0].get(CONFIGURATION_PATH).await.status, StatusCode::NOT_FOUND);
    assert_eq!(nodes[0].put(0, &document(4, "r")).await, StatusCode::OK);
    for node in &nodes {
        let response = node.get(CONFIGURATION_PATH).await;
        assert_eq!((response.status, response.body), (StatusCode::OK, document(4, "r")));
    }
    assert_eq!(nodes[1].put(4, &document(9, "q")).await, StatusCode::OK);
    assert_eq!(nodes[2].get(CONFIGURATION_PATH).await.body, document(9, "q"));
}

#[tokio::test]
async fn given_an_applied_change_when_it_is_repeated_at_any_node_then_it_is_acknowledged_again() {
    let nodes = start_nodes(3, 3).await;
    assert_eq!(nodes[0].put(0, &document(4, "r")).await, StatusCode::OK);
    assert_eq!(nodes[1].put(4, &document(6, "r")).await, StatusCode::OK);
    for node in &nodes {
        assert_eq!(node.put(0, &document(4, "r")).await, StatusCode::OK);
        assert_eq!(node.put(4, &document(6, "r")).await, StatusCode::OK);
    }
    assert_eq!(nodes[2].get(CONFIGURATION_PATH).await.body, document(6, "r"));
}

#[tokio::test]
async fn given_two_changes_of_the_same_version_when_sent_concurrently_then_one_is_applied_and_one_rejected() {
    let nodes = start_nodes(3, 3).await;
    assert_eq!(nodes[0].put(0, &document(4, "r")).await, StatusCode::OK);
    let (one, other) = (document(7, "one"), document(7, "other"));
    let (first, second) = tokio::join!(nodes[0].put(4, &one), nodes[1].put(4, &other));
    let applied = match (first, second) {
        (StatusCode::OK, StatusCode::PRECONDITION_FAILED) => one,
        (StatusCode::PRECONDITION_FAILED, StatusCode::OK) => other,
        both => panic!("one change must be applied and the other rejected: {both:?}"),
    };
    assert_eq!(nodes[2].get(CONFIGURATION_PATH).await.body, applied);
}

#[tokio::test]
async fn given_one_change_when_sent_to_all_nodes_concurrently_then_all_acknowledge_it() {
    let nodes = start_nodes(3, 3).await;
    let body = document(4, "r");
    let statuses = join_all(nodes.iter().map(|node| node.put(0, &body))).await;
    assert_eq!(statuses, [StatusCode::OK; 3]);
}

#[tokio::test]
async fn given_a_configuration_when_patched_then_routes_are_added_and_removed() {
    let nodes = start_nodes(1, 3).await;
    assert_eq!(nodes[0].put(0, &document(4, "r")).await, StatusCode::OK);
    let patch = r#"{"edition":9,"loadIn":{"routes":[{"name":"q","depot":"h","lanePrefix":"/q/","kind":"safe","postalLine":"s"}]},"strike":{"routes":["r"]}}"#;
    for _ in 0..2 {
        let response = nodes[0].request(Method::PATCH, CONFIGURATION_PATH, Some("4"), patch).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    let body = nodes[0].get(CONFIGURATION_PATH).await.body;
    assert!(body.contains("/q/") && !body.contains("/r/"), "{body}");
}

#[parameterized(
    other_version = { Some("3"), &document(9, "q"), 412 },
    quoted = { Some("\"4\""), &document(9, "q"), 200 },
    absent = { None, &document(9, "q"), 400 },
    malformed = { Some("four"), &document(9, "q"), 400 },
    negative = { Some("-4"), &document(9, "q"), 400 },
    wildcard = { Some("*"), &document(9, "q"), 400 },
    version_not_higher = { Some("4"), &document(4, "q"), 400 },
    truncated = { Some("4"), &document(9, "q")[..60], 400 },
    unknown_service = { Some("4"), &document(9, "q").replace("postalLine\":\"s", "postalLine\":\"none"), 400 },
    zero_timeout = { Some("4"), &document(9, "q").replace("1500", "0"), 400 },
)]
#[test_macro(tokio::test)]
async fn given_a_configuration_when_another_is_put_then_the_status_is_ok_only_if_it_is_in_force(
    expected: Option<&str>,
    body: &str,
    status: u16,
) {
    let nodes = start_nodes(1, 3).await;
    assert_eq!(nodes[0].put(0, &document(4, "r")).await, StatusCode::OK);
    let response = nodes[0].request(Method::PUT, CONFIGURATION_PATH, expected, body.to_owned()).await;
    assert_eq!(response.status.as_u16(), status, "{}", response.body);
    let is_in_force = nodes[0].get(CONFIGURATION_PATH).await.body == body;
    assert_eq!(is_in_force, status == 200);
}

#[tokio::test]
async fn given_a_truncated_body_when_put_then_nothing_is_applied() {
    let nodes = start_nodes(1, 3).await;
    let parts = [Ok(Bytes::from(document(4, "r"))), Err(io::Error::other("reset"))];
    let body = Body::from_bytes_stream(stream::iter(parts));
    let response = nodes[0].request(Method::PUT, CONFIGURATION_PATH, Some("0"), body).await;
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert_eq!(nodes[0].get(CONFIGURATION_PATH).await.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn given_a_target_version_when_it_or_a_lower_one_is_put_again_then_the_put_is_acknowledged_and_the_version_kept(
) {
    let nodes = start_nodes(3, 3).await;
    for (node, version) in nodes.iter().zip([2, 3, 3]) {
        let body = format!(r#"{{"model":"m","edition":{version}}}"#);
        assert_eq!(node.post("/api/version-put", &body).await, StatusCode::OK);
    }
    assert_eq!(nodes[0].post("/api/version-put", r#"{"model":"m","edition":2}"#).await, StatusCode::OK);
    assert_eq!(nodes[2].view.view().control.target_versions["m"], 3);
}

#[parameterized(empty = { "" }, no_version = { r#"{"model":"m"}"# }, negative = { r#"{"model":"m","edition":-1}"# })]
#[test_macro(tokio::test)]
async fn given_a_malformed_target_version_when_put_then_it_is_rejected(body: &str) {
    assert_eq!(start_nodes(1, 3).await[0].post("/api/version-put", body).await, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn given_eight_target_versions_when_put_concurrently_then_all_are_acknowledged() {
    let nodes = start_nodes(3, 3).await;
    let bodies: Vec<String> = (0..8).map(|model| format!(r#"{{"model":"m{model}","edition":2}}"#)).collect();
    let requests =
        bodies.iter().enumerate().map(|(index, body)| nodes[index % 3].post("/api/version-put", body));
    assert_eq!(join_all(requests).await, [StatusCode::OK; 8]);
    let newest = nodes.iter().map(|node| node.view.view().control.target_versions.len()).max();
    assert_eq!(newest, Some(8));
}

#[tokio::test]
async fn given_enough_stores_when_one_is_drained_then_any_node_reports_its_progress() {
    let nodes = start_nodes(3, 4).await;
    assert_eq!(nodes[1].get("/api/retire/store0").await.status, StatusCode::NOT_FOUND);
    for node in &nodes[..2] {
        assert_eq!(node.post("/api/retire/store0", r#"{"overS":10}"#).await, StatusCode::OK);
    }
    let response = nodes[2].get("/api/retire/store0").await;
    assert_eq!((response.status, &*response.body), (StatusCode::OK, r#"{"condition":"rolling"}"#));
    assert_eq!(nodes[0].post("/api/retire/store1", "{}").await, StatusCode::CONFLICT);
    assert_eq!(nodes[0].post("/api/retire/nobody", "{}").await, StatusCode::NOT_FOUND);
}
