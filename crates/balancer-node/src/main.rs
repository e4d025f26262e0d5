//! The balancer node: serves clients until SIGTERM, then answers the requests that it has admitted and exits.
//! SIGHUP makes it read the address of discovery again.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

use balancer::net::config::Config;
use balancer::net::config_error::ConfigError;
use balancer::net::node::{Node, NodeError};
use balancer::net::{discovery, frontend};

/// Reason why the node cannot start.
enum StartError {
    Runtime(io::Error),
    Signal { name: &'static str, source: io::Error },
    Config(ConfigError),
    Node(NodeError),
    Listen { address: SocketAddr, source: io::Error },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runtime(source) => write!(f, "cannot start the event loop: {source}"),
            Self::Signal { name, source } => write!(f, "cannot install the handler for {name}: {source}"),
            Self::Config(error) => error.fmt(f),
            Self::Node(error) => error.fmt(f),
            Self::Listen { address, source } => {
                write!(f, "`GW_LISTEN`: cannot listen on {address}: {source}")
            }
        }
    }
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("balancer-node: {}", balancer::wire::one_line(&error.to_string()));
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(StartError::Runtime)?, serve())
}

async fn serve() -> Result<(), StartError> {
    // The handlers come first: once they are installed, neither signal kills the process.
    let mut terminate = on_signal(SignalKind::terminate(), "SIGTERM")?;
    let mut hangup = on_signal(SignalKind::hangup(), "SIGHUP")?;
    let config = Config::from_env().map_err(StartError::Config)?;
    let address = config.listen;
    let node = Node::start(config).map_err(StartError::Node)?;
    // The first list must be applied before the first client connects: no request may be sent to a draining
    // server.
    let connection = discovery::fetch_initial(&node).await;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    tokio::task::spawn_local(discovery::follow(Rc::clone(&node), connection));
    tokio::task::spawn_local(Rc::clone(&node).close_idle_connections());
    let reloading_node = Rc::clone(&node);
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            reloading_node.reload().await;
        }
    });
    frontend::run(node, listener, async move {
        terminate.recv().await;
    })
    .await;
    Ok(())
}

fn on_signal(kind: SignalKind, name: &'static str) -> Result<Signal, StartError> {
    signal(kind).map_err(|source| StartError::Signal { name, source })
}
