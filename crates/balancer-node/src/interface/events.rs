//! Events that a node passes to the decision logic, and actions that the decision logic returns.

use super::{EndpointUpdate, ServerId};

/// Number of a client's request. The embedding node assigns it and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client's request at its arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Number under which later events and actions refer to the request.
    pub id: RequestId,
    /// Index of its class in [`DecisionSettings::classes`](crate::DecisionSettings::classes).
    pub class: usize,
    /// Index of its tenant in [`DecisionSettings::quotas_per_s`](crate::DecisionSettings::quotas_per_s).
    pub tenant: usize,
    /// Time until the client gives up waiting for the answer, in milliseconds.
    pub budget_ms: f64,
    /// Expected processing time on a standard core, in milliseconds; `None` if unknown.
    pub cost_ms: Option<f64>,
    /// Whether the client sent the same request before.
    pub is_retry: bool,
}

impl ClientRequest {
    /// Creates a request of the first tenant that is not a retry and whose cost is unknown.
    #[must_use]
    pub fn new(id: RequestId, class: usize, budget_ms: f64) -> Self {
        Self { id, class, tenant: 0, budget_ms, cost_ms: None, is_retry: false }
    }
}

/// Load that a server reports; `None` for a figure that it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in flight at the server, from all nodes.
    pub in_flight: Option<f64>,
    /// Number of requests in the server's queue, from all nodes.
    pub queued: Option<f64>,
}

/// Result of an attempt or of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server served the request.
    Served,
    /// The server answered with an error; the request may have run.
    Error,
    /// A full server rejected the request, which did not run.
    Rejected,
    /// No answer arrived in time; the request may have run.
    TimedOut,
    /// No connection could be established; the request did not run.
    Unreachable,
    /// The connection broke; the request may have run.
    Reset,
    /// The node cancelled the attempt; the request may have run.
    Cancelled,
    /// The node never sent the attempt; the request did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the request may have taken effect at the server.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Rejected | Self::Unreachable | Self::NotSent)
    }
}

/// End of one attempt. A second end of the same attempt is ignored.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Request to which the attempt belongs.
    pub request: RequestId,
    /// Index of the attempt within the request, from zero in the order of sending.
    pub attempt: usize,
    /// Time since the attempt was sent, in milliseconds.
    pub elapsed_ms: f64,
    /// Result of the attempt.
    pub outcome: AttemptOutcome,
    /// Whether the client has its final answer, from this attempt or an earlier one.
    pub complete: bool,
    /// The server's load report, if the answer carried one.
    pub report: Option<LoadReport>,
}

/// Event that a node passes to [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerEvent {
    /// Discovery sent an update of the server list, or failed to.
    EndpointsUpdated(EndpointUpdate),
    /// A client's request arrived; it must get exactly one final answer.
    RequestArrived(ClientRequest),
    /// A streamed answer began; from now on the node passes this attempt's answer to the client.
    StreamStarted {
        /// Request that is answered.
        request: RequestId,
        /// Index of the attempt that is streamed.
        attempt: usize,
    },
    /// An attempt ended, with or without a final answer to the client.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// The timer with this number, set by [`BalancerAction::SetTimer`], fired.
    TimerFired(u64),
    /// A probe was answered or failed.
    ProbeEnded {
        /// Server that was probed.
        server: ServerId,
        /// Result of the probe; `Served` if the server answered.
        outcome: AttemptOutcome,
        /// The server's load report, if the answer carried one.
        report: Option<LoadReport>,
    },
}

/// Action that the node must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Sends the next attempt of a request.
    Send {
        /// Request to send; its attempts are numbered from zero in the order of these actions.
        request: RequestId,
        /// Server to send it to.
        server: ServerId,
        /// Time from now, in milliseconds, after which nothing of the attempt may be sent any more. `None`
        /// unless an earlier attempt may have run and the class has a deduplication window.
        within_ms: Option<f64>,
    },
    /// Asks a server for its load report.
    Probe {
        /// Server to probe.
        server: ServerId,
    },
    /// Cancels an attempt, whose end must still be reported.
    Cancel {
        /// Request to which the attempt belongs.
        request: RequestId,
        /// Index of the attempt within the request.
        attempt: usize,
    },
    /// Gives the final answer that the request was rejected and is safe to retry.
    Reject {
        /// Request to answer.
        request: RequestId,
        /// Time after which the client should retry, in ms; `None` if the settings allow no hint.
        retry_after_ms: Option<f64>,
    },
    /// Gives the final answer that the request failed; it may have taken effect.
    Fail {
        /// Request to answer.
        request: RequestId,
    },
    /// Subscribes to changes of the server list, or asks for the list again.
    Subscribe,
    /// Requests a [`BalancerEvent::TimerFired`] after some time.
    SetTimer {
        /// Number to pass with the event.
        timer: u64,
        /// Time from now, in milliseconds.
        after_ms: f64,
    },
    /// Writes a line to the operators' log.
    Log(String),
}
