//! The calls that the planner wants made, and their outcomes.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::server::{ModelName, ServerId};

/// What happens to running requests when the weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateMethod {
    /// They complete first, with the old version.
    #[serde(rename = "hold")]
    Drain,
    /// They continue with the new version.
    #[serde(rename = "keep")]
    InPlace,
}

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOrder {
    /// The server that is to load it.
    pub server: ServerId,
    /// Address of that server.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// What happens to running requests.
    pub method: UpdateMethod,
}

/// A request for the report of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    /// The server.
    pub server: ServerId,
    /// Address of that server.
    pub address: SocketAddr,
}

/// A call to make now, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send an order; its outcome goes to [`Planner::on_order_reply`](crate::Planner::on_order_reply).
    SendOrder(VersionOrder),
    /// Ask for a report; its outcome goes to [`Planner::on_report`](crate::Planner::on_report) or
    /// [`Planner::on_report_failure`](crate::Planner::on_report_failure).
    RequestReport(ReportRequest),
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Status 202: the server carries out the order.
    Accepted,
    /// Status 200: the server has the version already.
    AlreadyLoaded,
    /// Status 409: the server carries out another order.
    Busy,
    /// Status 412: the server has seen a higher fencing token.
    Fenced,
    /// Status 400: the platform does not know the version, or the order is malformed.
    Invalid,
    /// Status 421: another server has the address.
    WrongServer,
    /// The server did not accept the order, for instance because no connection could be established.
    NotAccepted,
    /// The order was sent and there is no usable response: it may have been accepted.
    Indeterminate,
}

impl OrderReply {
    /// The outcome that an HTTP status stands for.
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
