//! Model servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rollout::{ModelName, ModelReport, Report, Server};

use crate::messages::{Reply, Request};

/// How long a load takes.
const LOAD: Duration = Duration::from_millis(400);

/// An order as a server saw it.
#[derive(Clone, Debug)]
pub(crate) struct SeenOrder {
    pub(crate) at: Duration,
    pub(crate) holder: String,
    pub(crate) fence: u64,
}

/// A model server. It does not check fences, so that a broken rule shows.
#[derive(Debug)]
pub struct ModelServer {
    id: Arc<str>,
    index: usize,
    versions: BTreeMap<ModelName, u64>,
    loading: Option<(ModelName, u64, Duration)>,
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
    pub(crate) fn listed(&self) -> Server {
        Server {
            id: Arc::clone(&self.id),
            address: ([10, 0, 0, 1], self.index as u16).into(),
            zone: "zone".into(),
            closing: false,
            models: self.versions.clone(),
        }
    }

    pub(crate) fn handle(&mut self, now: Duration, request: Request) -> Reply {
        match request {
            Request::Load { holder, fence, model, version } => {
                self.orders.push(SeenOrder { at: now, holder, fence });
                self.load(now, model, version)
            }
            Request::Report => Reply::Report(Box::new(self.report())),
            Request::Generate(_) if self.loading.is_some() => Reply::Status(503),
            Request::Generate(item) => {
                Reply::Text(text_of(&item), *self.versions.values().next().expect("it has a model"))
            }
            other => unreachable!("servers are not asked {other:?}"),
        }
    }

    fn load(&mut self, now: Duration, model: ModelName, version: u64) -> Reply {
        if self.loading.is_some() {
            return Reply::Status(409);
        }
        if self.versions.get(&model) == Some(&version) {
            return Reply::Status(200);
        }
        self.taken += 1;
        self.loading = Some((model, version, now + LOAD));
        Reply::Status(202)
    }

    fn report(&self) -> Report {
        let model =
            |(name, version): (&ModelName, &u64)| ModelReport { name: name.clone(), version: *version };
        Report {
            models: self.versions.iter().map(model).collect(),
            occupied: self.loading.is_some(),
            orders_taken: self.taken,
            queued: 0,
            running: 0,
        }
    }
}

/// The text that any server makes for an item.
pub(crate) fn text_of(item: &str) -> String {
    format!("the text of {item}")
}
