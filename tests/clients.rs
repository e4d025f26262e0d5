//! Clients that leave without a word, and clients that stay without one.

mod net;
use net::*;

use std::net::Shutdown;
use std::time::Duration;

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
/// that. The node looked for it every 100 ms where input stood behind the request, and what came back unrun
/// meanwhile was sent again. Where attempts may not be cancelled, the outcome still comes.
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
