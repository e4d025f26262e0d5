//! Choice of a server for a request: pools, versions, health.
//!
//! Nothing here does I/O or reads a clock: times are handed in, counted from any fixed moment. A [`Dispatcher`]
//! keeps one [`Pool`] per service. It follows the list of servers and carries over what it knows of a server for
//! as long as that incarnation is listed.

mod health;
mod pool;
mod server;
mod versions;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use configuration::Target;
use state::{ServerId, ServerList};

pub use pool::Pool;
pub use server::{Choice, Outcome};
pub use versions::VersionNeed;

/// What a request needs of its server.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The services that the route names, with their shares.
    pub targets: &'a [Target],
    /// The model that the request names, if any.
    pub model: Option<&'a str>,
    /// The version of that model.
    pub version: VersionNeed,
    /// Servers that have been tried already; they come last.
    pub tried: &'a [ServerId],
    /// A server that wins ties, as it has read the beginning of the prompt already.
    pub favourite: Option<&'a ServerId>,
    /// Whether only a server with a free place will do.
    pub with_room: bool,
    /// For how long an idle connection is usable. Servers with one make up the set to choose from, unless another
    /// one is less loaded by more than a request. `None` where new connections don't matter.
    pub idle_usable: Option<Duration>,
}

/// Chooses servers.
#[derive(Debug)]
pub struct Dispatcher {
    zone: Arc<str>,
    pools: HashMap<Arc<str>, Pool>,
    services: HashMap<ServerId, Arc<str>>,
}

impl Dispatcher {
    /// A dispatcher in this zone that knows no server yet.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self { zone, pools: HashMap::new(), services: HashMap::new() }
    }

    /// Follows a newer list of servers.
    pub fn update(&mut self, list: &ServerList) {
        let mut by_service: HashMap<&Arc<str>, Vec<_>> = HashMap::new();
        self.services.clear();
        for entry in &list.servers {
            by_service.entry(&entry.service).or_default().push(entry);
            self.services.insert(Arc::clone(&entry.id), Arc::clone(&entry.service));
        }
        self.pools.retain(|service, _| by_service.contains_key(service));
        for (service, entries) in by_service {
            let pool = self.pools.entry(Arc::clone(service)).or_default();
            pool.update(&entries, &self.zone);
        }
    }

    /// Whether this incarnation of a server is listed.
    #[must_use]
    pub fn is_listed(&self, id: &str) -> bool {
        self.services.contains_key(id)
    }

    /// Chooses a server and counts the send. It must be followed by one [`Self::finished`].
    pub fn choose(&mut self, now: Duration, need: &Need<'_>) -> Option<Choice> {
        let first = self.draw(now, need)?;
        self.pools.get_mut(&first)?.choose(now, need)
    }

    /// How many more requests the servers that fit have places for.
    #[must_use]
    pub fn room(&self, now: Duration, need: &Need<'_>) -> usize {
        let pools = need.targets.iter().filter(|target| target.weight > 0);
        pools.filter_map(|target| self.pools.get(&target.service)).map(|pool| pool.room(now, need)).sum()
    }

    /// How many places the servers that fit have, taken or free.
    #[must_use]
    pub fn places(&self, now: Duration, need: &Need<'_>) -> usize {
        let pools = need.targets.iter().filter(|target| target.weight > 0);
        pools.filter_map(|target| self.pools.get(&target.service)).map(|pool| pool.places(now, need)).sum()
    }

    /// Whether this server has a place for one more request.
    #[must_use]
    pub fn has_room(&self, now: Duration, id: &str) -> bool {
        self.pool(id).is_some_and(|pool| pool.has_room(now, id))
    }

    /// A request that was sent to this server is over.
    pub fn finished(&mut self, now: Duration, id: &str, outcome: Outcome) {
        if let Some(pool) = self.pool_mut(id) {
            pool.finished(now, id, outcome);
        }
    }

    /// The server told its load: requests running and waiting, and its slots.
    pub fn reported(&mut self, now: Duration, id: &str, running: u32, waiting: u32, slots: u32) {
        if let Some(pool) = self.pool_mut(id) {
            pool.reported(now, id, running + waiting, slots);
        }
    }

    /// The server showed the version of a model that it runs.
    pub fn version_seen(&mut self, id: &str, model: &str, version: u64) {
        if let Some(pool) = self.pool_mut(id) {
            pool.version_seen(id, model, version);
        }
    }

    /// The server refused a request because it does not run this version.
    pub fn version_refused(&mut self, now: Duration, id: &str, model: &str, version: u64) {
        if let Some(pool) = self.pool_mut(id) {
            pool.version_refused(now, id, model, version);
        }
    }

    /// The server refused a request for this model although it had places: it loads a version.
    pub fn model_loading(&mut self, now: Duration, id: &str, model: &str) {
        if let Some(pool) = self.pool_mut(id) {
            pool.model_loading(now, id, model);
        }
    }

    /// The server runs a request for this model.
    pub fn model_runs(&mut self, id: &str, model: &str) {
        if let Some(pool) = self.pool_mut(id) {
            pool.model_runs(id, model);
        }
    }

    /// Draws a service by the shares among those that have a fitting server.
    fn draw(&self, now: Duration, need: &Need<'_>) -> Option<Arc<str>> {
        let fits = |target: &&Target| {
            target.weight > 0 && self.pools.get(&target.service).is_some_and(|pool| pool.fits(now, need))
        };
        if let [only] = need.targets {
            return fits(&only).then(|| Arc::clone(&only.service));
        }
        let fitting: Vec<_> = need.targets.iter().filter(fits).collect();
        let total: u64 = fitting.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = fastrand::u64(..total);
        for target in fitting {
            let share = u64::from(target.weight);
            if drawn < share {
                return Some(Arc::clone(&target.service));
            }
            drawn -= share;
        }
        None
    }

    fn pool(&self, id: &str) -> Option<&Pool> {
        self.pools.get(self.services.get(id)?)
    }

    fn pool_mut(&mut self, id: &str) -> Option<&mut Pool> {
        self.pools.get_mut(self.services.get(id)?)
    }
}
