//! Tests of the emulated plain servers and engines, over loopback sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use local_fleet::protocol::header;
use local_fleet::servers::{EngineOptions, EngineServer, PlainOptions, PlainServer};
use local_fleet::verification::{EventData, ExpectedRequest};
use local_fleet::{RequestLog, Rule};
use serde_json::{json, Value};

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const LONG_DURATION: Duration = Duration::from_secs(600);

fn request_log() -> Arc<RequestLog> {
    Arc::new(RequestLog::new(Duration::from_secs(3), Duration::ZERO))
}

async fn start_plain_server(
    request_log: &Arc<RequestLog>,
    slots: usize,
    service_time: Duration,
) -> PlainServer {
    let options = PlainOptions {
        service: "tally".into(),
        id: "i-1".into(),
        health_path: "/health".into(),
        slots,
        max_queued: 0,
        service_time,
    };
    PlainServer::start(SocketAddr::from(LOOPBACK), options, Arc::clone(request_log))
        .await
        .expect("a free port")
}

fn engine_options() -> EngineOptions {
    EngineOptions {
        service: "llm".into(),
        id: "i-2".into(),
        health_path: "/health".into(),
        model: "daka".into(),
        slots: 2,
        max_queued: 0,
        event_interval: Duration::ZERO,
        load_time: Duration::ZERO,
        cache_tokens: 1000,
        truncate_every: 0,
    }
}

async fn start_engine(request_log: &Arc<RequestLog>, options: EngineOptions) -> EngineServer {
    EngineServer::start(SocketAddr::from(LOOPBACK), options, Arc::clone(request_log))
        .await
        .expect("a free port")
}

fn expect_request(request_log: &RequestLog, id: &str, service: &str) {
    let services = vec![service.to_owned()];
    request_log.expect_request(id, ExpectedRequest { path: "/a/1".into(), body: "body".into(), services });
}

fn plain_request(to: SocketAddr, id: &str) -> reqwest::RequestBuilder {
    reqwest::Client::new().post(format!("http://{to}/a/1")).header(header::ATTEMPT_ID, id).body("body")
}

fn generation_request(to: SocketAddr, id: &str) -> reqwest::RequestBuilder {
    plain_request(to, id).header(header::TOKENS, "271,4")
}

async fn engine_report(to: SocketAddr) -> Value {
    let response = reqwest::get(format!("http://{to}/api/report")).await.expect("a response");
    serde_json::from_slice(&response.bytes().await.expect("a body")).expect("JSON")
}

fn load_order(version: u64, fence: u64) -> Value {
    json!({"order": "edition", "model": "daka", "edition": version, "method": "hold", "holder": "n", "fence": fence})
}

async fn send_order(to: SocketAddr, order: &Value) -> u16 {
    let request = reqwest::Client::new().post(format!("http://{to}/api/order")).body(order.to_string());
    request.send().await.expect("a response").status().as_u16()
}

fn header_value(response: &reqwest::Response, name: &str) -> Option<String> {
    Some(response.headers().get(name)?.to_str().ok()?.to_owned())
}

#[tokio::test]
async fn given_a_plain_server_when_called_then_the_response_has_the_id_a_stamp_and_the_load() {
    let request_log = request_log();
    expect_request(&request_log, "q1", "tally");
    let server = start_plain_server(&request_log, 2, Duration::ZERO).await;
    let response = plain_request(server.address(), "q1").send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(header_value(&response, header::ATTEMPT_ID).as_deref(), Some("q1"));
    assert!(header_value(&response, header::LOAD).is_some_and(|load| load.ends_with(",2")));
    let stamp = header_value(&response, header::STAMP).expect("a stamp");
    let body = response.bytes().await.expect("a body");
    assert_eq!(
        request_log.response(&stamp).map(|response| (response.id, response.body)),
        Some(("q1".to_owned(), body))
    );
    assert!(request_log.violations().is_empty());
}

#[tokio::test]
async fn given_another_expected_server_when_called_then_the_request_is_not_run() {
    let request_log = request_log();
    let server = start_plain_server(&request_log, 2, Duration::ZERO).await;
    let request = plain_request(server.address(), "q1").header(header::EXPECTED_SERVER, "i-9");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 421);
    assert_eq!(header_value(&response, header::NOT_RUN).as_deref(), Some("1"));
    assert_eq!(header_value(&response, header::SERVER).as_deref(), Some("i-1"));
    assert!(request_log.violations().is_empty(), "a request that was not run is not recorded as an arrival");
}

