//! Golden files of the responses of the operator's interface: status, headers and body.

use std::fmt::Write;
use std::sync::Arc;

use control_plane::{operator_routes, Proposer, ViewCell};
use poem::http::Method;
use poem::{Body, Endpoint, EndpointExt, Request};
use state::{AppliedChange, ControlState, Document, DrainState, MAX_APPLIED_CHANGES};

use super::check_text;
use super::support::{document, start_nodes, start_nodes_with, Node, OperatorReply};

const CONFIGURATION_PATH: &str = "/api/timetable";
const DRAIN_PATH: &str = "/api/retire";
const TARGET_VERSION_PATH: &str = "/api/version-put";

/// Formats the first line of a request and the response to it.
fn formatted_exchange(first_line: &str, response: &OperatorReply) -> String {
    let mut text = format!("{first_line}\n{}\n", response.status.as_u16());
    for (name, value) in &response.headers {
        writeln!(text, "{name}: {}", value.to_str().expect("the header is ASCII"))
            .expect("writing to a string does not fail");
    }
    text + "\n" + &response.body + "\n"
}

async fn check_put(node: &Node, golden_file: &str, expected: Option<&str>, body: &str) {
    let response = node.request(Method::PUT, CONFIGURATION_PATH, expected, body.to_owned()).await;
    check_text(golden_file, &formatted_exchange(&format!("PUT {CONFIGURATION_PATH}"), &response));
}

async fn check_get(node: &Node, golden_file: &str, path: &str) {
    check_text(golden_file, &formatted_exchange(&format!("GET {path}"), &node.get(path).await));
}

async fn check_post(node: &Node, golden_file: &str, path: &str, body: &str) {
    let response = node.request(Method::POST, path, None, body.to_owned()).await;
    check_text(golden_file, &formatted_exchange(&format!("POST {path}"), &response));
}

#[tokio::test]
async fn given_changes_of_the_configuration_when_sent_then_the_responses_match_the_golden_files() {
    let nodes = start_nodes(1, 3).await;
    let node = &nodes[0];
    check_get(node, "operator_timetable_absent.txt", CONFIGURATION_PATH).await;
    check_put(node, "operator_put_taken.txt", Some("0"), &document(4, "r")).await;
    check_put(node, "operator_put_repeated.txt", Some("0"), &document(4, "r")).await;
    check_get(node, "operator_timetable.txt", CONFIGURATION_PATH).await;
    check_put(node, "operator_put_other_version.txt", Some("3"), &document(9, "q")).await;
    check_put(node, "operator_put_without_if_match.txt", None, &document(9, "q")).await;
    check_put(node, "operator_put_no_json.txt", Some("4"), "hello").await;
    check_put(node, "operator_put_not_above.txt", Some("4"), &document(4, "q")).await;
    let truncated_body = Body::from_bytes_stream(futures_util::stream::iter([Err::<&[u8], _>(
        std::io::Error::other("reset"),
    )]));
    let response = node.request(Method::PUT, CONFIGURATION_PATH, Some("4"), truncated_body).await;
    check_text(
        "operator_put_cut_short.txt",
        &formatted_exchange(&format!("PUT {CONFIGURATION_PATH}"), &response),
    );
    let patch = r#"{"edition":9,"strike":{"routes":["unknown"]}}"#;
    let response = node.request(Method::PATCH, CONFIGURATION_PATH, Some("4"), patch).await;
    check_text("operator_patch.txt", &formatted_exchange(&format!("PATCH {CONFIGURATION_PATH}"), &response));
}

