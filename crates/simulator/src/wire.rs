//! What processes put on the simulated network, and how the shipped code gets there.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use control_plane::{ListSource, PlatformError, ServerCalls};
use futures_util::future::BoxFuture;
use rollout::{OrderReply, ReportRequest, ServerReport, VersionOrder};
use rpc::{CallError, Transport};
use state::{ServerList, ServerListVersion};
use tokio::sync::oneshot;

use crate::requests::Reply;
use crate::servers::{self, ORDER_PATH, REPORT_PATH};

/// Path of the platform's list.
pub(crate) const LIST_PATH: &str = "list";
/// How long a server or the platform may take to answer.
const OUTSIDE_CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Who sends and receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Place {
    /// A machine of the system.
    Machine(usize),
    /// A model server.
    Server(usize),
    /// The platform.
    Platform,
    /// The operator and the trainers.
    Outside,
}

/// What a call ends with: status and body, or no answer.
pub(crate) type Outcome = Result<(u16, Bytes), CallError>;

/// A call that a process has made.
pub(crate) struct Outgoing {
    pub(crate) from: usize,
    pub(crate) to: Place,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) answer: oneshot::Sender<Outcome>,
}

/// What processes have sent since the network looked.
#[derive(Default)]
pub(crate) struct Sent {
    /// Calls to others.
    pub(crate) calls: Vec<Outgoing>,
    /// Answers to calls of other processes, by the number of the call.
    pub(crate) answers: Vec<(u64, Outcome)>,
    /// Answers to the operator and the trainers.
    pub(crate) replies: Vec<(u64, Reply)>,
}

/// The side of the network that processes see. Clones are the same network.
#[derive(Clone, Default)]
pub(crate) struct Wire {
    sent: Arc<Mutex<Sent>>,
}

impl Wire {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Sent> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn take(&self) -> Sent {
        std::mem::take(&mut *self.lock())
    }

    /// Makes a call and waits for what it ends with.
    async fn call(&self, from: usize, to: Place, path: &str, body: Bytes, timeout: Duration) -> Outcome {
        let (answer, answered) = oneshot::channel();
        self.lock().calls.push(Outgoing { from, to, path: path.to_owned(), body, answer });
        match tokio::time::timeout(timeout, answered).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => Err(CallError::Unknown("the connection was reset".into())),
            Err(_) => Err(CallError::Unknown("no reply in time".into())),
        }
    }
}

/// The place that an internal address stands for.
pub(crate) fn place_of(address: &str) -> Place {
    let ip = address.split(':').next().unwrap_or_default();
    let index = ip.rsplit('.').next().and_then(|part| part.parse().ok());
    Place::Machine(index.expect("internal addresses end with the number of the machine"))
}

/// The address of a machine, without port.
pub(crate) fn ip_of(machine: usize) -> String {
    format!("10.0.0.{machine}")
}

/// Carries the calls of one machine's processes.
pub(crate) struct SimulatedTransport {
    pub(crate) wire: Wire,
    pub(crate) machine: usize,
}

impl Transport for SimulatedTransport {
    fn call<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>> {
        Box::pin(async move {
            let outcome = self.wire.call(self.machine, place_of(address), path, request.into(), timeout);
            match outcome.await? {
                (200, body) => Ok(body),
                (status, _) => Err(CallError::Refused(status)),
            }
        })
    }
}

impl ServerCalls for SimulatedTransport {
    fn order<'a>(&'a self, order: &'a VersionOrder, body: String) -> BoxFuture<'a, OrderReply> {
        Box::pin(async move {
            let to = Place::Server(servers::index_of(order.address));
            let called = self.wire.call(self.machine, to, ORDER_PATH, body.into(), OUTSIDE_CALL_TIMEOUT);
            match called.await {
                Ok((status, _)) => OrderReply::from_status(status),
                Err(error) if error.may_have_run() => OrderReply::Unclear,
                Err(_) => OrderReply::NotTaken,
            }
        })
    }

    fn report<'a>(&'a self, ask: &'a ReportRequest) -> BoxFuture<'a, Option<ServerReport>> {
        Box::pin(async move {
            let to = Place::Server(servers::index_of(ask.address));
            let called = self.wire.call(self.machine, to, REPORT_PATH, Bytes::new(), OUTSIDE_CALL_TIMEOUT);
            let (_, body) = called.await.ok()?;
            serde_json::from_slice(&body).ok()
        })
    }
}

impl ListSource for SimulatedTransport {
    fn read(&self, version: ServerListVersion) -> BoxFuture<'_, Result<ServerList, PlatformError>> {
        Box::pin(async move {
            let to = Place::Platform;
            let called = self.wire.call(self.machine, to, LIST_PATH, Bytes::new(), OUTSIDE_CALL_TIMEOUT);
            let (_, body) = called.await.map_err(|error| PlatformError::Unreadable(error.to_string()))?;
            let servers = rpc::decode(&body).map_err(|error| PlatformError::Unreadable(error.to_string()))?;
            Ok(ServerList { version, servers })
        })
    }
}
