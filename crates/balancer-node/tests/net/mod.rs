//! Helpers of the tests that run the node's binary: they start it and provide scripted servers, discovery and
//! clients.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Status of a response to a request that was served.
pub const OK: &str = "200 OK";
/// Timeout of every wait in a test. It is long enough even on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(90);

/// Prevents a process from being spawned while [`unused_address`] has a listener open. Between fork and exec,
/// a child process has a copy of every socket of this process, so the address would stay bound until exec.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Binds a listener to a loopback address that no other test uses.
pub fn unused_listener() -> TcpListener {
    TcpListener::bind(SocketAddr::from((unused_ip(), 0))).expect("a free port")
}

/// Returns a loopback address that no other test uses and at which no process listens.
pub fn unused_address() -> SocketAddr {
    let _guard = SPAWN_LOCK.lock();
    unused_listener().local_addr().expect("bound")
}

/// Returns a loopback address that this process has not used yet; its second byte depends on the process.
fn unused_ip() -> [u8; 4] {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    [127, 1 + (std::process::id() % 250) as u8, (n / 250) as u8, 1 + (n % 250) as u8]
}

/// Starts a process; see [`SPAWN_LOCK`].
pub fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.lock();
    command.spawn().expect("started")
}

/// An HTTP request or response. The names of its headers are in lower case.
#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; returns `None` if the connection ends before the message is complete.
    pub fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut text = String::new();
            from.read_line(&mut text).ok().filter(|n| *n > 0).map(|_| text.trim_end().to_owned())
        };
        let start_line = line()?;
        let mut headers = Vec::new();
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { start_line, headers, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |n| n.parse().expect("a length"));
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
}

/// An event at a scripted server.
pub enum ServerEvent {
    /// A request has arrived.
    Request(Exchange),
    /// The connection with this number has ended, with no request in progress.
    Closed(usize),
}

/// A request that the test has to answer. If it is dropped without an answer, no further request is read from
/// its connection.
pub struct Exchange {
    pub request: Message,
    /// Number of the connection, counted from zero in the order of acceptance.
    pub connection: usize,
    pub stream: TcpStream,
    /// Lets the server's thread read the next request from the connection.
    continue_reading: Sender<()>,
}

impl Exchange {
    /// Sends a response. The connection then accepts another request.
    ///
    /// # Panics
    ///
    /// Panics if the node has closed the connection.
    pub fn answer(self, status: &str, headers: &str, body: &[u8]) {
        assert!(self.try_answer(status, headers, body), "the node has closed the connection");
    }

    /// Sends a response unless the connection is closed; returns whether it was sent. The connection then
    /// accepts another request.
    pub fn try_answer(mut self, status: &str, headers: &str, body: &[u8]) -> bool {
        let length = body.len();
        let written = write!(self.stream, "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n")
            .and_then(|()| self.stream.write_all(body));
        written.is_ok() && self.continue_reading.send(()).is_ok()
    }

    /// Sends raw bytes, and ignores a failure.
    pub fn write(&mut self, bytes: &[u8]) {
        // This fails if the node has closed the connection.
        let _ = self.stream.write_all(bytes);
    }

    /// Waits until the node has closed its sending side, and checks that it sends nothing more.
    pub fn wait_until_closed(&mut self) {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        match self.stream.read(&mut [0; 1]) {
            Ok(n) => assert_eq!(n, 0, "the node has sent further bytes"),
            Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset),
        }
    }

    /// Returns whether the node has closed its sending side.
    pub fn is_closed(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("set");
        let ended = match self.stream.read(&mut [0; 1]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        };
        self.stream.set_nonblocking(false).expect("set");
        ended
    }
}

/// A scripted model server or discovery: it passes each request to the test, which answers it.
pub struct Server {
    pub address: SocketAddr,
    events: Receiver<ServerEvent>,
}

