//! The guard of a request in flight at a server, through which the attempt records observations about that
//! server.

use std::time::Duration;

use dispatch::{RequestOutcome, SelectedServer, SelectionCriteria};
use reqwest::Client;

use crate::headers::ServerLoad;
use crate::selection::selector::ServerSelector;

/// A request in flight at the server that was selected for it. Dropping this guard reports the request to the
/// dispatcher as finished, with the outcome that was set last, or as cancelled if none was set.
pub(crate) struct InFlightRequest {
    selector: ServerSelector,
    server: SelectedServer,
    outcome: RequestOutcome,
}

impl ServerSelector {
    /// Selects a server for an attempt and adds to the hedge budget. The request counts as in flight until
    /// the returned guard is dropped.
    ///
    /// Returns `None` if no server is eligible.
    pub(crate) fn select(&self, criteria: &SelectionCriteria<'_>) -> Option<InFlightRequest> {
        let now = self.now();
        let mut state = self.state();
        let server = state.dispatcher.select(now, criteria)?;
        state.hedge_budget.deposit();
        drop(state);
        Some(InFlightRequest { selector: self.clone(), server, outcome: RequestOutcome::Cancelled })
    }
}

impl InFlightRequest {
    pub(crate) fn server(&self) -> &SelectedServer {
        &self.server
    }

    pub(crate) fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }

    /// Returns the HTTP client that owns the connections to the server.
    pub(crate) fn client(&self) -> reqwest::Result<Client> {
        self.selector.state().clients.get(&self.server.id)
    }

    /// Discards the connections to the server; each is closed once the request on it is finished.
    pub(crate) fn discard_connections(&self) {
        self.selector.state().clients.discard(&self.server.id);
    }

    /// Records the keep-alive timeout that the server has announced for idle connections.
    pub(crate) fn record_keep_alive(&self, timeout: Duration) {
        self.selector.state().clients.record_keep_alive(timeout);
    }

    /// Records the load that the server reported in a response.
    pub(crate) fn record_load(&self, load: ServerLoad) {
        let now = self.selector.now();
        let mut state = self.selector.state();
        state.dispatcher.record_load(now, &self.server.id, load.running, load.queued, load.slots);
    }

    /// Records that the server runs a version of a model.
    pub(crate) fn record_version(&self, model: &str, version: u64) {
        self.selector.state().dispatcher.record_version(&self.server.id, model, version);
    }

    /// Records that the server rejected the request because it doesn't run `version` of `model`.
    pub(crate) fn record_version_rejected(&self, model: &str, version: u64) {
        let now = self.selector.now();
        self.selector.state().dispatcher.record_version_rejected(now, &self.server.id, model, version);
    }

    /// Records that the server rejected the request despite free capacity, because it is loading a version of
    /// the model.
    pub(crate) fn record_model_loading(&self, model: &str) {
        let now = self.selector.now();
        self.selector.state().dispatcher.record_model_loading(now, &self.server.id, model);
    }

    /// Records that the server serves requests for a model, which implies that it isn't loading a version of
    /// it.
    pub(crate) fn record_model_serving(&self, model: &str) {
        self.selector.state().dispatcher.record_model_serving(&self.server.id, model);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let now = self.selector.now();
        self.selector.state().dispatcher.request_finished(now, &self.server.id, self.outcome);
    }
}
