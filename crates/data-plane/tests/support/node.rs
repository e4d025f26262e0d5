//! A front before stand-in servers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use data_plane::{Front, FrontSettings, JobEndpoint, Sender};
use futures_util::future::BoxFuture;
use reqwest::{Client, Method, Response, StatusCode};
use tokio::net::TcpListener;

use super::{sender, Act, StandIn, LONG};

/// Answers with the path it was called with.
struct Jobs;

impl JobEndpoint for Jobs {
    fn handle(&self, request: poem::Request) -> BoxFuture<'_, poem::Response> {
        let path = request.uri().path().to_owned();
        Box::pin(async move { poem::Response::builder().status(StatusCode::ACCEPTED).body(path) })
    }
}

/// A front with a client of it.
pub struct Node {
    pub front: Front,
    pub address: SocketAddr,
    pub client: Client,
    pub ready: Arc<AtomicBool>,
    pub confirmed: Arc<AtomicBool>,
    pub serving: tokio::task::JoinHandle<std::io::Result<()>>,
}

impl Node {
    pub async fn start(sender: Sender) -> Self {
        Self::start_with(sender, LONG).await
    }

    /// A node that takes new connections for this long when it drains.
    pub async fn start_with(sender: Sender, still_coming: Duration) -> Self {
        let (ready, confirmed) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(true)));
        let (is_ready, is_confirmed) = (Arc::clone(&ready), Arc::clone(&confirmed));
        let settings = FrontSettings {
            jobs: Arc::new(Jobs),
            is_ready: Box::new(move || is_ready.load(Ordering::Relaxed)),
            is_confirmed: Box::new(move || is_confirmed.load(Ordering::Relaxed)),
            still_coming,
            grace: still_coming + LONG,
        };
        let front = Front::new(sender, settings);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let serving = tokio::spawn({
            let front = front.clone();
            async move { front.serve(listener).await }
        });
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("a client");
        Self { front, address, client, ready, confirmed, serving }
    }

    pub async fn ask(&self, method: Method, path: &str, body: &str) -> reqwest::Result<Response> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.request(method, url).header("host", "h.example");
        request.header("attempt-id", "try1").body(body.to_owned()).send().await
    }

    pub async fn get(&self, path: &str) -> Response {
        self.ask(Method::GET, path, "").await.expect("an answer")
    }

    pub async fn post(&self, path: &str) -> Response {
        self.ask(Method::POST, path, "body").await.expect("an answer")
    }
}

pub async fn stand_ins(scripts: Vec<Act>) -> Vec<StandIn> {
    let mut servers = Vec::new();
    for (number, script) in scripts.into_iter().enumerate() {
        let id = format!("server{number}");
        servers.push(StandIn::start(&id, move |_, _| script.clone()).await);
    }
    servers
}

/// A node that sends to servers which all do the same.
pub async fn node_before(servers: &[StandIn]) -> Node {
    let (sender, changes) = sender(&servers.iter().collect::<Vec<_>>());
    // The view stays as it is; the sender keeps the last one.
    drop(changes);
    Node::start(sender).await
}

pub fn sends(servers: &[StandIn]) -> usize {
    servers.iter().map(|server| server.seen().len()).sum()
}
