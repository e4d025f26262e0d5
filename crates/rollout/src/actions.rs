//! Calls that the planner requests from its caller, and their outcomes.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::server::{ModelName, ServerId};

/// Treatment of running requests when a server changes the weights of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateMethod {
    /// Running requests complete with the old version before the load starts.
    #[serde(rename = "hold")]
    Drain,
    /// Running requests continue with the new version.
    #[serde(rename = "keep")]
    InPlace,
}

/// Order to a server to load a version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOrder {
    /// Incarnation that is to load the version.
    pub server: ServerId,
    /// Address to which the order is sent. Another server may have taken over the address since the list was
    /// read ([`OrderReply::WrongServer`]).
    pub address: SocketAddr,
    /// Model whose weights change.
    pub model: ModelName,
    /// Version to load; higher than the version that the server is known to have.
    pub version: u64,
    /// Treatment of the requests that are running at the server.
    pub method: UpdateMethod,
    /// Number of orders that the server must have accepted before. A server that has accepted another number rejects
    /// the order ([`OrderReply::Busy`]), so that a delayed order has no effect once a later one was accepted. `None` if
    /// the number is not known; the order is then not conditional.
    pub expected_order_count: Option<u64>,
}

/// Request for the report of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    /// Incarnation whose report is requested.
    pub server: ServerId,
    /// Address to which the request is sent.
    pub address: SocketAddr,
}

/// Call that the caller makes once, immediately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send an order, and pass its outcome to [`Planner::on_order_reply`](crate::Planner::on_order_reply).
    SendOrder(VersionOrder),
    /// Request a report, and pass it to [`Planner::on_report`](crate::Planner::on_report), or the failure to
    /// [`Planner::on_report_failure`](crate::Planner::on_report_failure).
    RequestReport(ReportRequest),
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Status 202: the server accepted the order and carries it out.
    Accepted,
    /// Status 200: the server already has the version.
    AlreadyLoaded,
    /// Status 409: the server is carrying out another order, or has accepted another number of orders than
    /// [`VersionOrder::expected_order_count`].
    Busy,
    /// Status 412: the server has received a higher fencing token, so the term of the sender has ended.
    Fenced,
    /// Status 400: the version does not exist on the platform, or the order is malformed.
    Invalid,
    /// Status 421: another server listens on the address.
    WrongServer,
    /// The server did not accept the order, for instance because no connection could be established.
    NotAccepted,
    /// The order was sent, but no usable response was received: the server may have accepted it.
    Indeterminate,
}

impl OrderReply {
    /// Converts the HTTP status of the response to an order into its outcome. Statuses without a defined
    /// meaning are [`Self::Indeterminate`].
    #[must_use]
    pub fn from_status(status: u16) -> Self {
        match status {
            202 => Self::Accepted,
            200 => Self::AlreadyLoaded,
            409 => Self::Busy,
            412 => Self::Fenced,
            400 => Self::Invalid,
            421 => Self::WrongServer,
            _ => Self::Indeterminate,
        }
    }
}

impl fmt::Display for OrderReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Accepted => "accepted",
            Self::AlreadyLoaded => "already loaded",
            Self::Busy => "busy",
            Self::Fenced => "fenced",
            Self::Invalid => "invalid",
            Self::WrongServer => "wrong server",
            Self::NotAccepted => "not accepted",
            Self::Indeterminate => "indeterminate",
        })
    }
}
