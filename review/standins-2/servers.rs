//! Model servers and application servers as the pages describe them, and a trainer's calls.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::{Addresses, Carrier, Fleet, Record};
use crate::net::{answer, base64, call, serve, Call, Handler, Json, Message};

pub const HOST: &str = "ficu95.example";
pub const MODEL: &str = "daka510000";
pub const LANE: &str = "/pule252/";
pub const LLM: &str = "huvo11a";

/// What the model server does with one run, decided by the script: a stream of so many events, with this pause
/// between them.
#[derive(Clone, Debug)]
pub struct Turn {
    pub events: u64,
    pub pause: Duration,
}

pub type Decide = Arc<dyn Fn(&str, usize) -> Turn + Send + Sync>;

/// Starts a model server with weights of version 1 and lists it. `decide` gives the turn for the id of a request and the
/// number of runs of that id so far.
pub fn start_model_server(
    fleet: &Fleet,
    index: usize,
    zone: usize,
    record: Record,
    decide: Decide,
) -> Result<(), String> {
    let address: SocketAddr = fleet.addresses.of(100 + index, 8080);
    let id = format!("i-7f3a91c{index}");
    fleet.carriers.lock().unwrap().push(Carrier {
        id: id.clone(),
        service: LLM.to_owned(),
        address,
        zone,
        slots: 8,
        condition: "open",
        models: vec![(MODEL.to_owned(), 1)],
    });
    let counts: Mutex<HashMap<String, usize>> = Mutex::default();
    let handler: Handler = Arc::new(move |request, stream| {
        if let Some(done) = common(request, stream, &id) {
            return done;
        }
        let run_id = request.header("Attempt-Id").unwrap_or("").to_owned();
        let before = {
            let mut counts = counts.lock().unwrap();
            let count = counts.entry(run_id.clone()).or_default();
            *count += 1;
            *count - 1
        };
        let turn = decide(&run_id, before);
        let from =
            request.header("Last-Event-Id").and_then(|id| id.parse::<u64>().ok()).map_or(1, |id| id + 1);
        record.note(format!("server: request {} of {run_id}, from event {from}: {turn:?}", before + 1));
        let Turn { events, pause } = turn;
        let is_whole = stream_events(stream, &run_id, from, events, pause);
        let how = if is_whole { "answered with 200" } else { "closed by the system" };
        record.note(format!("server: request {} of {run_id} {how}", before + 1));
        is_whole
    });
    serve(address, handler).map_err(|error| format!("model server: {error}"))
}

/// Answers health checks, reports, orders, and requests for another server.
fn common(request: &Message, stream: &mut TcpStream, id: &str) -> Option<bool> {
    let attempt = request.header("Attempt-Id").unwrap_or("").to_owned();
    if request.header("Expected-Carrier").is_some_and(|expected| expected != id) {
        let headers = [("Not-Run", "1"), ("Attempt-Id", attempt.as_str())];
        return Some(answer(stream, "421 Misdirected Request", &headers, b""));
    }
    match (request.method(), request.path()) {
        ("GET", "/api/report") => {
            let body = format!(
                "{{\"leg\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"edition\":1,\"adapters\":[]}}],\"occupied\":false,\
                 \"callCount\":0,\"queuedCount\":0,\"inTransit\":0,\"cacheUsed\":0,\"cacheTotal\":90000,\"handles\":0}}"
            );
            Some(answer(stream, "200 OK", &[("Content-Type", "application/json")], body.as_bytes()))
        }
        ("POST", "/api/order") => Some(answer(stream, "200 OK", &[], b"")),
        ("GET", "/health") => Some(answer(stream, "200 OK", &[("Carrier", id)], b"")),
        _ => None,
    }
}

