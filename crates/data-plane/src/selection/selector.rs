//! The selector: a handle to the state of all servers, which the requests of a process share behind one mutex.

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

/// Selects servers. Clones share everything.
#[derive(Clone)]
pub(crate) struct ServerSelector {
    shared: Arc<SelectorShared>,
}

struct SelectorShared {
    view: watch::Receiver<Arc<View>>,
    /// The origin of the times that the dispatcher is handed.
    started: Instant,
    state: Mutex<SelectorState>,
}

/// Mutable state of a selector, guarded by one mutex.
pub(super) struct SelectorState {
    pub(super) dispatcher: Dispatcher,
    pub(super) clients: ServerClients,
    pub(super) hedge_budget: HedgeBudget,
    affinity: PrefixAffinity,
    /// The server list that dispatcher and clients follow.
    servers: Arc<ServerList>,
}

impl ServerSelector {
    /// Creates a selector in this zone, which always acts on the newest view.
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

    /// The configuration in force; `None` until the control plane has supplied one.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.view.borrow().configuration.clone()
    }

    /// How many more requests the eligible servers have capacity for.
    pub(crate) fn free_capacity(&self, criteria: &SelectionCriteria<'_>) -> usize {
        let now = self.now();
        self.state().dispatcher.free_capacity(now, criteria)
    }

    /// How many requests the eligible servers take at once, those in flight included.
    pub(crate) fn total_capacity(&self, criteria: &SelectionCriteria<'_>) -> usize {
        let now = self.now();
        self.state().dispatcher.total_capacity(now, criteria)
    }

    /// For how long an idle connection to a server may be reused.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.state().clients.idle_timeout()
    }

    /// Takes a hedged request from the budget; `false` if none is left.
    pub(crate) fn withdraw_hedge(&self) -> bool {
        self.state().hedge_budget.withdraw()
    }

    /// Returns the server that is expected to have the prompt of this group of items in its prefix cache.
    pub(crate) fn prefix_cache_server(&self, group: &str) -> Option<ServerId> {
        self.state().affinity.server(group)
    }

    /// Records that an item of this group is sent to a server.
    pub(crate) fn record_prefix_cache_server(&self, group: &Arc<str>, server: &ServerId) {
        self.state().affinity.record(group, server);
    }

    /// The time since the selector was created, which is the dispatcher's clock.
    pub(super) fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Locks the shared state, brought up to the newest server list.
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
    fn update_servers(&mut self, servers: &Arc<ServerList>) {
        self.servers = Arc::clone(servers);
        self.dispatcher.update(servers);
        let dispatcher = &self.dispatcher;
        self.clients.retain(|id| dispatcher.is_listed(id));
    }
}
