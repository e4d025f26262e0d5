//! Tests of clients that disconnect before their response, of clients that stay idle, and of the time until a
//! node accepts clients.

mod net;
use net::*;

use std::net::{Shutdown, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;

/// The way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// The client closes its socket.
    Close,
    /// The client closes its sending side only, so that it could still read a response.
    HalfClose,
    /// The client resets the connection.
    Reset,
}

/// Once the disconnect of a client has arrived at the node, no further attempt of its request may begin,
/// whatever a server responds. If unread input followed the request, the node once checked for a disconnect
/// only every 100 ms. If a server rejected the request as not run within that time, the node retried it. The
/// settings forbid cancelling attempts here, so the first attempt still gets its response.
#[test]
fn no_attempt_begins_after_the_client_has_disconnected() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    config["settings"]["allowed"]["cancel"] = json!(false);
    let node = Node::start(&config);
    // hyper buffers a part of this head, and the rest of it stays unread in the kernel.
    let long = format!("GET /api HTTP/1.1\r\nx: {}", "a".repeat(40_000));
    let inputs = ["", "GET /api", &request("read", 60.0), &long];
    // Varies the time of the disconnect relative to periodic checks, which were once 100 ms apart.
    for (round, wait) in [0, 60, 20, 80].map(Duration::from_millis).into_iter().enumerate() {
        for (disconnect, following) in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset]
            .into_iter()
            .zip(inputs.iter().cycle().skip(round))
        {
            let mut client = node.client();
            client.send(&(request("read", 60.0) + following));
            let (_, exchange) = request_to_either(&servers);
            std::thread::sleep(wait);
            let stream = client.stream.get_ref();
            let client_address = stream.local_addr().expect("connected");
            let half_closed = match disconnect {
                Disconnect::HalfClose => {
                    stream.shutdown(Shutdown::Write).expect("half closed");
                    Some(client)
                }
                Disconnect::Close | Disconnect::Reset => {
                    let linger = matches!(disconnect, Disconnect::Reset).then_some(Duration::ZERO);
                    socket2::SockRef::from(stream).set_linger(linger).expect("set");
                    drop(client);
                    None
                }
            };
            wait_until_disconnect_received(node.address, client_address);
            exchange.answer("503 Busy", "x-not-run: 1\r\n", b"");
            // Other requests are served, and the first one does not arrive again before them.
            for _ in 0..2 {
                let mut client = node.client();
                client.send(&request("update", 60.0));
                let (_, exchange) = request_to_either(&servers);
                let first = &exchange.request.start_line;
                assert!(
                    first.starts_with("POST "),
                    "`{first}` was sent again after {disconnect:?}, {wait:?}, {} bytes following",
                    following.len()
                );
                exchange.answer(OK, "", b"");
                assert_eq!(client.response().status(), 200);
            }
            assert!(
                servers.iter().all(|server| !server.has_request()),
                "a request was sent after {disconnect:?}, {} bytes following",
                following.len()
            );
            drop(half_closed);
        }
    }
}

/// Request for the health check, which the node answers itself.
const HEALTH: &str = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";

/// Idle clients occupy all connections that clients may have, while discovery first does not respond and then
/// closes its connections. Sockets for discovery and for servers are reserved, so the node must still receive
/// the next list and serve new clients with it. A shell lowers the descriptor limit of the node's process to
/// the configured number of sockets.
#[test]
fn idle_clients_leave_sockets_for_discovery_and_servers() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0]]));
    config["limits"]["sockets"] = json!(128);
    config["settings"]["rules"]["drain_grace_ms"] = json!(400.0);
    let (address, discovery) = (unused_address(), Server::start());
    let node_command = command(&config.to_string(), address, discovery.address);
    let mut limited = Command::new("sh");
    limited.args(["-c", "ulimit -n 128 && exec \"$0\""]).arg(node_command.get_program());
    limited.envs(node_command.get_envs().filter_map(|(key, value)| Some((key, value?))));
    let node = Node::launch(&mut limited, address, discovery);
    node.discovery.request().answer(OK, "", config["known"].to_string().as_bytes());
    node.wait_until_healthy();
    let mut unanswered = node.discovery.request();
    // Opens more connections than the process has descriptors; half of the clients send one request.
    let connect_idle_clients = || -> Vec<Client> {
        let mut clients: Vec<Client> = (0..300).map(|_| node.client()).collect();
        clients.iter_mut().step_by(2).for_each(|client| {
            // Writing fails if the connection was closed for a later one.
            let _ = std::io::Write::write_all(client.stream.get_mut(), HEALTH.as_bytes());
        });
        clients
    };
    let mut idle = vec![connect_idle_clients()];
    unanswered.wait_until_closed();
    for _ in 0..3 {
        let broken = node.discovery.request();
        idle.push(connect_idle_clients());
        // The response to the health check shows that the connections before it have been accepted.
        assert_eq!(node.client().round_trip(HEALTH).status(), 200, "the node accepts no new client");
        let open = node.open_descriptors();
        assert!((50..96).contains(&open), "{open} of 128 descriptors are open with idle clients alone");
        // Shutting down fails if the call has timed out and the node has closed its connection.
        let _ = broken.stream.shutdown(Shutdown::Both);
    }
    let change = [member("s0", servers[0].address, "leaving"), member("s1", servers[1].address, "active")];
    let change = list(2, false, &change).to_string();
    // Calls that have timed out arrive before the one whose response the node receives.
    while let Some(mut poll) =
        Some(node.discovery.request()).filter(|poll| !poll.request.start_line.contains("since=2&"))
    {
        poll.write(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{change}", change.len()).as_bytes());
    }
    (0..3).for_each(|_| assert_served_by(&node, &servers[1]));
    assert!(!servers[0].has_request());
    drop(idle);
}

/// Nine in ten restarted nodes must be ready within 10 s, however discovery fails. The response with the
/// first list must begin within a quarter of the drain grace, here half a second, even if a part of its head
/// has arrived. Otherwise the node serves with the configured list.
#[test]
fn a_node_is_ready_in_time_however_discovery_fails() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["rules"]["drain_grace_ms"] = json!(2_000.0);
    let (_full, not_established, _filler) = full_listener();
    let slow_listener = unused_listener();
    let slow = slow_listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in slow_listener.incoming() {
            let mut stream: TcpStream = stream.expect("accepted");
            // Sends one byte every 50 ms until the node closes the connection.
            std::thread::spawn(move || {
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\n";
                let bytes = head.iter().chain(std::iter::repeat(&b' '));
                for byte in bytes {
                    if std::io::Write::write_all(&mut stream, &[*byte]).is_err() {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let unresponsive = Server::start();
    let cases = [
        ("connection refused", unused_address()),
        ("no response", unresponsive.address),
        ("connection not established", not_established),
        ("slow response", slow),
    ];
    for (what, discovery) in cases {
        let address = unused_address();
        let started = Instant::now();
        let mut command = command(&config.to_string(), address, discovery);
        let node = Node::launch(&mut command, address, Server::start());
        node.wait_until_healthy();
        assert!(started.elapsed() < Duration::from_secs(10), "{what}: ready after {:?}", started.elapsed());
        assert_served_by(&node, &server);
    }
}
