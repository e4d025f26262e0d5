//! Helpers that the tests share: fake servers, forwarders and nodes that send requests to them, and golden
//! files.
#![allow(dead_code, unused_imports, reason = "each test file uses some of the helpers")]

mod fake_server;
pub mod golden;
pub mod node;
mod responses;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use configuration::Configuration;
use data_plane::Forwarder;
use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion, View};
use tokio::net::TcpListener;
use tokio::sync::watch;

pub use fake_server::{read_request, reset, FakeServer, Reaction, ReceivedRequest};
pub use responses::{event, rejection, response, response_text, stream_text, success};

/// Returns the entry of a server that runs version 3 of model `m` and has 4 slots.
pub fn server_entry(id: &str, address: SocketAddr, service: &str) -> ServerEntry {
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

/// Returns a configuration with routes of several kinds to service `s`, and the route `nowhere` to a service
/// without servers. The name of a route is the first segment of its path. Routes have a timeout of 20 s and a
/// latency target of 10 s, except `short` with a timeout of 30 ms and `hasty` with a latency target of 1 ms.
pub fn configuration() -> Configuration {
    let route = |prefix: &str, kind: &str, extra_fields: &str| {
        format!(
            r#"{{"name":"{prefix}","depot":"h.example","lanePrefix":"/{prefix}/","kind":"{kind}",
            "expiryMs":20000,"dueMs":10000,"urgency":1,"postalLine":"s","tries":3{extra_fields}}}"#
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
    Configuration::parse(text.as_bytes()).expect("a valid configuration")
}

/// Returns a server list with these entries.
pub fn server_list(entries: Vec<ServerEntry>) -> Arc<ServerList> {
    Arc::new(ServerList::new(ServerListVersion::default(), entries))
}

/// Creates a forwarder whose server list contains these servers, all of service `s`. Also returns the sender
/// of its view.
pub fn forwarder(servers: &[&FakeServer]) -> (Forwarder, watch::Sender<Arc<View>>) {
    let entries = servers.iter().map(|server| server_entry(&server.id, server.address, "s")).collect();
    forwarder_with_entries(entries)
}

/// Creates a forwarder with this server list. Also returns the sender of its view.
pub fn forwarder_with_entries(entries: Vec<ServerEntry>) -> (Forwarder, watch::Sender<Arc<View>>) {
    let view = View {
        configuration: Some(Arc::new(configuration())),
        servers: server_list(entries),
        ..View::default()
    };
    let (view_sender, view) = watch::channel(Arc::new(view));
    (Forwarder::new(view, "zone".into()), view_sender)
}

/// Returns an address on which no process listens.
pub async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// A timeout that does not expire in any test.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(60);
