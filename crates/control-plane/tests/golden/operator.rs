//! The answers of the operator's interface: status, headers and body.

use std::fmt::Write;
use std::sync::Arc;

use control_plane::{operator_routes, Proposer, ViewCell};
use poem::http::Method;
use poem::{Body, Endpoint, EndpointExt, Request};
use state::{AppliedChange, ControlState, Document, DrainState, MAX_APPLIED_CHANGES};

use super::check_text;
use super::support::{document, nodes, nodes_with, Node, OperatorReply};

const TIMETABLE: &str = "/api/timetable";
const RETIRE: &str = "/api/retire";
const VERSION_PUT: &str = "/api/version-put";

/// One request and the response to it.
fn formatted(request: &str, answer: &OperatorReply) -> String {
    let mut text = format!("{request}\n{}\n", answer.status.as_u16());
    for (name, value) in &answer.headers {
        writeln!(text, "{name}: {}", value.to_str().expect("a text")).expect("a string can be written to");
    }
    text + "\n" + &answer.body + "\n"
}

async fn put(node: &Node, name: &str, expected: Option<&str>, body: &str) {
    let answer = node.request(Method::PUT, TIMETABLE, expected, body.to_owned()).await;
    check_text(name, &formatted(&format!("PUT {TIMETABLE}"), &answer));
}

async fn get(node: &Node, name: &str, path: &str) {
    check_text(name, &formatted(&format!("GET {path}"), &node.get(path).await));
}

async fn post(node: &Node, name: &str, path: &str, body: &str) {
    let answer = node.request(Method::POST, path, None, body.to_owned()).await;
    check_text(name, &formatted(&format!("POST {path}"), &answer));
}

#[tokio::test]
async fn given_changes_of_the_configuration_when_answered_then_the_answers_stay() {
    let nodes = nodes(1, 3).await;
    let node = &nodes[0];
    get(node, "operator_timetable_absent.txt", TIMETABLE).await;
    put(node, "operator_put_taken.txt", Some("0"), &document(4, "r")).await;
    put(node, "operator_put_repeated.txt", Some("0"), &document(4, "r")).await;
    get(node, "operator_timetable.txt", TIMETABLE).await;
    put(node, "operator_put_other_version.txt", Some("3"), &document(9, "q")).await;
    put(node, "operator_put_without_if_match.txt", None, &document(9, "q")).await;
    put(node, "operator_put_no_json.txt", Some("4"), "hello").await;
    put(node, "operator_put_not_above.txt", Some("4"), &document(4, "q")).await;
    let cut_short = Body::from_bytes_stream(futures_util::stream::iter([Err::<&[u8], _>(
        std::io::Error::other("reset"),
    )]));
    let answer = node.request(Method::PUT, TIMETABLE, Some("4"), cut_short).await;
    check_text("operator_put_cut_short.txt", &formatted(&format!("PUT {TIMETABLE}"), &answer));
    let patch = r#"{"edition":9,"strike":{"routes":["unknown"]}}"#;
    let answer = node.request(Method::PATCH, TIMETABLE, Some("4"), patch).await;
    check_text("operator_patch.txt", &formatted(&format!("PATCH {TIMETABLE}"), &answer));
}

#[tokio::test]
async fn given_named_versions_when_answered_then_the_answers_stay() {
    let nodes = nodes(1, 3).await;
    post(&nodes[0], "operator_version_named.txt", VERSION_PUT, r#"{"model":"m","edition":2}"#).await;
    post(&nodes[0], "operator_version_unchanged.txt", VERSION_PUT, r#"{"model":"m","edition":1}"#).await;
    post(&nodes[0], "operator_version_malformed.txt", VERSION_PUT, r#"{"model":"m"}"#).await;
}

#[tokio::test]
async fn given_orders_to_retire_when_answered_then_the_answers_stay() {
    let delivered = |state: ControlState| ControlState {
        draining: [("gone".to_owned(), DrainState::Drained)].into(),
        ..state
    };
    let nodes = nodes_with(1, 4, delivered).await;
    let node = &nodes[0];
    get(node, "operator_retire_absent.txt", &format!("{RETIRE}/store0")).await;
    post(node, "operator_retire_taken.txt", &format!("{RETIRE}/store0"), r#"{"overS":10}"#).await;
    post(node, "operator_retire_repeated.txt", &format!("{RETIRE}/store0"), "{}").await;
    get(node, "operator_retire_rolling.txt", &format!("{RETIRE}/store0")).await;
    get(node, "operator_retire_delivered.txt", &format!("{RETIRE}/gone")).await;
    post(node, "operator_retire_too_few.txt", &format!("{RETIRE}/store1"), "{}").await;
    post(node, "operator_retire_unknown.txt", &format!("{RETIRE}/nobody"), "{}").await;
}

#[tokio::test]
async fn given_a_state_that_cannot_decide_when_changes_arrive_then_the_answers_stay() {
    let changes = (0..MAX_APPLIED_CHANGES as u64)
        .map(|index| AppliedChange { digest: index.into(), version: 100 + index });
    // The digest of a text, with bytes that cannot be unpacked.
    let unreadable: Document =
        rpc::decode(&rpc::encode(&(77_u128, [0xff_u8; 4].as_slice()))).expect("a document");
    let adapt = |state: ControlState| ControlState {
        configuration_version: 99 + MAX_APPLIED_CHANGES as u64,
        configuration: unreadable.clone(),
        applied_changes: changes.clone().collect(),
        ..state
    };
    let nodes = nodes_with(1, 3, adapt).await;
    put(&nodes[0], "operator_put_too_old.txt", Some("50"), &document(5000, "r")).await;
    get(&nodes[0], "operator_timetable_unreadable.txt", TIMETABLE).await;
    let answer = nodes[0].request(Method::PATCH, TIMETABLE, Some("1123"), r#"{"edition":5000}"#).await;
    check_text("operator_patch_unreadable.txt", &formatted(&format!("PATCH {TIMETABLE}"), &answer));
}

#[tokio::test(start_paused = true)]
async fn given_no_majority_when_orders_come_then_the_answers_stay() {
    let view = Arc::new(ViewCell::new());
    let proposer = Proposer::new(Arc::clone(&view), rpc::Client::new());
    let operator = operator_routes(view, proposer).map_to_response();
    let mut text = String::new();
    let retire = format!("{RETIRE}/store0");
    for (method, path, body) in [
        (Method::GET, TIMETABLE, ""),
        (Method::PUT, TIMETABLE, "{}"),
        (Method::GET, &*retire, ""),
        (Method::POST, &*retire, "{}"),
        (Method::POST, VERSION_PUT, r#"{"model":"m","edition":2}"#),
    ] {
        let request = Request::builder().method(method.clone()).uri(path.parse().expect("a path"));
        let request = request.header("If-Match", "0").body(body);
        let response = operator.get_response(request).await;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.into_body().into_string().await.expect("a text");
        text += &formatted(&format!("{method} {path}"), &OperatorReply { status, headers, body });
    }
    check_text("operator_no_majority.txt", &text);
}
