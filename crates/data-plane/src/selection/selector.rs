//! The selector: a handle to the state of all servers, which the requests of a process share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use configuration::Configuration;
use dispatch::{Dispatcher, SelectionCriteria};
use state::{ServerId, ServerList, View};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::selection::affinity::PrefixAffinity;
use crate::selection::clients::ServerClients;
use crate::selection::hedging::HedgeBudget;

/// Selector of servers for attempts. Clones share the same state.
#[derive(Clone)]
pub(crate) struct ServerSelector {
    shared: Arc<SelectorShared>,
}

/// The state that all clones of a selector share.
struct SelectorShared {
    view: watch::Receiver<Arc<View>>,
    /// The time at which the selector was created. The times that are passed to the dispatcher are relative
    /// to it.
    started: Instant,
    state: Mutex<SelectorState>,
}

/// The mutable state of a selector, guarded by one mutex.
pub(super) struct SelectorState {
    pub(super) dispatcher: Dispatcher,
    pub(super) clients: ServerClients,
    pub(super) hedge_budget: HedgeBudget,
    affinity: PrefixAffinity,
    /// The server list with which the dispatcher and the clients were last updated.
    servers: Arc<ServerList>,
}

impl ServerSelector {
    /// Creates a selector for a process in `zone`, which uses the newest view in the channel.
    pub(crate) fn new(view: watch::Receiver<Arc<View>>, zone: Arc<str>) -> Self {
        let state = SelectorState {
            dispatcher: Dispatcher::new(zone),
            clients: ServerClients::new(),
            hedge_budget: HedgeBudget::new(),
            affinity: PrefixAffinity::default(),
            servers: Arc::default(),
        };
        Self { shared: Arc::new(SelectorShared { view, started: Instant::now(), state: Mutex::new(state) }) }
    }

    /// Returns the configuration in force; `None` until the control plane has supplied one.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.view.borrow().configuration.clone()
    }

    /// Returns how many more requests the eligible servers can accept now. Ejected servers count as 0.
    pub(crate) fn free_capacity(&self, criteria: &SelectionCriteria<'_>) -> usize {
        let now = self.now();
        self.state().dispatcher.free_capacity(now, criteria)
    }

    /// Returns how many requests the suitable servers can accept at the same time, including those in flight.
    /// Unlike in [`Self::free_capacity`], ejected servers count.
    pub(crate) fn total_capacity(&self, criteria: &SelectionCriteria<'_>) -> usize {
        let now = self.now();
        self.state().dispatcher.total_capacity(now, criteria)
    }

    /// Returns the time for which an idle connection to a server may be reused.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.state().clients.idle_timeout()
    }

    /// Withdraws one hedged request from the budget. Returns `false` if the budget doesn't allow any.
    pub(crate) fn withdraw_hedge(&self) -> bool {
        self.state().hedge_budget.withdraw()
    }

    /// Returns the server whose prefix cache probably holds the prompt of a group of items: the one to which
    /// the most recent item of the group was sent.
    pub(crate) fn prefix_cache_server(&self, group: &str) -> Option<ServerId> {
        self.state().affinity.server(group)
    }

    /// Records that an item of a group is sent to a server.
    pub(crate) fn record_prefix_cache_server(&self, group: &Arc<str>, server: &ServerId) {
        self.state().affinity.record(group, server);
    }

    /// Returns the current time of the dispatcher's clock: the time since the selector was created.
    pub(super) fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Locks the shared state, after updating it to the newest server list.
    pub(super) fn state(&self) -> MutexGuard<'_, SelectorState> {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        let view = self.shared.view.borrow();
        if !Arc::ptr_eq(&view.servers, &state.servers) {
            state.update_servers(&view.servers);
        }
        state
    }
}

impl SelectorState {
    /// Updates the dispatcher to a new server list and drops the connections to servers that are not listed.
    fn update_servers(&mut self, servers: &Arc<ServerList>) {
        self.servers = Arc::clone(servers);
        self.dispatcher.update(servers);
        let dispatcher = &self.dispatcher;
        self.clients.retain(|id| dispatcher.is_listed(id));
    }
}
