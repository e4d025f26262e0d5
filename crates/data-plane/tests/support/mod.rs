//! Stand-in servers on loopback sockets, and views that list them.
#![allow(dead_code)]

pub mod golden;
pub mod node;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use configuration::Configuration;
use data_plane::Sender;
use state::{ServerCondition, ServerEntry, ServerList, View};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// A request as a stand-in read it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The head byte for byte, with the blank line that ends it.
    pub head: String,
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub connection: usize,
}

impl Seen {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What a stand-in does with a request. `{id}` in what it writes becomes the request's id.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes and keeps the connection.
    Write(String),
    /// Writes and closes the connection.
    WriteAndClose(String),
    /// Writes and resets the connection.
    WriteAndReset(String),
    /// Stays silent until the other side closes.
    Hang,
    /// Writes, then stays silent until the other side closes.
    WriteAndHang(String),
    /// Writes once it is let.
    WriteWhenLet(Arc<tokio::sync::Notify>, String),
}

pub type Script = dyn Fn(&Seen, usize) -> Act + Send + Sync;

/// A server that follows a script.
pub struct StandIn {
    pub id: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    closed: tokio::sync::Mutex<mpsc::UnboundedReceiver<()>>,
}

impl StandIn {
    pub async fn start(id: &str, script: impl Fn(&Seen, usize) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let script: Arc<Script> = Arc::new(script);
        let (closing, closed) = mpsc::unbounded_channel();
        tokio::spawn(accept(listener, Arc::clone(&seen), script, closing));
        Self { id: id.to_owned(), address, seen, closed: tokio::sync::Mutex::new(closed) }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no panic").clone()
    }

    /// Waits until the other side has closed a connection on which this one hangs.
    pub async fn hang_closed(&self) {
        self.closed.lock().await.recv().await.expect("a stand-in");
    }
}

async fn accept(
    listener: TcpListener,
    seen: Arc<Mutex<Vec<Seen>>>,
    script: Arc<Script>,
    closing: mpsc::UnboundedSender<()>,
) {
    for connection in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let (seen, script, closing) = (Arc::clone(&seen), Arc::clone(&script), closing.clone());
        tokio::spawn(serve(stream, connection, seen, script, closing));
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    seen: Arc<Mutex<Vec<Seen>>>,
    script: Arc<Script>,
    closing: mpsc::UnboundedSender<()>,
) {
    let mut buffer = Vec::new();
    while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
        request.connection = connection;
        let number = {
            let mut seen = seen.lock().expect("no panic");
            seen.push(request.clone());
            seen.len() - 1
        };
        let fill = |text: &str| text.replace("{id}", request.header("attempt-id"));
        match script(&request, number) {
            Act::Write(text) => stream.write_all(fill(&text).as_bytes()).await.expect("written"),
            Act::WriteAndClose(text) => {
                stream.write_all(fill(&text).as_bytes()).await.expect("written");
                return;
            }
            Act::WriteAndReset(text) => {
                stream.write_all(fill(&text).as_bytes()).await.expect("written");
                return reset(&stream);
            }
            Act::WriteWhenLet(let_go, text) => {
                let_go.notified().await;
                stream.write_all(fill(&text).as_bytes()).await.expect("written");
            }
            Act::Hang => return hang(stream, closing).await,
            Act::WriteAndHang(text) => {
                stream.write_all(fill(&text).as_bytes()).await.expect("written");
                return hang(stream, closing).await;
            }
        }
    }
}

/// A connection is reset when it is dropped.
pub fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("an option of the socket");
}

async fn hang(mut stream: TcpStream, closing: mpsc::UnboundedSender<()>) {
    let mut rest = [0; 64];
    while matches!(stream.read(&mut rest).await, Ok(read) if read > 0) {}
    let _ = closing.send(());
}

