//! Clients that leave without a word, and clients that stay without one.

mod net;
use net::*;

use std::net::{Shutdown, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Close,
    /// It ends its sending and could still read.
    HalfClose,
    Reset,
}

/// Once the end of a client has come to the node, nothing of its request begins any more, whatever is told after
/// that. The node looked for it every 100 ms where input stood behind the request, and what came back unrun meanwhile
/// was sent again. Where attempts may not be cancelled, the outcome still comes.
#[test]
fn nothing_begins_for_a_client_that_has_left() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0], &servers[1]]));
    config["settings"]["allowed"]["cancel"] = json!(false);
    let node = Node::start(&config);
    // In part with hyper, in part with the kernel.
    let long = format!("GET /api HTTP/1.1\r\nx: {}", "a".repeat(40_000));
    let behind = ["", "GET /api", &request("read", 60.0), &long];
    // Somewhere between two looks of 100 ms; by itself it proves nothing.
    for (round, wait) in [0, 60, 20, 80].map(Duration::from_millis).into_iter().enumerate() {
        for (leaving, behind) in [Leaving::Close, Leaving::HalfClose, Leaving::Reset]
            .into_iter()
            .zip(behind.iter().cycle().skip(round))
        {
            let mut client = node.client();
            client.send(&(request("read", 60.0) + behind));
            let (_, got) = either(&servers);
            std::thread::sleep(wait);
            let stream = client.stream.get_ref();
            let left = stream.local_addr().expect("connected");
            let stays = match leaving {
                Leaving::HalfClose => {
                    stream.shutdown(Shutdown::Write).expect("ended");
                    Some(client)
                }
                Leaving::Close | Leaving::Reset => {
                    let linger = matches!(leaving, Leaving::Reset).then_some(Duration::ZERO);
                    socket2::SockRef::from(stream).set_linger(linger).expect("set");
                    drop(client);
                    None
                }
            };
            until_left(node.address, left);
            got.answer("503 Busy", "x-not-run: 1\r\n", b"");
            // Others go all their way, and nothing of the first comes meanwhile.
            for _ in 0..2 {
                let mut client = node.client();
                client.send(&request("update", 60.0));
                let (_, got) = either(&servers);
                let first = &got.request.first;
                assert!(
                    first.starts_with("POST "),
                    "{first}: {leaving:?}, {wait:?}, {} behind",
                    behind.len()
                );
                got.answer(OK, "", b"");
                assert_eq!(client.answer().status(), 200);
            }
            assert!(
                servers.iter().all(|server| !server.has_request()),
                "{leaving:?}, {} behind",
                behind.len()
            );
            drop(stays);
        }
    }
}

// ---- Discovery that is down

const HEALTH: &str = "GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";

/// Clients that stay idle take every place that they may while discovery is silent, then breaks off. Places for the
/// list and for servers are kept apart from theirs, so the node hears it when it is back, and serves a new client by
/// it. The shell lowers the process's own limit of descriptors to the one that the node is told.
#[test]
fn idle_clients_keep_the_node_from_neither_the_list_nor_its_servers() {
    let servers = [Server::start(), Server::start()];
    let mut config = config(&members(&[&servers[0]]));
    config["limits"]["sockets"] = json!(128);
    config["settings"]["rules"]["drain_grace_ms"] = json!(400.0);
    let (address, discovery) = (own_address(), Server::start());
    let told = command(&config.to_string(), address, discovery.address);
    let mut limited = Command::new("sh");
    limited.args(["-c", "ulimit -n 128 && exec \"$0\""]).arg(told.get_program());
    limited.envs(told.get_envs().filter_map(|(key, value)| Some((key, value?))));
    let node = Node::launch(&mut limited, address, discovery);
    node.discovery.request().answer(OK, "", config["known"].to_string().as_bytes());
    node.until_healthy();
    let mut silent = node.discovery.request();
    // More than the process could ever hold, half of them answered once.
    let fill = || -> Vec<Client> {
        let mut clients: Vec<Client> = (0..300).map(|_| node.client()).collect();
        clients.iter_mut().step_by(2).for_each(|client| {
            // It fails where the connection has been closed for a later one.
            let _ = std::io::Write::write_all(client.stream.get_mut(), HEALTH.as_bytes());
        });
        clients
    };
    let mut idle = vec![fill()];
    silent.await_end();
    for _ in 0..3 {
        let broken = node.discovery.request();
        idle.push(fill());
        assert_eq!(node.client().ask(HEALTH).status(), 200, "all were taken in");
        let held = node.descriptors();
        assert!((50..96).contains(&held), "{held} of 128 with idle clients alone");
        // It fails where the node has given up the call.
        let _ = broken.stream.shutdown(Shutdown::Both);
    }
    let news = [member("s0", servers[0].address, "leaving"), member("s1", servers[1].address, "active")];
    let news = list(2, false, &news).to_string();
    // Calls that the node has given up meanwhile stand before the one that it hears.
    while let Some(mut watch) =
        Some(node.discovery.request()).filter(|w| !w.request.first.contains("since=2&"))
    {
        watch.write(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{news}", news.len()).as_bytes());
    }
    (0..3).for_each(|_| served_by(&node, &servers[1]));
    assert!(!servers[0].has_request());
    drop(idle);
}

/// Nine in ten restarted nodes have to be ready within 10 s, whatever discovery does. A node waits for the first list
/// for a quarter of the drain grace at most, here half a second, and a list that comes in drips counts like none;
/// then it listens with the list last known.
#[test]
fn a_node_is_ready_in_time_whatever_discovery_does() {
    let server = Server::start();
    let mut config = config(&members(&[&server]));
    config["settings"]["rules"]["drain_grace_ms"] = json!(2_000.0);
    let (_stuck, never_up, _filler) = full_listener();
    let drips = own_listener();
    let dripping = drips.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in drips.incoming() {
            let mut stream: TcpStream = stream.expect("accepted");
            // Until the node has had enough of it.
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
    let silent = Server::start();
    let cases = [
        ("refuses", own_address()),
        ("is silent", silent.address),
        ("never comes up", never_up),
        ("drips", dripping),
    ];
    for (what, discovery) in cases {
        let address = own_address();
        let started = Instant::now();
        let mut command = command(&config.to_string(), address, discovery);
        let node = Node::launch(&mut command, address, Server::start());
        node.until_healthy();
        assert!(started.elapsed() < Duration::from_secs(10), "{what}: {:?}", started.elapsed());
        served_by(&node, &server);
    }
}
