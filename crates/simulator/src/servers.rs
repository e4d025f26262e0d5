//! Model servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use state::{ServerCondition, ServerEntry};

/// Path of an order.
pub(crate) const ORDER_PATH: &str = "order";
/// Path of a report.
pub(crate) const REPORT_PATH: &str = "report";
/// How long a load takes.
const LOAD: Duration = Duration::from_millis(400);

/// An order as a server saw it.
#[derive(Clone, Debug)]
pub(crate) struct SeenOrder {
    pub(crate) at: Duration,
    pub(crate) holder: String,
    pub(crate) fence: u64,
}

#[derive(Deserialize)]
struct OrderBody {
    model: Arc<str>,
    #[serde(rename = "edition")]
    version: u64,
    holder: String,
    fence: u64,
}

/// A model server. It does not check fences, so that a broken rule shows.
#[derive(Debug)]
pub struct ModelServer {
    id: Arc<str>,
    index: usize,
    versions: BTreeMap<Arc<str>, u64>,
    loading: Option<(Arc<str>, u64, Duration)>,
    taken: u64,
    pub(crate) orders: Vec<SeenOrder>,
}

impl ModelServer {
    pub(crate) fn new(index: usize, model: &str) -> Self {
        Self {
            id: format!("i-{index}").into(),
            index,
            versions: BTreeMap::from([(model.into(), 1)]),
            loading: None,
            taken: 0,
            orders: Vec::new(),
        }
    }

    /// The version of a model that it runs.
    #[must_use]
    pub fn version(&self, model: &str) -> u64 {
        self.versions[model]
    }

    pub(crate) fn advance(&mut self, now: Duration) {
        if let Some((model, version, _)) = self.loading.take_if(|(_, _, until)| *until <= now) {
            self.versions.insert(model, version);
        }
    }

    /// As the platform's list shows it.
    pub(crate) fn listed(&self) -> ServerEntry {
        ServerEntry {
            id: Arc::clone(&self.id),
            service: "s".into(),
            address: address_of(self.index),
            zone: "zone".into(),
            slots: 8,
            condition: ServerCondition::Open,
            warm_up_ms: 0,
            models: self.versions.clone(),
        }
    }

    /// Answers a call.
    pub(crate) fn answer(&mut self, now: Duration, path: &str, body: &[u8]) -> (u16, Bytes) {
        if path != ORDER_PATH {
            return (200, self.report());
        }
        let Ok(order) = serde_json::from_slice::<OrderBody>(body) else { return (400, Bytes::new()) };
        self.orders.push(SeenOrder { at: now, holder: order.holder, fence: order.fence });
        (self.load(now, order.model, order.version), Bytes::new())
    }

    fn load(&mut self, now: Duration, model: Arc<str>, version: u64) -> u16 {
        if self.loading.is_some() {
            return 409;
        }
        if self.versions.get(&model) == Some(&version) {
            return 200;
        }
        self.taken += 1;
        self.loading = Some((model, version, now + LOAD));
        202
    }

    fn report(&self) -> Bytes {
        let models = self.versions.iter();
        let models: Vec<_> =
            models.map(|(name, version)| serde_json::json!({ "name": name, "edition": version })).collect();
        let report = serde_json::json!({
            "models": models,
            "occupied": self.loading.is_some(),
            "callCount": self.taken,
            "queuedCount": 0,
            "inTransit": 0,
        });
        report.to_string().into()
    }
}

fn address_of(index: usize) -> SocketAddr {
    ([10, 0, 1, 0], u16::try_from(index + 1).unwrap_or(u16::MAX)).into()
}

/// The number of the server with an address.
pub(crate) fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// The text that any server makes for an item.
pub(crate) fn text_of(item: &str) -> String {
    format!("the text of {item}")
}
