//! The stand-ins of servers, over loopback sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use local_fleet::protocol::header;
use local_fleet::servers::{EngineOptions, EngineServer, PlainOptions, PlainServer};
use local_fleet::verification::{EventData, ExpectedRequest};
use local_fleet::{RequestLog, Rule};
use serde_json::{json, Value};

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const LONG: Duration = Duration::from_secs(600);

fn request_log() -> Arc<RequestLog> {
    Arc::new(RequestLog::new(Duration::from_secs(3), Duration::ZERO))
}

async fn plain(request_log: &Arc<RequestLog>, slots: usize, service_time: Duration) -> PlainServer {
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

async fn engine(request_log: &Arc<RequestLog>, options: EngineOptions) -> EngineServer {
    EngineServer::start(SocketAddr::from(LOOPBACK), options, Arc::clone(request_log))
        .await
        .expect("a free port")
}

fn expect(request_log: &RequestLog, id: &str, service: &str) {
    let services = vec![service.to_owned()];
    request_log.expect_request(id, ExpectedRequest { path: "/a/1".into(), body: "body".into(), services });
}

fn post(to: SocketAddr, id: &str) -> reqwest::RequestBuilder {
    reqwest::Client::new().post(format!("http://{to}/a/1")).header(header::ATTEMPT_ID, id).body("body")
}

fn generation(to: SocketAddr, id: &str) -> reqwest::RequestBuilder {
    post(to, id).header(header::TOKENS, "271,4")
}

async fn report(to: SocketAddr) -> Value {
    let answer = reqwest::get(format!("http://{to}/api/report")).await.expect("an answer");
    serde_json::from_slice(&answer.bytes().await.expect("a body")).expect("JSON")
}

fn load_order(version: u64, fence: u64) -> Value {
    json!({"order": "edition", "model": "daka", "edition": version, "method": "hold", "holder": "n", "fence": fence})
}

async fn order(to: SocketAddr, order: &Value) -> u16 {
    let request = reqwest::Client::new().post(format!("http://{to}/api/order")).body(order.to_string());
    request.send().await.expect("an answer").status().as_u16()
}

fn header_value(answer: &reqwest::Response, name: &str) -> Option<String> {
    Some(answer.headers().get(name)?.to_str().ok()?.to_owned())
}

#[tokio::test]
async fn given_a_plain_server_when_called_then_it_answers_with_id_stamp_and_load() {
    let request_log = request_log();
    expect(&request_log, "q1", "tally");
    let server = plain(&request_log, 2, Duration::ZERO).await;
    let answer = post(server.address(), "q1").send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!(header_value(&answer, header::ATTEMPT_ID).as_deref(), Some("q1"));
    assert!(header_value(&answer, header::LOAD).is_some_and(|load| load.ends_with(",2")));
    let stamp = header_value(&answer, header::STAMP).expect("a stamp");
    let body = answer.bytes().await.expect("a body");
    assert_eq!(
        request_log.response(&stamp).map(|answer| (answer.id, answer.body)),
        Some(("q1".to_owned(), body))
    );
    assert!(request_log.violations().is_empty());
}

#[tokio::test]
async fn given_another_expected_server_when_called_then_the_request_is_not_run() {
    let request_log = request_log();
    let server = plain(&request_log, 2, Duration::ZERO).await;
    let request = post(server.address(), "q1").header(header::EXPECTED_SERVER, "i-9");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 421);
    assert_eq!(header_value(&answer, header::NOT_RUN).as_deref(), Some("1"));
    assert_eq!(header_value(&answer, header::SERVER).as_deref(), Some("i-1"));
    assert!(request_log.violations().is_empty(), "a request that was not run has not come to a server");
}