#[tokio::test]
async fn given_target_versions_when_sent_then_the_responses_match_the_golden_files() {
    let nodes = start_nodes(1, 3).await;
    check_post(&nodes[0], "operator_version_named.txt", TARGET_VERSION_PATH, r#"{"model":"m","edition":2}"#)
        .await;
    check_post(
        &nodes[0],
        "operator_version_unchanged.txt",
        TARGET_VERSION_PATH,
        r#"{"model":"m","edition":1}"#,
    )
    .await;
    check_post(&nodes[0], "operator_version_malformed.txt", TARGET_VERSION_PATH, r#"{"model":"m"}"#).await;
}

#[tokio::test]
async fn given_drain_requests_when_sent_then_the_responses_match_the_golden_files() {
    let with_drained_machine = |state: ControlState| ControlState {
        draining: [("gone".to_owned(), DrainState::Drained)].into(),
        ..state
    };
    let nodes = start_nodes_with(1, 4, with_drained_machine).await;
    let node = &nodes[0];
    check_get(node, "operator_retire_absent.txt", &format!("{DRAIN_PATH}/store0")).await;
    check_post(node, "operator_retire_taken.txt", &format!("{DRAIN_PATH}/store0"), r#"{"overS":10}"#).await;
    check_post(node, "operator_retire_repeated.txt", &format!("{DRAIN_PATH}/store0"), "{}").await;
    check_get(node, "operator_retire_rolling.txt", &format!("{DRAIN_PATH}/store0")).await;
    check_get(node, "operator_retire_delivered.txt", &format!("{DRAIN_PATH}/gone")).await;
    check_post(node, "operator_retire_too_few.txt", &format!("{DRAIN_PATH}/store1"), "{}").await;
    check_post(node, "operator_retire_unknown.txt", &format!("{DRAIN_PATH}/nobody"), "{}").await;
}

#[tokio::test]
async fn given_a_corrupt_configuration_and_dropped_change_records_when_requests_arrive_then_the_responses_match_the_golden_files(
) {
    let changes = (0..MAX_APPLIED_CHANGES as u64)
        .map(|index| AppliedChange { digest: index.into(), version: 100 + index });
    // Document with the digest of a text and with bytes that cannot be decompressed.
    let corrupt: Document =
        rpc::decode(&rpc::encode(&(77_u128, [0xff_u8; 4].as_slice()))).expect("a document is decoded");
    let adapt = |state: ControlState| ControlState {
        configuration_version: 99 + MAX_APPLIED_CHANGES as u64,
        configuration: corrupt.clone(),
        applied_changes: changes.clone().collect(),
        ..state
    };
    let nodes = start_nodes_with(1, 3, adapt).await;
    check_put(&nodes[0], "operator_put_too_old.txt", Some("50"), &document(5000, "r")).await;
    check_get(&nodes[0], "operator_timetable_unreadable.txt", CONFIGURATION_PATH).await;
    let response =
        nodes[0].request(Method::PATCH, CONFIGURATION_PATH, Some("1123"), r#"{"edition":5000}"#).await;
    check_text(
        "operator_patch_unreadable.txt",
        &formatted_exchange(&format!("PATCH {CONFIGURATION_PATH}"), &response),
    );
}

#[tokio::test(start_paused = true)]
async fn given_a_process_without_a_control_state_when_requests_arrive_then_the_responses_match_the_golden_file(
) {
    let view = Arc::new(ViewCell::new());
    let proposer = Proposer::new(Arc::clone(&view), rpc::Client::new());
    let operator = operator_routes(view, proposer).map_to_response();
    let mut text = String::new();
    let drain_path = format!("{DRAIN_PATH}/store0");
    for (method, path, body) in [
        (Method::GET, CONFIGURATION_PATH, ""),
        (Method::PUT, CONFIGURATION_PATH, "{}"),
        (Method::GET, &*drain_path, ""),
        (Method::POST, &*drain_path, "{}"),
        (Method::POST, TARGET_VERSION_PATH, r#"{"model":"m","edition":2}"#),
    ] {
        let request = Request::builder().method(method.clone()).uri(path.parse().expect("the path is valid"));
        let request = request.header("If-Match", "0").body(body);
        let response = operator.get_response(request).await;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.into_body().into_string().await.expect("the body is UTF-8");
        text += &formatted_exchange(&format!("{method} {path}"), &OperatorReply { status, headers, body });
    }
    check_text("operator_no_majority.txt", &text);
}