/// Reads a whole request, the body included.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer.drain(..end).collect()).expect("text");
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let pairs = lines.filter_map(|line| line.split_once(": "));
    let headers: BTreeMap<_, _> =
        pairs.map(|(name, value)| (name.to_lowercase(), value.to_owned())).collect();
    let length: usize = headers.get("content-length").map_or(0, |length| length.parse().expect("a number"));
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    let body = buffer.drain(..length).collect();
    Some(Seen { head, line, headers, body, connection: 0 })
}

/// A whole answer.
pub fn answer(status: u16, more: &str, body: &str) -> Act {
    Act::Write(answer_text(status, more, body))
}

pub fn answer_text(status: u16, more: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nAttempt-Id: {{id}}\r\n{more}Content-Length: {length}\r\n\r\n{body}")
}

/// A stamped success.
pub fn success(body: &str) -> Act {
    answer(200, "Postmark: stamp\r\n", body)
}

/// The refusal of a full server.
pub fn refusal() -> Act {
    answer(503, "Not-Run: 1\r\nRetry-After: 0.25\r\n", "full")
}

/// The head and pieces of a stream; it ends properly if `ends`.
pub fn stream_text(more: &str, pieces: &[&str], ends: bool) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nPostmark: stamp\r\nContent-Type: text/event-stream\r\n\
         {more}Transfer-Encoding: chunked\r\n\r\n"
    );
    for piece in pieces {
        text.push_str(&format!("{:x}\r\n{piece}\r\n", piece.len()));
    }
    if ends {
        text.push_str("0\r\n\r\n");
    }
    text
}

/// An event with data `e` and its number.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

pub fn entry(id: &str, address: SocketAddr, service: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: service.into(),
        address,
        zone: "zone".into(),
        slots: 4,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        models: BTreeMap::from([(Arc::from("m"), 3)]),
    }
}

/// A configuration with a route of each kind to service `s`, and one to a service without servers.
pub fn configuration() -> Configuration {
    let route = |prefix: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{prefix}","depot":"h.example","lanePrefix":"/{prefix}/","kind":"{kind}",
            "expiryMs":20000,"dueMs":10000,"urgency":1,"postalLine":"s","tries":3{more}}}"#
        )
    };
    let routes = [
        route("safe", "safe", ""),
        route("hasty", "safe", "").replace("10000", "1"),
        route("short", "safe", "").replace("20000", "30"),
        route("unsafe", "unsafe", ""),
        route("stream", "stream", ""),
        route("resumed", "stream", r#","resume":true"#),
        route("rollout", "rollout", r#","deliveryDueMs":9000,"shelfLifeS":20"#),
        route("single", "rollout", r#","deliveryDueMs":9000,"shelfLifeS":20,"singleEdition":true"#),
        route("nowhere", "safe", "").replace(r#""s""#, r#""empty""#),
    ];
    let text = format!(
        r#"{{"edition":1,"routes":[{}],"postalLines":[{{"name":"s","healthPath":"/health"}},
        {{"name":"empty","healthPath":"/health"}}],
        "limits":{{"labelBytes":2000,"parcelBytes":5000,"labelMs":3000,"idleMs":15000}}}}"#,
        routes.join(",")
    );
    Configuration::parse(text.as_bytes()).expect("a sound configuration")
}

pub fn list(entries: Vec<ServerEntry>) -> Arc<ServerList> {
    Arc::new(ServerList { servers: entries, ..ServerList::default() })
}

/// A sender that knows these servers of service `s`.
pub fn sender(servers: &[&StandIn]) -> (Sender, watch::Sender<Arc<View>>) {
    let entries = servers.iter().map(|server| entry(&server.id, server.address, "s")).collect();
    sender_to(entries)
}

pub fn sender_to(entries: Vec<ServerEntry>) -> (Sender, watch::Sender<Arc<View>>) {
    let view =
        View { configuration: Some(Arc::new(configuration())), servers: list(entries), ..View::default() };
    let (changes, view) = watch::channel(Arc::new(view));
    (Sender::new(view, "zone".into()), changes)
}

/// An address where nobody listens.
pub async fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

/// A long time, which no test waits for.
pub const LONG: Duration = Duration::from_secs(60);