#[tokio::test]
async fn given_a_request_without_id_when_called_then_it_is_not_run() {
    let server = plain(&request_log(), 2, Duration::ZERO).await;
    let url = format!("http://{}/a/1", server.address());
    let answer = reqwest::Client::new().post(url).send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 400);
    assert_eq!(header_value(&answer, header::NOT_RUN).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_no_slot_when_called_then_the_server_reports_that_it_did_not_run_the_request() {
    let request_log = request_log();
    let server = plain(&request_log, 0, Duration::ZERO).await;
    let answer = post(server.address(), "q1").send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(header_value(&answer, header::NOT_RUN).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_long_work_when_the_time_of_the_request_ends_then_the_server_gives_its_own_504() {
    let request_log = request_log();
    expect(&request_log, "q1", "tally");
    let server = plain(&request_log, 1, LONG).await;
    let request = post(server.address(), "q1").header(header::TIME_LEFT, "5");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 504);
    assert_eq!(header_value(&answer, header::NOT_RUN), None);
    assert!(header_value(&answer, header::STAMP).is_some());
}

#[tokio::test]
async fn given_a_request_that_was_never_sent_when_run_then_it_breaks_a_rule() {
    let request_log = request_log();
    let server = plain(&request_log, 1, Duration::ZERO).await;
    post(server.address(), "q1").send().await.expect("an answer");
    assert_eq!(
        request_log.violations().first().map(|violation| violation.rule),
        Some(Rule::UnexpectedRequest)
    );
}

#[tokio::test]
async fn given_a_server_when_its_health_is_checked_then_it_returns_its_id() {
    let server = plain(&request_log(), 1, Duration::ZERO).await;
    let answer = reqwest::get(format!("http://{}/health", server.address())).await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!(header_value(&answer, header::SERVER).as_deref(), Some("i-1"));
}

#[tokio::test]
async fn given_an_engine_when_called_then_it_streams_events_with_rising_ids() {
    let request_log = request_log();
    expect(&request_log, "t1", "llm");
    let server = engine(&request_log, engine_options()).await;
    let answer = generation(server.address(), "t1").send().await.expect("an answer");
    assert_eq!(header_value(&answer, "content-type").as_deref(), Some("text/event-stream"));
    assert_eq!(header_value(&answer, header::VERSION).as_deref(), Some("1"));
    assert_eq!(ids(&answer.text().await.expect("a whole stream")), [1, 2, 3, 4]);
}

fn ids(stream: &str) -> Vec<u64> {
    stream.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

fn data(stream: &str) -> Vec<EventData> {
    stream.lines().filter_map(|line| line.strip_prefix("data: ")?.parse().ok()).collect()
}

#[tokio::test]
async fn given_a_last_event_when_resumed_then_the_stream_continues_after_it() {
    let request_log = request_log();
    expect(&request_log, "t1", "llm");
    let server = engine(&request_log, engine_options()).await;
    let request = generation(server.address(), "t1").header(header::LAST_EVENT_ID, "2");
    let text = request.send().await.expect("an answer").text().await.expect("a whole stream");
    assert_eq!(ids(&text), [3, 4]);
    assert_eq!(data(&text).iter().map(|event| event.index).collect::<Vec<_>>(), [3, 4]);
}

#[tokio::test]
async fn given_an_engine_that_truncates_texts_when_called_then_the_connection_breaks_off() {
    let request_log = request_log();
    expect(&request_log, "t1", "llm");
    let server = engine(&request_log, EngineOptions { truncate_every: 1, ..engine_options() }).await;
    let answer = generation(server.address(), "t1").send().await.expect("a head");
    assert!(answer.text().await.is_err());
}

#[tokio::test]
async fn given_another_expected_version_when_called_then_the_engine_does_not_run_the_request() {
    let request_log = request_log();
    let server = engine(&request_log, engine_options()).await;
    let request = generation(server.address(), "t1").header(header::EXPECTED_VERSION, "2");
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 421);
    assert_eq!(header_value(&answer, header::NOT_RUN).as_deref(), Some("1"));
    assert_eq!(header_value(&answer, header::VERSION).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_a_named_version_when_ordered_then_the_engine_loads_it() {
    let request_log = request_log();
    request_log.name_version(2);
    let server = engine(&request_log, engine_options()).await;
    assert_eq!(order(server.address(), &load_order(2, 1)).await, 202);
    while report(server.address()).await["occupied"] == true {}
    let report = report(server.address()).await;
    assert_eq!(report["models"][0]["edition"], 2);
    assert_eq!(report["callCount"], 1);
    assert_eq!(order(server.address(), &load_order(2, 1)).await, 200, "it holds already");
    assert_eq!((server.version(), server.accepted_orders()), (2, 1));
}

#[tokio::test]
async fn given_an_order_in_progress_when_requests_and_orders_arrive_then_neither_is_accepted() {
    let request_log = request_log();
    request_log.name_version(2);
    let server = engine(&request_log, EngineOptions { load_time: LONG, ..engine_options() }).await;
    assert_eq!(order(server.address(), &load_order(2, 1)).await, 202);
    assert_eq!(order(server.address(), &load_order(2, 1)).await, 409);
    let answer = generation(server.address(), "t1").send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(header_value(&answer, header::NOT_RUN).as_deref(), Some("1"));
}

#[tokio::test]
async fn given_invalid_orders_when_sent_then_they_are_rejected() {
    let server = engine(&request_log(), engine_options()).await;
    assert_eq!(order(server.address(), &load_order(2, 1)).await, 400, "no such version is named");
    assert_eq!(
        order(server.address(), &json!({"order": "edition", "model": "daka", "edition": 1})).await,
        400
    );
    let mut unexpected = load_order(1, 1);
    unexpected["ifRevision"] = json!(7);
    assert_eq!(order(server.address(), &unexpected).await, 409);
}