impl Server {
    pub fn start() -> Self {
        let listener = unused_listener();
        let address = listener.local_addr().expect("bound");
        let (sender, events) = mpsc::channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, sender) = (stream.expect("accepted"), sender.clone());
                thread::spawn(move || serve(&stream, connection, &sender));
            }
        });
        Self { address, events }
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> ServerEvent {
        self.events.recv_timeout(TEST_TIMEOUT).expect("a request or the end of a connection")
    }

    /// Waits for the next request, and skips the ends of connections.
    pub fn request(&self) -> Exchange {
        loop {
            if let ServerEvent::Request(exchange) = self.next_event() {
                return exchange;
            }
        }
    }

    /// Returns the next request if one has arrived, and skips the ends of connections.
    pub fn try_request(&self) -> Option<Exchange> {
        self.events.try_iter().find_map(|event| match event {
            ServerEvent::Request(exchange) => Some(exchange),
            ServerEvent::Closed(_) => None,
        })
    }

    /// Returns whether a request has arrived that the test has not received. That request is dropped.
    pub fn has_request(&self) -> bool {
        self.try_request().is_some()
    }
}

/// Reads the requests of one connection, one after the other, and passes each to the test.
fn serve(stream: &TcpStream, connection: usize, sender: &Sender<ServerEvent>) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    while let Some(request) = Message::read(&mut reader) {
        let (continue_reading, answered) = mpsc::channel();
        let stream = stream.try_clone().expect("cloned");
        // Sending fails if the test has ended.
        let _ = sender.send(ServerEvent::Request(Exchange { request, connection, stream, continue_reading }));
        if answered.recv().is_err() {
            return;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = sender.send(ServerEvent::Closed(connection));
}

/// Returns an entry of a server list.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Returns a server list in the form that discovery sends.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

/// Returns a configuration with this initial list and three classes: `read` is safe, `update` keyed, `pay`
/// unsafe.
pub fn config(members: &[Value]) -> Value {
    let class = |name, effect| {
        json!({"name": name, "effect": effect, "group": "cell", "dedup_window_ms": 60_000.0,
               "deadline_ms": 2_000.0, "promise_ms": 1_000.0})
    };
    json!({
        "name": "n0", "seed": "8c1f30d27a5be964", "limits": {"sockets": 256}, "known": list(1, true, members),
        "settings": {
            "classes": [class("read", "retryable"), class("update", "dedup"), class("pay", "fragile")],
            "parties": [{"name": "acme", "quota_per_s": 1_000.0}], "zones": ["a"], "kinds": ["m"],
            "discovery": "subscribe", "stats": {"source": "inline", "fields": ["active", "waiting"]},
            "rules": {"ask_within_ms": 2_000.0, "drain_grace_ms": 20_000.0},
            "allowed": {"conn_idle_ms": 20_000.0, "dial_timeout_ms": 10_000.0, "most_held": 100,
                        "max_attempts": 3, "cancel": true, "retry_after": true, "max_retry_after_ms": 400.0},
        },
    })
}

/// A process that runs the node's binary. Dropping it kills the process.
pub struct Node {
    /// Address at which the node listens for clients.
    pub address: SocketAddr,
    /// The scripted discovery whose address the node gets from its environment.
    pub discovery: Server,
    child: Child,
    log: BufReader<ChildStderr>,
}

/// Returns the path of the configuration file of the node at this address.
pub fn config_path(address: SocketAddr) -> std::path::PathBuf {
    let name = format!("{}.json", address.to_string().replace(':', "-"));
    std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Writes the configuration file, and returns the command that starts the node with its environment
/// variables.
pub fn command(config: &str, address: SocketAddr, discovery: SocketAddr) -> Command {
    let path = config_path(address);
    std::fs::write(&path, config).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_balancer-node"));
    command.env("GW_NAME", "n0").env("GW_LISTEN", address.to_string());
    command.env("GW_DISCOVERY", discovery.to_string()).env("GW_CONFIG", path);
    command
}

impl Node {
    /// Starts a node and waits until it is healthy. Discovery answers the first call with the list of the
    /// configuration.
    pub fn start(config: &Value) -> Self {
        Self::start_with_first_call(config, |_, first| {
            first.answer(OK, "", config["known"].to_string().as_bytes());
        })
    }

    /// Starts a node and waits until it is healthy. `on_first_call` gets the node's address and its first
    /// call to discovery.
    pub fn start_with_first_call(config: &Value, on_first_call: impl FnOnce(SocketAddr, Exchange)) -> Self {
        let (address, discovery) = (unused_address(), Server::start());
        let node =
            Self::launch(&mut command(&config.to_string(), address, discovery.address), address, discovery);
        let first = node.discovery.request();
        assert_eq!(first.request.start_line, "GET /catalog/members HTTP/1.1");
        on_first_call(node.address, first);
        node.wait_until_healthy();
        node
    }

    /// Starts the command of a node that will listen at this address.
    pub fn launch(command: &mut Command, address: SocketAddr, discovery: Server) -> Self {
        let mut child = spawn(command.stderr(Stdio::piped()));
        let log = BufReader::new(child.stderr.take().expect("piped"));
        Self { address, discovery, child, log }
    }

    /// Waits until the node listens, and checks that it is healthy.
    pub fn wait_until_healthy(&self) {
        let since = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            assert!(since.elapsed() < TEST_TIMEOUT, "the node does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(self.client().round_trip("GET /_health HTTP/1.1\r\nhost: n\r\n\r\n").status(), 200);
    }

    /// Starts a node whose server list holds these servers, with the ids `s0`, `s1` and so on.
    pub fn with_servers(servers: &[&Server]) -> Self {
        Self::start(&config(&members(servers)))
    }

    /// Connects a new client.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file atomically, and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let (path, new) = (config_path(self.address), config_path(self.address).with_extension("new"));
        std::fs::write(&new, config).and_then(|()| std::fs::rename(&new, path)).expect("replaced");
        self.send_sighup();
    }

    /// Sends SIGHUP, on which the node reads its configuration file again.
    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let sent = spawn(Command::new("kill").args([signal, &self.child.id().to_string()])).wait();
        assert!(sent.expect("sent").success());
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn resident_memory(&self) -> u64 {
        self.memory_status("VmRSS:")
    }

    /// Returns the peak resident memory of the process, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.memory_status("VmHWM:")
    }

    /// Returns the number of open file descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("running").count()
    }

    /// Returns a size in `/proc/PID/status`, converted to bytes.
    fn memory_status(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("running");
        let line = text.lines().find_map(|line| line.strip_prefix(field)).expect("the field");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") * 1024
    }

    /// Waits for the next line of the node's log.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("read");
        line
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("waited for") {
                return status;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "the node does not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // This fails if the node has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the list entries of active servers, with the ids `s0`, `s1` and so on.
pub fn members(servers: &[&Server]) -> Vec<Value> {
    let name = |(i, server): (usize, &&Server)| member(&format!("s{i}"), server.address, "active");
    servers.iter().enumerate().map(name).collect()
}

/// A client's connection to a node.
pub struct Client {
    pub stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("accepted");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        Self { stream: BufReader::new(stream) }
    }

    pub fn send(&mut self, request: &str) {
        self.stream.get_mut().write_all(request.as_bytes()).expect("sent");
    }

    /// Waits for the next response.
    pub fn response(&mut self) -> Message {
        Message::read(&mut self.stream).expect("a complete response")
    }

    /// Returns everything that the node sends until it closes the connection.
    pub fn read_to_end(&mut self) -> String {
        let mut all = Vec::new();
        if let Err(error) = self.stream.read_to_end(&mut all) {
            assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
        }
        String::from_utf8_lossy(&all).into_owned()
    }

    /// Sends a request and waits for the response.
    pub fn round_trip(&mut self, request: &str) -> Message {
        self.send(request);
        self.response()
    }
}

/// Returns a valid request of a class with a deadline in seconds. Each has a different id.
pub fn request(class: &str, seconds: f64) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let (method, extra) = match class {
        "read" => ("GET", ""),
        "update" => ("POST", "idempotency-key: k1\r\ncontent-length: 4\r\n"),
        _ => ("POST", "content-length: 4\r\n"),
    };
    let body = if class == "read" { "" } else { "work" };
    format!(
        "{method} /api?k=7f3a HTTP/1.1\r\nhost: origin.svc\r\nx-request-id: r{id}\r\nx-class: {class}\r\n\
         x-tenant: acme\r\nx-deadline: {seconds}\r\n{extra}\r\n{body}"
    )
}

