//! A node for tests: an ingress that forwards to fake servers, and a client of that ingress.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use data_plane::{Forwarder, Ingress, IngressSettings, JobEndpoint};
use futures_util::future::BoxFuture;
use reqwest::{Client, Method, Response, StatusCode};
use tokio::net::TcpListener;

use super::{forwarder, FakeServer, Reaction, LONG_TIMEOUT};

/// Job endpoint that responds to every request with status 202 and the path of the request as body.
struct EchoJobEndpoint;

impl JobEndpoint for EchoJobEndpoint {
    fn handle(&self, request: poem::Request) -> BoxFuture<'_, poem::Response> {
        let path = request.uri().path().to_owned();
        Box::pin(async move { poem::Response::builder().status(StatusCode::ACCEPTED).body(path) })
    }
}

/// A running ingress, and an HTTP client for requests to it.
pub struct Node {
    pub ingress: Ingress,
    pub address: SocketAddr,
    pub client: Client,
    /// The result of the ingress's readiness check.
    pub ready: Arc<AtomicBool>,
    /// Whether the ingress regards its configuration as confirmed to be the newest.
    pub confirmed: Arc<AtomicBool>,
    /// The task that serves clients. It ends after the shutdown.
    pub serving: tokio::task::JoinHandle<std::io::Result<()>>,
}

impl Node {
    /// Starts a node that is ready and whose configuration is confirmed.
    pub async fn start(forwarder: Forwarder) -> Self {
        Self::start_with_accept_time(forwarder, LONG_TIMEOUT).await
    }

    /// Starts a node that accepts new connections for `accept_while_draining` after its shutdown has started.
    pub async fn start_with_accept_time(forwarder: Forwarder, accept_while_draining: Duration) -> Self {
        let (ready, confirmed) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(true)));
        let (is_ready, is_confirmed) = (Arc::clone(&ready), Arc::clone(&confirmed));
        let settings = IngressSettings {
            jobs: Arc::new(EchoJobEndpoint),
            is_ready: Box::new(move || is_ready.load(Ordering::Relaxed)),
            is_configuration_confirmed: Box::new(move || is_confirmed.load(Ordering::Relaxed)),
            accept_while_draining,
            drain_timeout: accept_while_draining + LONG_TIMEOUT,
        };
        let ingress = Ingress::new(forwarder, settings);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let serving = tokio::spawn({
            let ingress = ingress.clone();
            async move { ingress.serve(listener).await }
        });
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("a client");
        Self { ingress, address, client, ready, confirmed, serving }
    }

    /// Sends a request to the host of the configured routes.
    pub async fn send(&self, method: Method, path: &str, body: &str) -> reqwest::Result<Response> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.request(method, url).header("host", "h.example");
        request.header("attempt-id", "try1").body(body.to_owned()).send().await
    }

    pub async fn get(&self, path: &str) -> Response {
        self.send(Method::GET, path, "").await.expect("a response")
    }

    pub async fn post(&self, path: &str) -> Response {
        self.send(Method::POST, path, "body").await.expect("a response")
    }
}

/// Starts one server for each reaction, which reacts in this way to all requests. Their ids are `server0`,
/// `server1` and so on.
pub async fn fake_servers(reactions: Vec<Reaction>) -> Vec<FakeServer> {
    let mut servers = Vec::new();
    for (number, reaction) in reactions.into_iter().enumerate() {
        let id = format!("server{number}");
        servers.push(FakeServer::start(&id, move |_, _| reaction.clone()).await);
    }
    servers
}

/// Starts a node that forwards requests to these servers.
pub async fn node_with(servers: &[FakeServer]) -> Node {
    let (forwarder, view_sender) = forwarder(&servers.iter().collect::<Vec<_>>());
    // The forwarder keeps the last view after the channel is closed.
    drop(view_sender);
    Node::start(forwarder).await
}

/// Returns the number of requests that all servers together have received.
pub fn received_count(servers: &[FakeServer]) -> usize {
    servers.iter().map(|server| server.received().len()).sum()
}
