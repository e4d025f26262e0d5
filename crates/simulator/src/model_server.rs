//! Simulated model servers, which load versions as they are ordered to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use state::{ServerCondition, ServerEntry};

/// The path of an order.
pub(crate) const ORDER_PATH: &str = "order";
/// The path of a report.
pub(crate) const REPORT_PATH: &str = "report";
/// How long a server takes to load a version.
const LOAD_TIME: Duration = Duration::from_millis(400);

/// An order that a server has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// When, in time of the fleet.
    pub at: Duration,
    /// The lease holder that issued it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

impl ReceivedOrder {
    /// Whether this order must not follow an earlier one: its fencing token is lower, or another lease holder issued it
    /// within `min_gap`.
    pub(crate) fn conflicts_with(&self, earlier: &Self, min_gap: Duration) -> bool {
        let is_too_soon = self.holder != earlier.holder && self.at < earlier.at + min_gap;
        self.fence < earlier.fence || is_too_soon
    }
}

#[derive(Deserialize)]
struct OrderBody {
    model: Arc<str>,
    #[serde(rename = "edition")]
    version: u64,
    holder: String,
    fence: u64,
}

/// A version that is being loaded.
#[derive(Debug)]
struct Load {
    model: Arc<str>,
    version: u64,
    done_at: Duration,
}

/// A model server. It does not check fencing tokens, so that conflicting orders are recorded.
#[derive(Debug)]
pub struct ModelServer {
    id: Arc<str>,
    index: usize,
    versions: BTreeMap<Arc<str>, u64>,
    loading: Option<Load>,
    accepted_orders: u64,
    pub(crate) received_orders: Vec<ReceivedOrder>,
}

impl ModelServer {
    pub(crate) fn new(index: usize, model: &str) -> Self {
        Self {
            id: format!("i-{index}").into(),
            index,
            versions: BTreeMap::from([(model.into(), 1)]),
            loading: None,
            accepted_orders: 0,
            received_orders: Vec::new(),
        }
    }

    /// The version of a model that it serves.
    #[must_use]
    pub fn version(&self, model: &str) -> u64 {
        self.versions[model]
    }

    /// Completes a load that is done at `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        if let Some(load) = self.loading.take_if(|load| load.done_at <= now) {
            self.versions.insert(load.model, load.version);
        }
    }

    /// Its entry in the platform's list.
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

    /// Responds to a call, with status and body.
    pub(crate) fn respond(&mut self, now: Duration, path: &str, body: &[u8]) -> (u16, Bytes) {
        if path != ORDER_PATH {
            return (200, self.report());
        }
        let Ok(order) = serde_json::from_slice::<OrderBody>(body) else { return (400, Bytes::new()) };
        self.received_orders.push(ReceivedOrder { at: now, holder: order.holder, fence: order.fence });
        (self.start_load(now, order.model, order.version), Bytes::new())
    }

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

fn address_of_server(index: usize) -> SocketAddr {
    ([10, 0, 1, 0], u16::try_from(index + 1).unwrap_or(u16::MAX)).into()
}

/// The index of the server at an address.
pub(crate) fn index_of_address(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// The text that any server generates for an item.
pub(crate) fn generated_text(item: &str) -> String {
    format!("the text of {item}")
}
