//! What the planner is told, and what it wants done.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Identity of one incarnation of a server.
pub type ServerId = Arc<str>;

/// Name of a model.
pub type ModelName = Arc<str>;

/// What becomes of the requests that run when the weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Method {
    /// They end first, under the old version.
    Hold,
    /// They go on under the new version.
    Keep,
}

/// A server as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutServer {
    /// Its incarnation.
    pub id: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether it is about to end.
    pub closing: bool,
    /// The version of each model that it runs.
    pub models: BTreeMap<ModelName, u64>,
}

/// A server is to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOrder {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// What becomes of the requests that run.
    pub method: Method,
}

/// A server is to be asked for its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A call that the planner wants made now, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send an order; its outcome goes to [`Planner::answered`](crate::Planner::answered).
    Order(VersionOrder),
    /// Ask for a report; its outcome goes to [`Planner::reported`](crate::Planner::reported) or
    /// [`Planner::not_reported`](crate::Planner::not_reported).
    Ask(ReportRequest),
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// 202: it is being done.
    Taken,
    /// 200: the server has the version.
    Holds,
    /// 409: another order is under way.
    Busy,
    /// 412: the server has seen a higher fencing token.
    Fenced,
    /// 400: the platform doesn't know the version, or the order is malformed.
    Unknown,
    /// 421: another server has the address.
    OtherServer,
    /// No connection came up, or another status that says that the order was not taken.
    NotTaken,
    /// The order was sent, and there is no usable answer: it may have been taken.
    Unclear,
}

impl OrderReply {
    /// The outcome that a status stands for.
    #[must_use]
    pub fn from_status(status: u16) -> Self {
        match status {
            202 => Self::Taken,
            200 => Self::Holds,
            409 => Self::Busy,
            412 => Self::Fenced,
            400 => Self::Unknown,
            421 => Self::OtherServer,
            _ => Self::Unclear,
        }
    }
}

/// How fast the planner goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Servers that may always load at once.
    pub at_once: usize,
    /// Of many servers, one in so many loads at once, so that the others go on serving.
    pub one_in: usize,
    /// How long a load takes on a server with nothing to end first.
    pub load: Duration,
    /// How long after the expected end of a load it is asked whether it has ended.
    pub confirm_after: Duration,
    /// How old the values of a report may be. Reports asked for sooner after an order say nothing against it.
    pub report_age: Duration,
    /// Pause before the second report about one order; it grows from there.
    pub ask_pause: Duration,
    /// Longest pause between two reports about one order.
    pub ask_pause_most: Duration,
    /// Pause after a call that failed; it doubles with each further failure.
    pub retry_pause: Duration,
    /// Longest pause after a call that failed.
    pub retry_pause_most: Duration,
    /// After this time a call without an outcome counts as failed.
    pub call_timeout: Duration,
    /// After this time an order that holds for running requests no longer keeps others from loading.
    pub hold_most: Duration,
}

impl Default for Pacing {
    fn default() -> Self {
        Self {
            at_once: 3,
            one_in: 3,
            load: Duration::from_millis(400),
            confirm_after: Duration::from_millis(250),
            report_age: Duration::from_millis(500),
            ask_pause: Duration::from_millis(300),
            ask_pause_most: Duration::from_millis(700),
            retry_pause: Duration::from_millis(500),
            retry_pause_most: Duration::from_secs(4),
            call_timeout: Duration::from_secs(3),
            hold_most: Duration::from_secs(10),
        }
    }
}
