//! The state that all kinds of requests share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dispatch::{Choice, Dispatcher, Need, Outcome, VersionNeed};
use state::{ServerList, View};
use tokio::sync::watch;
use tokio::time::Instant;

use configuration::{Configuration, Target};

use crate::favourites::Favourites;
use crate::links::Links;

/// Brings requests to servers. Clones share connections, counts and health.
#[derive(Clone)]
pub struct Sender {
    shared: Arc<Shared>,
}

struct Shared {
    view: watch::Receiver<Arc<View>>,
    started: Instant,
    state: Mutex<State>,
}

pub(crate) struct State {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) links: Links,
    pub(crate) favourites: Favourites,
    list: Arc<ServerList>,
    /// Second attempts that may go out; each request adds a part of one.
    hedges: f64,
}

/// Second attempts are at most this part of all requests.
const HEDGE_PART: f64 = 0.05;
/// Second attempts that are saved up at most.
const HEDGES_MOST: f64 = 5.0;

impl Sender {
    /// A sender in this zone that acts on the newest view.
    #[must_use]
    pub fn new(view: watch::Receiver<Arc<View>>, zone: Arc<str>) -> Self {
        let dispatcher = Dispatcher::new(zone);
        let state = State {
            dispatcher,
            links: Links::new(),
            favourites: Favourites::default(),
            list: Arc::default(),
            hedges: HEDGES_MOST,
        };
        let state = Mutex::new(state);
        Self { shared: Arc::new(Shared { view, started: Instant::now(), state }) }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.view.borrow().configuration.clone()
    }

    /// Free places, by our counts, at the servers of these services that satisfy the version.
    #[must_use]
    pub fn free_capacity(&self, targets: &[Target], model: Option<&str>, oldest_version: u64) -> usize {
        let now = self.now();
        self.state().dispatcher.room(now, &item_need(targets, model, oldest_version))
    }

    /// Places, taken or free, at the servers of these services that satisfy the version.
    #[must_use]
    pub fn total_capacity(&self, targets: &[Target], model: Option<&str>, oldest_version: u64) -> usize {
        let now = self.now();
        self.state().dispatcher.places(now, &item_need(targets, model, oldest_version))
    }

    /// For how long an idle connection to a server is usable.
    pub(crate) fn idle_usable(&self) -> Duration {
        self.state().links.idle_usable()
    }

    /// The time as the dispatcher counts it.
    pub(crate) fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// The shared state, brought up to the newest list of servers.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        let view = self.shared.view.borrow();
        if !Arc::ptr_eq(&view.servers, &state.list) {
            state.follow(&view.servers);
        }
        state
    }

    /// Chooses a server; the ticket must be held until the request is over.
    pub(crate) fn choose(&self, need: &Need<'_>) -> Option<Ticket> {
        let now = self.now();
        let mut state = self.state();
        let choice = state.dispatcher.choose(now, need)?;
        state.hedges = (state.hedges + HEDGE_PART).min(HEDGES_MOST);
        drop(state);
        Some(Ticket { sender: self.clone(), choice, outcome: Outcome::Withdrawn })
    }

    /// Whether a second attempt beside a slow one may go out now.
    pub(crate) fn may_hedge(&self) -> bool {
        let mut state = self.state();
        let may = state.hedges >= 1.0;
        if may {
            state.hedges -= 1.0;
        }
        may
    }
}

/// What an item needs of its server.
fn item_need<'a>(targets: &'a [Target], model: Option<&'a str>, oldest_version: u64) -> Need<'a> {
    let version = VersionNeed::AtLeast(oldest_version);
    Need { targets, model, version, tried: &[], favourite: None, with_room: true, idle_usable: None }
}

impl State {
    fn follow(&mut self, list: &Arc<ServerList>) {
        self.list = Arc::clone(list);
        self.dispatcher.update(list);
        let dispatcher = &self.dispatcher;
        self.links.retain(|id| dispatcher.is_listed(id));
    }
}

/// A request that is out at a server. When it is dropped, the request is over.
pub(crate) struct Ticket {
    pub(crate) sender: Sender,
    pub(crate) choice: Choice,
    pub(crate) outcome: Outcome,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.sender.now();
        self.sender.state().dispatcher.finished(now, &self.choice.id, self.outcome);
    }
}
