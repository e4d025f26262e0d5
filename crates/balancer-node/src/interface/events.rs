//! What happens to a node, and what the decision module asks it to do.

use super::{EndpointUpdate, ServerId};

/// A client's request, numbered by the embedding node and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Time until the client gives up waiting for the answer, in milliseconds.
    pub budget_ms: f64,
    /// Work it is expected to need on a standard core, in milliseconds.
    pub cost_ms: Option<f64>,
    /// Whether the client repeats a request that it sent before.
    pub is_retry: bool,
}

impl ClientRequest {
    /// A request of the first tenant that is not a retry.
    #[must_use]
    pub fn new(id: RequestId, class: usize, budget_ms: f64) -> Self {
        Self { id, class, tenant: 0, budget_ms, cost_ms: None, is_retry: false }
    }
}

/// A server's own account of its load; a figure that it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the server, over all nodes.
    pub in_flight: Option<f64>,
    /// Requests in the server's queue.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// An error answer; it may have run.
    Error,
    /// Rejected by a full server; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the request may have taken effect at the server.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Rejected | Self::Unreachable | Self::NotSent)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt, numbered from zero in the order of sending.
    pub attempt: usize,
    /// Time since it was sent, in milliseconds.
    pub elapsed_ms: f64,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether the client has its final answer, from this attempt or before it.
    pub complete: bool,
    /// The server's load report, if the answer carried one.
    pub report: Option<LoadReport>,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerEvent {
    /// Discovery sent an update, or failed to.
    EndpointsUpdated(EndpointUpdate),
    /// A client's request, which now needs exactly one final answer.
    RequestArrived(ClientRequest),
    /// A streamed answer has begun; the attempt belongs to the client from now on.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; no answer is needed any more.
    ClientDisconnected(RequestId),
    /// A timer set by [`BalancerAction::SetTimer`] fired.
    TimerFired(u64),
    /// A probe was answered, or failed.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The server's load report, if there was one.
        report: Option<LoadReport>,
    },
}

/// What the node is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Milliseconds from now after which nothing of it may be sent any more, where the deduplication
        /// window of its class sets a limit.
        within_ms: Option<f64>,
    },
    /// Ask a server for its load report.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: rejected, and safe to retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Milliseconds after which the client should retry, where a hint may be given.
        retry_after_ms: Option<f64>,
    },
    /// Final answer: failed, perhaps after taking effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Subscribe to the changes of the server list.
    Subscribe,
    /// Feed back [`BalancerEvent::TimerFired`] after a while.
    SetTimer {
        /// Returned with the event.
        timer: u64,
        /// Milliseconds from now.
        after_ms: f64,
    },
    /// A line for the operators' log.
    Log(String),
}
