//! HTTP servers on loopback sockets whose reaction to each request is determined by a script.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};

/// A request as a fake server read it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The unmodified bytes of the head, including the blank line that ends it.
    pub head: String,
    /// The request line, without the line break.
    pub line: String,
    /// The values of the headers, by lower-case name. Of repeated headers, only the last one is kept.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// The number of the connection on which the request was received; the first connection of a server has
    /// 0.
    pub connection: usize,
}

impl ReceivedRequest {
    /// Returns the value of a header; an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// The reaction of a fake server to a request. In the text that it writes, `{id}` is replaced by the
/// request's id.
#[derive(Clone, Debug)]
pub enum Reaction {
    /// Writes the text and keeps the connection open for further requests.
    Write(String),
    /// Writes the text and closes the connection.
    WriteAndClose(String),
    /// Writes the text and resets the connection.
    WriteAndReset(String),
    /// Writes nothing and waits until the client closes the connection.
    Hang,
    /// Writes the text and waits until the client closes the connection.
    WriteAndHang(String),
    /// Writes the text after a notification and keeps the connection open for further requests.
    WriteWhenNotified(Arc<Notify>, String),
}

/// Function that determines the reaction to a request. The second argument is the number of requests that the
/// server has received before, on all connections.
pub type Script = dyn Fn(&ReceivedRequest, usize) -> Reaction + Send + Sync;

/// A running server, which records the requests that it receives.
pub struct FakeServer {
    pub id: String,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    closed_receiver: tokio::sync::Mutex<mpsc::UnboundedReceiver<()>>,
}

impl FakeServer {
    pub async fn start(
        id: &str,
        script: impl Fn(&ReceivedRequest, usize) -> Reaction + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let script: Arc<Script> = Arc::new(script);
        let (closed_sender, closed_receiver) = mpsc::unbounded_channel();
        tokio::spawn(accept(listener, Arc::clone(&received), script, closed_sender));
        Self {
            id: id.to_owned(),
            address,
            received,
            closed_receiver: tokio::sync::Mutex::new(closed_receiver),
        }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("a lock that is not poisoned").clone()
    }

    /// Waits until a client has closed a connection to whose request the server reacted with
    /// [`Reaction::Hang`] or [`Reaction::WriteAndHang`].
    pub async fn wait_for_close(&self) {
        self.closed_receiver.lock().await.recv().await.expect("a fake server that is running");
    }
}

/// Accepts connections and serves each in a separate task.
async fn accept(
    listener: TcpListener,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    script: Arc<Script>,
    closed_sender: mpsc::UnboundedSender<()>,
) {
    for connection in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let (received, script, closed_sender) =
            (Arc::clone(&received), Arc::clone(&script), closed_sender.clone());
        tokio::spawn(serve(stream, connection, received, script, closed_sender));
    }
}

/// Reads requests from a connection, records them and reacts to them according to the script.
async fn serve(
    mut stream: TcpStream,
    connection: usize,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    script: Arc<Script>,
    closed_sender: mpsc::UnboundedSender<()>,
) {
    let mut buffer = Vec::new();
    while let Some(mut request) = read_request(&mut stream, &mut buffer).await {
        request.connection = connection;
        let number = {
            let mut received = received.lock().expect("a lock that is not poisoned");
            received.push(request.clone());
            received.len() - 1
        };
        let insert_id = |text: &str| text.replace("{id}", request.header("attempt-id"));
        match script(&request, number) {
            Reaction::Write(text) => {
                stream.write_all(insert_id(&text).as_bytes()).await.expect("a response that can be written")
            }
            Reaction::WriteAndClose(text) => {
                stream.write_all(insert_id(&text).as_bytes()).await.expect("a response that can be written");
                return;
            }
            Reaction::WriteAndReset(text) => {
                stream.write_all(insert_id(&text).as_bytes()).await.expect("a response that can be written");
                return reset(&stream);
            }
            Reaction::WriteWhenNotified(notification, text) => {
                notification.notified().await;
                stream.write_all(insert_id(&text).as_bytes()).await.expect("a response that can be written");
            }
            Reaction::Hang => return wait_until_closed(stream, closed_sender).await,
            Reaction::WriteAndHang(text) => {
                stream.write_all(insert_id(&text).as_bytes()).await.expect("a response that can be written");
                return wait_until_closed(stream, closed_sender).await;
            }
        }
    }
}

/// Configures the connection so that dropping it resets it instead of closing it.
pub fn reset(stream: &TcpStream) {
    stream.set_zero_linger().expect("SO_LINGER can be set");
}

/// Reads until the client closes the connection, then reports that to [`FakeServer::wait_for_close`].
async fn wait_until_closed(mut stream: TcpStream, closed_sender: mpsc::UnboundedSender<()>) {
    let mut rest = [0; 64];
    while matches!(stream.read(&mut rest).await, Ok(read) if read > 0) {}
    let _ = closed_sender.send(());
}

/// Reads a request including its body. `buffer` keeps bytes of the next request. Returns `None` if the
/// connection ends before the request is complete.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer.drain(..end).collect()).expect("valid UTF-8");
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
    Some(ReceivedRequest { head, line, headers, body, connection: 0 })
}
