//! Transport of simulated processes: calls and replies are put into an outbox, from which the fleet takes and
//! delivers them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use control_plane::{ListSource, PlatformError, ServerCalls};
use futures_util::future::BoxFuture;
use rollout::{OrderReply, ReportRequest, ServerReport, VersionOrder};
use rpc::{CallError, Transport};
use state::{ServerEntry, ServerList, ServerListVersion};
use tokio::sync::oneshot;

use crate::external_requests::ExternalReply;
use crate::model_server::{self, ORDER_PATH, REPORT_PATH};

/// The path at which the platform serves its list of servers.
const LIST_PATH: &str = "list";
/// Time limit of a request to a server for its report, and of a call to the platform.
const EXTERNAL_CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// A sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Endpoint {
    /// The machine with this index.
    Machine(usize),
    /// The model server with this index.
    Server(usize),
    /// The platform, which serves the list of servers.
    Platform,
    /// All operators and trainers.
    ExternalClients,
}

/// The status and body of a reply, or the reason why there is none.
pub(crate) type CallOutcome = Result<(u16, Bytes), CallError>;

/// A call that a process has made and that the fleet has not taken yet.
pub(crate) struct OutgoingCall {
    /// The index of the calling machine.
    pub(crate) caller: usize,
    pub(crate) to: Endpoint,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// Passes the outcome to the caller. Dropping it makes the call fail with an unknown outcome.
    pub(crate) reply: oneshot::Sender<CallOutcome>,
}

/// The messages that processes have sent since the fleet last took them.
#[derive(Default)]
pub(crate) struct SentMessages {
    pub(crate) calls: Vec<OutgoingCall>,
    /// Replies to calls of other processes, each with the number of the call.
    pub(crate) replies: Vec<(u64, CallOutcome)>,
    /// Replies to operators and trainers, each with the number of the request.
    pub(crate) external_replies: Vec<(u64, ExternalReply)>,
}

/// Collects the messages that processes send. All clones share one outbox.
#[derive(Clone, Default)]
pub(crate) struct Outbox {
    sent: Arc<Mutex<SentMessages>>,
}

impl Outbox {
    fn lock(&self) -> MutexGuard<'_, SentMessages> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns all collected messages.
    pub(crate) fn take_messages(&self) -> SentMessages {
        std::mem::take(&mut *self.lock())
    }

    /// Sends the reply to a call of another process.
    pub(crate) fn send_reply(&self, call: u64, outcome: CallOutcome) {
        self.lock().replies.push((call, outcome));
    }

    /// Sends the reply to a request of an operator or trainer.
    pub(crate) fn send_external_reply(&self, call: u64, reply: ExternalReply) {
        self.lock().external_replies.push((call, reply));
    }

    /// Sends a call and waits for its outcome, at most for `timeout`.
    async fn call(
        &self,
        caller: usize,
        to: Endpoint,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> CallOutcome {
        let called = self.call_without_limit(caller, to, path, body);
        let no_reply = |_| Err(CallError::Unknown("no reply within the time limit of the call".into()));
        tokio::time::timeout(timeout, called).await.unwrap_or_else(no_reply)
    }

    /// Sends a call and waits until its outcome is known or its connection fails.
    async fn call_without_limit(&self, caller: usize, to: Endpoint, path: &str, body: Bytes) -> CallOutcome {
        let (reply, receiver) = oneshot::channel();
        // The body is memory of the caller until it stops waiting.
        let _body = body.clone();
        self.lock().calls.push(OutgoingCall { caller, to, path: path.to_owned(), body, reply });
        let failed = |_| Err(CallError::Unknown("the connection failed before a reply".into()));
        receiver.await.unwrap_or_else(failed)
    }
}

/// Returns the index of the machine that has this internal address: the last number of its IP address.
fn machine_of_address(address: &str) -> usize {
    let ip = address.split(':').next().unwrap_or_default();
    let index = ip.rsplit('.').next().and_then(|octet| octet.parse().ok());
    index.expect("internal addresses end with the index of the machine")
}

/// Returns the IP address of a machine.
pub(crate) fn ip_of(machine: usize) -> String {
    format!("10.0.0.{machine}")
}

/// Sends the calls of the processes of one machine through the outbox.
pub(crate) struct SimulatedTransport {
    pub(crate) outbox: Outbox,
    pub(crate) machine: usize,
}

impl SimulatedTransport {
    /// Requests something from a model server or the platform.
    async fn call_external(&self, to: Endpoint, path: &str, body: Bytes) -> CallOutcome {
        self.outbox.call(self.machine, to, path, body, EXTERNAL_CALL_TIMEOUT).await
    }
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
            let to = Endpoint::Machine(machine_of_address(address));
            let called = self.outbox.call(self.machine, to, path, request.into(), timeout);
            let (status, body) = called.await?;
            CallError::check_status(status)?;
            // A copy, which is memory of this process and not of the one that replied.
            Ok(Bytes::copy_from_slice(&body))
        })
    }
}

impl ServerCalls for SimulatedTransport {
    fn send_order<'a>(&'a self, order: &'a VersionOrder, body: String) -> BoxFuture<'a, OrderReply> {
        Box::pin(async move {
            let to = Endpoint::Server(model_server::index_of_address(order.address));
            match self.outbox.call_without_limit(self.machine, to, ORDER_PATH, body.into()).await {
                Ok((status, _)) => OrderReply::from_status(status),
                Err(error) if error.may_have_run() => OrderReply::Indeterminate,
                Err(_) => OrderReply::NotAccepted,
            }
        })
    }

    fn request_report<'a>(&'a self, request: &'a ReportRequest) -> BoxFuture<'a, Option<ServerReport>> {
        Box::pin(async move {
            let to = Endpoint::Server(model_server::index_of_address(request.address));
            let (_, body) = self.call_external(to, REPORT_PATH, Bytes::new()).await.ok()?;
            serde_json::from_slice(&body).ok()
        })
    }
}

impl ListSource for SimulatedTransport {
    fn read(&self, version: ServerListVersion) -> BoxFuture<'_, Result<ServerList, PlatformError>> {
        Box::pin(async move {
            let called = self.call_external(Endpoint::Platform, LIST_PATH, Bytes::new()).await;
            let (_, body) = called.map_err(|error| PlatformError::Unreadable(error.to_string()))?;
            let servers: Vec<ServerEntry> =
                rpc::decode(&body).map_err(|error| PlatformError::Unreadable(error.to_string()))?;
            Ok(ServerList::new(version, servers))
        })
    }
}
