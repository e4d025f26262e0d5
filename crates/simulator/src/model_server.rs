//! Simulated model servers, which load the versions of their orders and record all orders that they receive.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use state::{ServerCondition, ServerEntry};

/// The path to which orders are sent.
pub(crate) const ORDER_PATH: &str = "order";
/// The path at which a server reports its versions and load.
pub(crate) const REPORT_PATH: &str = "report";
/// Time that a server needs to load a version.
const LOAD_TIME: Duration = Duration::from_millis(400);

/// An order that a server has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// The time of receipt, in simulated time since the start of the fleet.
    pub at: Duration,
    /// The name of the lease holder that issued the order.
    pub holder: String,
    /// The fencing token of the order.
    pub fence: u64,
}

impl ReceivedOrder {
    /// Whether this order must not follow `earlier`: its fencing token is lower, or a different lease holder
    /// issued it and it arrived less than `min_gap` after `earlier`.
    pub(crate) fn conflicts_with(&self, earlier: &Self, min_gap: Duration) -> bool {
        let is_too_soon = self.holder != earlier.holder && self.at < earlier.at + min_gap;
        self.fence < earlier.fence || is_too_soon
    }
}

/// The body of an order, as the leader encodes it.
#[derive(Deserialize)]
struct OrderBody {
    model: Arc<str>,
    #[serde(rename = "edition")]
    version: u64,
    holder: String,
    fence: u64,
    #[serde(rename = "ifRevision")]
    expected_order_count: Option<u64>,
}

/// A version that is being loaded.
#[derive(Debug)]
struct Load {
    model: Arc<str>,
    version: u64,
    /// The simulated time at which the server has the version.
    done_at: Duration,
}

/// A simulated model server. It does not check fencing tokens, so that its record shows conflicting orders.
#[derive(Debug)]
pub struct ModelServer {
    id: Arc<str>,
    index: usize,
    /// The version of each model that the server has loaded.
    versions: BTreeMap<Arc<str>, u64>,
    loading: Option<Load>,
    /// Number of accepted orders, which reports contain.
    accepted_orders: u64,
    /// Whether the server rejects an order that expects another number of accepted orders. Servers of the platform do;
    /// without it, each delayed order has an effect.
    pub checks_order_count: bool,
    /// All received orders, accepted or not, in the order of their receipt.
    pub(crate) received_orders: Vec<ReceivedOrder>,
}

impl ModelServer {
    /// Creates a server that has version 1 of `model`.
    pub(crate) fn new(index: usize, model: &str) -> Self {
        Self {
            id: format!("i-{index}").into(),
            index,
            versions: BTreeMap::from([(model.into(), 1)]),
            loading: None,
            accepted_orders: 0,
            checks_order_count: false,
            received_orders: Vec::new(),
        }
    }

    /// Returns the version that the server has of a model.
    ///
    /// # Panics
    ///
    /// If the server does not have the model.
    #[must_use]
    pub fn version(&self, model: &str) -> u64 {
        self.versions[model]
    }

    /// Completes the load in progress if its time is over at `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        if let Some(load) = self.loading.take_if(|load| load.done_at <= now) {
            self.versions.insert(load.model, load.version);
        }
    }

    /// Returns the entry of the server in the platform's list.
    pub(crate) fn list_entry(&self) -> ServerEntry {
        ServerEntry {
            id: Arc::clone(&self.id),
            service: "s".into(),
            address: address_of_server(self.index),
            zone: "zone".into(),
            slots: 8,
            condition: ServerCondition::Open,
            warm_up_ms: 0,
            models: self.versions.clone(),
        }
    }

    /// Responds to an order or to the request for a report; returns the status and the body.
    pub(crate) fn respond(&mut self, now: Duration, path: &str, body: &[u8]) -> (u16, Bytes) {
        if path != ORDER_PATH {
            return (200, self.report());
        }
        let Ok(order) = serde_json::from_slice::<OrderBody>(body) else { return (400, Bytes::new()) };
        self.received_orders.push(ReceivedOrder { at: now, holder: order.holder, fence: order.fence });
        let is_expected = order.expected_order_count.is_none_or(|count| count == self.accepted_orders);
        if self.checks_order_count && !is_expected {
            return (409, Bytes::new());
        }
        (self.start_load(now, order.model, order.version), Bytes::new())
    }

    /// Starts to load a version and returns the status of the reply: 409 during another load, 200 if the
    /// server already has the version, 202 if the load has started.
    fn start_load(&mut self, now: Duration, model: Arc<str>, version: u64) -> u16 {
        if self.loading.is_some() {
            return 409;
        }
        if self.versions.get(&model) == Some(&version) {
            return 200;
        }
        self.accepted_orders += 1;
        self.loading = Some(Load { model, version, done_at: now + LOAD_TIME });
        202
    }

    /// Encodes the versions, the number of accepted orders and the load of the server.
    fn report(&self) -> Bytes {
        let models = self.versions.iter();
        let models: Vec<_> =
            models.map(|(name, version)| serde_json::json!({ "name": name, "edition": version })).collect();
        let report = serde_json::json!({
            "models": models,
            "occupied": self.loading.is_some(),
            "callCount": self.accepted_orders,
            "queuedCount": 0,
            "inTransit": 0,
        });
        report.to_string().into()
    }
}

/// Returns the address of a server; its port is the index of the server plus one.
fn address_of_server(index: usize) -> SocketAddr {
    ([10, 0, 1, 0], u16::try_from(index + 1).unwrap_or(u16::MAX)).into()
}

/// Returns the index of the server that has this address.
pub(crate) fn index_of_address(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Returns the text that every server generates for an item.
pub(crate) fn generated_text(item: &str) -> String {
    format!("the text of {item}")
}
