//! Calls to servers, as these see them.

use std::sync::{Arc, Mutex};

use control_plane::{HttpServerCalls, ServerCalls};
use poem::endpoint::make;
use poem::http::HeaderMap;
use poem::{Request, Route};
use rollout::{OrderReply, ReportRequest, UpdateMethod, VersionOrder};
use tokio::net::TcpListener;

use super::check_text;

/// The headers that are the client's own.
const EXCEPT: [&str; 4] = ["host", "accept", "user-agent", "content-length"];

fn formatted(request: &str, headers: &HeaderMap, body: &str) -> String {
    let mut lines: Vec<String> = headers
        .iter()
        .filter(|(name, _)| !EXCEPT.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}: {}\n", value.to_str().expect("a text")))
        .collect();
    lines.sort();
    format!("{request}\n{}\n{body}\n", lines.concat())
}

#[tokio::test]
async fn given_calls_to_a_server_when_they_arrive_then_their_form_stays() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let seen_there = Arc::clone(&seen);
    let server = make(move |mut request: Request| {
        let seen = Arc::clone(&seen_there);
        async move {
            let body = request.take_body().into_string().await.expect("a text");
            let line = format!("{} {}", request.method(), request.uri().path());
            seen.lock().expect("no panic").push(formatted(&line, request.headers(), &body));
            r#"{"models":[{"name":"m","edition":3}],"occupied":true,"callCount":1,"queuedCount":2,"inTransit":3}"#
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(rpc::serve(listener, Route::new().at("/*", server)));

    let calls = HttpServerCalls::new();
    let order = VersionOrder {
        server: "s-1".into(),
        address,
        model: "m".into(),
        version: 3,
        method: UpdateMethod::Drain,
    };
    let body = serde_json::to_string(&order.body("a", 12)).expect("it is serialized");
    assert_eq!(calls.send_order(&order, body).await, OrderReply::from_status(200));
    let report =
        calls.request_report(&ReportRequest { server: "s-1".into(), address }).await.expect("it reports");
    assert_eq!((report.models[0].version, report.occupied, report.running), (3, true, 3));
    check_text("server_calls.txt", &seen.lock().expect("no panic").join("\n"));
}
