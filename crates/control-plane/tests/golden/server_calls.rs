//! Golden file of the HTTP requests that servers receive from the leader.

use std::sync::{Arc, Mutex};

use control_plane::{HttpServerCalls, ServerCalls};
use poem::endpoint::make;
use poem::http::HeaderMap;
use poem::{Request, Route};
use rollout::{OrderReply, ReportRequest, UpdateMethod, VersionOrder};
use tokio::net::TcpListener;

use super::check_text;

/// Headers that the HTTP client sets; they are not compared.
const IGNORED_HEADERS: [&str; 4] = ["host", "accept", "user-agent", "content-length"];

/// Formats a request as its first line, its sorted headers and its body.
fn formatted_request(first_line: &str, headers: &HeaderMap, body: &str) -> String {
    let mut lines: Vec<String> = headers
        .iter()
        .filter(|(name, _)| !IGNORED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}: {}\n", value.to_str().expect("the header is ASCII")))
        .collect();
    lines.sort();
    format!("{first_line}\n{}\n{body}\n", lines.concat())
}

#[tokio::test]
async fn given_calls_to_a_server_when_received_then_they_match_the_golden_file() {
    let received = Arc::new(Mutex::new(Vec::new()));
    let handler_received = Arc::clone(&received);
    let server = make(move |mut request: Request| {
        let received = Arc::clone(&handler_received);
        async move {
            let body = request.take_body().into_string().await.expect("the body is UTF-8");
            let first_line = format!("{} {}", request.method(), request.uri().path());
            received.lock().expect("the lock is not poisoned").push(formatted_request(
                &first_line,
                request.headers(),
                &body,
            ));
            r#"{"models":[{"name":"m","edition":3}],"occupied":true,"callCount":1,"queuedCount":2,"inTransit":3}"#
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(rpc::serve(listener, Route::new().at("/*", server)));

    let calls = HttpServerCalls::new();
    let order = VersionOrder {
        server: "s-1".into(),
        address,
        model: "m".into(),
        version: 3,
        method: UpdateMethod::Drain,
        expected_order_count: None,
    };
    let body = serde_json::to_string(&order.body("a", 12)).expect("the order is serialized");
    assert_eq!(calls.send_order(&order, body).await, OrderReply::from_status(200));
    let report = calls
        .request_report(&ReportRequest { server: "s-1".into(), address })
        .await
        .expect("the report is valid");
    assert_eq!((report.models[0].version, report.occupied, report.running), (3, true, 3));
    check_text("server_calls.txt", &received.lock().expect("the lock is not poisoned").join("\n"));
}