/// Returns a listener whose backlog is full, so that further connections are not established, its address,
/// and the connection that fills the backlog.
pub fn full_listener() -> (TcpListener, SocketAddr, TcpStream) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((unused_ip(), 0)).into()).expect("bound");
    socket.listen(0).expect("listening");
    let slow = TcpListener::from(socket);
    let address = slow.local_addr().expect("bound");
    let filler = TcpStream::connect(address).expect("queued");
    (slow, address, filler)
}

/// Waits until a request arrives at one of two servers; returns the index of that server and the request.
pub fn request_to_either(servers: &[Server; 2]) -> (usize, Exchange) {
    let since = Instant::now();
    loop {
        for (index, server) in servers.iter().enumerate() {
            if let Some(exchange) = server.try_request() {
                return (index, exchange);
            }
        }
        assert!(since.elapsed() < TEST_TIMEOUT, "no request has arrived");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Sends a keyed request, and checks that this server gets it and that its response is returned.
pub fn assert_served_by(node: &Node, server: &Server) {
    let mut client = node.client();
    client.send(&request("update", 20.0));
    server.request().answer(OK, "", b"");
    assert_eq!(client.response().status(), 200);
}

/// Waits until a connection to this address is being established. State 02 in `/proc/net/tcp` is SYN_SENT.
pub fn wait_until_dialing(address: SocketAddr) {
    wait_until_listed(&format!("{} 02", proc_net_address(address)), true);
}

/// Returns how many connections to this address are being established.
pub fn count_dials(address: SocketAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a TCP table");
    table.matches(&format!("{} 02", proc_net_address(address))).count()
}

/// Returns the local addresses of all connections to this address, whatever their state.
pub fn connections_to(address: SocketAddr) -> HashSet<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a TCP table");
    let remote_address = proc_net_address(address);
    let local_address_of = |line: &str| {
        let mut columns = line.split_whitespace().skip(1);
        let local_address = columns.next()?.to_owned();
        (columns.next()? == remote_address).then_some(local_address)
    };
    table.lines().filter_map(local_address_of).collect()
}

/// Waits until at least `dials` connections to this address are being established.
pub fn wait_until_dial_count(address: SocketAddr, dials: usize) {
    let since = Instant::now();
    while count_dials(address) < dials {
        assert!(since.elapsed() < TEST_TIMEOUT, "{} connections are being established", count_dials(address));
        thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until no connection to this address is being established.
pub fn wait_until_not_dialing(address: SocketAddr) {
    wait_until_listed(&format!("{} 02", proc_net_address(address)), false);
}

/// Waits until the node has closed its socket of a client's connection.
pub fn wait_until_closed_by_node(node: SocketAddr, client: SocketAddr) {
    wait_until_listed(&format!("{} {}", proc_net_address(node), proc_net_address(client)), false);
}

/// Waits until the node's kernel has received that the client closed its sending side or reset the
/// connection: until the node's socket is no longer in state 01, ESTABLISHED.
pub fn wait_until_disconnect_received(node: SocketAddr, client: SocketAddr) {
    wait_until_listed(&format!("{} {} 01", proc_net_address(node), proc_net_address(client)), false);
}

/// Returns an address in the form of `/proc/net/tcp`.
fn proc_net_address(address: SocketAddr) -> String {
    let SocketAddr::V4(v4) = address else { panic!("{address} is not an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port())
}

/// Waits until `/proc/net/tcp` contains an entry, or until it does not.
fn wait_until_listed(entry: &str, is_listed: bool) {
    let since = Instant::now();
    while std::fs::read_to_string("/proc/net/tcp").expect("a TCP table").contains(entry) != is_listed {
        assert!(since.elapsed() < TEST_TIMEOUT, "whether `{entry}` is in /proc/net/tcp: {}", !is_listed);
        thread::sleep(Duration::from_millis(5));
    }
}