/// Sends the events of a text from `from` on; returns whether all of them were written.
fn stream_events(stream: &mut TcpStream, id: &str, from: u64, events: u64, pause: Duration) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nPostmark: 3e1b.07.{id}\r\nWeight-Editions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in from..=events {
        std::thread::sleep(pause);
        let text = format!("id: {event}\ndata: token {event} of {id}\n\n");
        if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// A configuration with one route for batch jobs.
pub fn configuration(edition: u64, tries: u32) -> String {
    format!(
        "{{\"edition\":{edition},\"routes\":[{{\"name\":\"r-lot\",\"depot\":\"{HOST}\",\"lanePrefix\":\"{LANE}\",\
         \"kind\":\"rollout\",\"expiryMs\":12000,\"dueMs\":400,\"deliveryDueMs\":8000,\"shelfLifeS\":60,\"urgency\":1,\
         \"postalLine\":\"{LLM}\",\"tries\":{tries},\"resume\":true}}],\
         \"postalLines\":[{{\"name\":\"{LLM}\",\"healthPath\":\"/health\",\"berthCap\":160,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"berths\":8,\"cacheTokens\":39117,\"cacheBytes\":35136,\"linkMbps\":1400000.0,\"stride\":54,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"labelBytes\":16384,\"parcelBytes\":33554432,\"labelMs\":3000,\"idleMs\":15000}}}}"
    )
}

/// One item of a batch job, without a reward call.
pub fn parcel(id: &str, bundle: &str, payload: &[u8]) -> String {
    format!(
        "{{\"id\":\"{id}\",\"lane\":\"{LANE}3/{id}\",\"envelope\":{{\"Model\":\"{MODEL}\",\"Tokens\":\"16,30\",\
         \"Prompt-Prefix\":\"9c2e41:255,{id}:16\"}},\"payload\":\"{}\",\"tokens\":46,\"bundle\":\"{bundle}\"}}",
        base64(payload)
    )
}

pub fn batch_job(parcels: &[String], wanted: u32) -> String {
    format!(
        "{{\"step\":0,\"model\":\"{MODEL}\",\"oldestEdition\":1,\"wanted\":{wanted},\"parcels\":[{}]}}",
        parcels.join(",")
    )
}

/// Hands a batch job in at one node after the other until one answers 202; returns whether one did before `until`.
pub fn submit(
    addresses: &Addresses,
    record: &Record,
    nodes: usize,
    id: &str,
    body: &str,
    until: Duration,
    wait: Duration,
) -> bool {
    let mut turn = 0;
    while record.elapsed() < until {
        let headers = [("Host", HOST), ("Attempt-Id", id), ("Content-Type", "application/json")];
        let node = turn % nodes;
        let said =
            call(addresses.front(node), "POST", &format!("{LANE}{id}"), &headers, body.as_bytes(), wait);
        record.note(format!("trainer: POST of batch job {id} at counter {}: {}", node + 1, said.describe()));
        if said.status() == 202 {
            return true;
        }
        turn += 1;
        std::thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Time between two reads of a trainer, which reads about twice a second.
pub const READ_PAUSE: Duration = Duration::from_millis(500);

/// Tries `is_read` for each batch job at all nodes in turn, until it is true or `reading` is over. Returns the batch jobs for
/// which it was true at no node; each node has been tried for each of them.
pub fn unread_at_all_nodes(
    record: &Record,
    jobs: &[usize],
    reading: Duration,
    is_read: impl Fn(usize, usize) -> bool + Sync,
) -> Vec<usize> {
    let until = record.elapsed() + reading;
    let unread = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for &job in jobs {
            let (unread, is_read) = (&unread, &is_read);
            scope.spawn(move || {
                let mut tries = 0;
                while !is_read((job + tries) % 3, job) {
                    tries += 1;
                    if record.elapsed() > until && tries >= 3 {
                        record.note(format!(
                            "reader: batch job {job}: {tries} tries at the three nodes, not read"
                        ));
                        unread.lock().unwrap().push(job);
                        return;
                    }
                    std::thread::sleep(READ_PAUSE);
                }
                record.note(format!("reader: batch job {job}: read at try {}", tries + 1));
            });
        }
    });
    unread.into_inner().unwrap()
}

/// Reads the results from a position on; `None` without a clear answer.
pub fn read(addresses: &Addresses, node: usize, id: &str, after: u64) -> (Call, Option<Json>) {
    let path = format!("/api/lots/{id}?after={after}");
    let headers = [("Host", HOST), ("Hold-Ms", "500")];
    let said = call(addresses.front(node), "GET", &path, &headers, b"", Duration::from_millis(2500));
    let json = match &said {
        Call::Answer(message) if message.status() == 200 => Json::parse(&message.text()),
        _ => None,
    };
    (said, json)
}