#[tokio::test]
async fn given_a_request_without_id_when_called_then_it_is_not_run() {
    let server = start_plain_server(&request_log(), 2, Duration::ZERO).await;
    let url = format!("http://{}/a/1", server.address());
    let response = reqwest::Client::new().post(url).send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 400);
    assert_eq!(header_value(&response, header::NOT_RUN).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_a_server_without_slots_when_called_then_it_reports_that_the_request_was_not_run() {
    let request_log = request_log();
    let server = start_plain_server(&request_log, 0, Duration::ZERO).await;
    let response = plain_request(server.address(), "q1").send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(header_value(&response, header::NOT_RUN).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_a_long_request_when_its_deadline_passes_then_the_server_returns_a_stamped_504() {
    let request_log = request_log();
    expect_request(&request_log, "q1", "tally");
    let server = start_plain_server(&request_log, 1, LONG_DURATION).await;
    let request = plain_request(server.address(), "q1").header(header::TIME_LEFT, "5");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 504);
    assert_eq!(header_value(&response, header::NOT_RUN), None);
    assert!(header_value(&response, header::STAMP).is_some());
}

#[tokio::test]
async fn given_an_unexpected_request_when_run_then_a_violation_is_recorded() {
    let request_log = request_log();
    let server = start_plain_server(&request_log, 1, Duration::ZERO).await;
    plain_request(server.address(), "q1").send().await.expect("a response");
    assert_eq!(
        request_log.violations().first().map(|violation| violation.rule),
        Some(Rule::UnexpectedRequest)
    );
}

#[tokio::test]
async fn given_a_server_when_its_health_is_checked_then_it_returns_its_id() {
    let server = start_plain_server(&request_log(), 1, Duration::ZERO).await;
    let response = reqwest::get(format!("http://{}/health", server.address())).await.expect("a response");
    assert_eq!(response.status().as_u16(), 200);
    assert_eq!(header_value(&response, header::SERVER).as_deref(), Some("i-1"));
}

#[tokio::test]
async fn given_an_engine_when_called_then_it_streams_events_with_consecutive_ids() {
    let request_log = request_log();
    expect_request(&request_log, "t1", "llm");
    let server = start_engine(&request_log, engine_options()).await;
    let response = generation_request(server.address(), "t1").send().await.expect("a response");
    assert_eq!(header_value(&response, "content-type").as_deref(), Some("text/event-stream"));
    assert_eq!(header_value(&response, header::VERSION).as_deref(), Some("1"));
    assert_eq!(event_ids(&response.text().await.expect("a complete stream")), [1, 2, 3, 4]);
}

fn event_ids(stream: &str) -> Vec<u64> {
    stream.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

fn event_data(stream: &str) -> Vec<EventData> {
    stream.lines().filter_map(|line| line.strip_prefix("data: ")?.parse().ok()).collect()
}

#[tokio::test]
async fn given_the_id_of_the_last_event_when_called_then_the_stream_continues_after_it() {
    let request_log = request_log();
    expect_request(&request_log, "t1", "llm");
    let server = start_engine(&request_log, engine_options()).await;
    let request = generation_request(server.address(), "t1").header(header::LAST_EVENT_ID, "2");
    let text = request.send().await.expect("a response").text().await.expect("a complete stream");
    assert_eq!(event_ids(&text), [3, 4]);
    assert_eq!(event_data(&text).iter().map(|event| event.index).collect::<Vec<_>>(), [3, 4]);
}

#[tokio::test]
async fn given_an_engine_that_truncates_streams_when_called_then_the_connection_is_aborted() {
    let request_log = request_log();
    expect_request(&request_log, "t1", "llm");
    let server = start_engine(&request_log, EngineOptions { truncate_every: 1, ..engine_options() }).await;
    let response = generation_request(server.address(), "t1").send().await.expect("a response head");
    assert!(response.text().await.is_err());
}

#[tokio::test]
async fn given_another_expected_version_when_called_then_the_engine_does_not_run_the_request() {
    let request_log = request_log();
    let server = start_engine(&request_log, engine_options()).await;
    let request = generation_request(server.address(), "t1").header(header::EXPECTED_VERSION, "2");
    let response = request.send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 421);
    assert_eq!(header_value(&response, header::NOT_RUN).as_deref(), Some("1"));
    assert_eq!(header_value(&response, header::VERSION).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_a_named_version_when_ordered_then_the_engine_loads_it() {
    let request_log = request_log();
    request_log.name_version(2);
    let server = start_engine(&request_log, engine_options()).await;
    assert_eq!(send_order(server.address(), &load_order(2, 1)).await, 202);
    while engine_report(server.address()).await["occupied"] == true {}
    let report = engine_report(server.address()).await;
    assert_eq!(report["models"][0]["edition"], 2);
    assert_eq!(report["callCount"], 1);
    assert_eq!(send_order(server.address(), &load_order(2, 1)).await, 200, "the version is loaded already");
    assert_eq!((server.version(), server.accepted_orders()), (2, 1));
}

#[tokio::test]
async fn given_a_load_in_progress_when_requests_and_orders_arrive_then_neither_is_accepted() {
    let request_log = request_log();
    request_log.name_version(2);
    let server =
        start_engine(&request_log, EngineOptions { load_time: LONG_DURATION, ..engine_options() }).await;
    assert_eq!(send_order(server.address(), &load_order(2, 1)).await, 202);
    assert_eq!(send_order(server.address(), &load_order(2, 1)).await, 409);
    let response = generation_request(server.address(), "t1").send().await.expect("a response");
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(header_value(&response, header::NOT_RUN).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_invalid_orders_when_sent_then_they_are_rejected() {
    let server = start_engine(&request_log(), engine_options()).await;
    assert_eq!(send_order(server.address(), &load_order(2, 1)).await, 400, "version 2 was not named");
    assert_eq!(
        send_order(server.address(), &json!({"order": "edition", "model": "daka", "edition": 1})).await,
        400
    );
    let mut unexpected = load_order(1, 1);
    unexpected["ifRevision"] = json!(7);
    assert_eq!(send_order(server.address(), &unexpected).await, 409);
}
