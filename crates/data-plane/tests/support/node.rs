//! An ingress before fake servers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use data_plane::{Forwarder, Ingress, IngressSettings, JobEndpoint};
use futures_util::future::BoxFuture;
use reqwest::{Client, Method, Response, StatusCode};
use tokio::net::TcpListener;

use super::{forwarder, FakeServer, Reaction, LONG};

/// Answers with the path it was called with.
struct Jobs;

impl JobEndpoint for Jobs {
    fn handle(&self, request: poem::Request) -> BoxFuture<'_, poem::Response> {
        let path = request.uri().path().to_owned();
        Box::pin(async move { poem::Response::builder().status(StatusCode::ACCEPTED).body(path) })
    }
}

/// An ingress with a client of it.
pub struct Node {
    pub ingress: Ingress,
    pub address: SocketAddr,
    pub client: Client,
    pub ready: Arc<AtomicBool>,
    pub confirmed: Arc<AtomicBool>,
    pub serving: tokio::task::JoinHandle<std::io::Result<()>>,
}

impl Node {
    pub async fn start(forwarder: Forwarder) -> Self {
        Self::start_with(forwarder, LONG).await
    }

    /// A node that takes new connections for this long when it drains.
    pub async fn start_with(forwarder: Forwarder, accept_while_draining: Duration) -> Self {
        let (ready, confirmed) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(true)));
        let (is_ready, is_confirmed) = (Arc::clone(&ready), Arc::clone(&confirmed));
        let settings = IngressSettings {
            jobs: Arc::new(Jobs),
            is_ready: Box::new(move || is_ready.load(Ordering::Relaxed)),
            is_configuration_confirmed: Box::new(move || is_confirmed.load(Ordering::Relaxed)),
            accept_while_draining,
            drain_timeout: accept_while_draining + LONG,
        };
        let ingress = Ingress::new(forwarder, settings);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
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

pub async fn fake_servers(scripts: Vec<Reaction>) -> Vec<FakeServer> {
    let mut servers = Vec::new();
    for (number, script) in scripts.into_iter().enumerate() {
        let id = format!("server{number}");
        servers.push(FakeServer::start(&id, move |_, _| script.clone()).await);
    }
    servers
}

/// A node that sends to servers which all do the same.
pub async fn node_with(servers: &[FakeServer]) -> Node {
    let (forwarder, changes) = forwarder(&servers.iter().collect::<Vec<_>>());
    // The view stays as it is; the forwarder keeps the last one.
    drop(changes);
    Node::start(forwarder).await
}

pub fn received_count(servers: &[FakeServer]) -> usize {
    servers.iter().map(|server| server.received().len()).sum()
}
