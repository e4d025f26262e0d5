//! The servers of one service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hsq::Counts;
use state::{ServerEntry, ServerId};

use crate::server::Server;
use crate::{Choice, Need, Outcome};

/// A server with an idle connection is taken although another one has this many requests less.
const WARM_DETOUR: u64 = 1;

/// How well a server suits; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    Good,
    Avoided,
    Tried,
    /// It is not known to hold the model.
    Unlikely,
}

/// The servers of one service with their counts.
#[derive(Debug, Default)]
pub struct Pool {
    counts: Counts,
    service: Option<Arc<str>>,
    servers: Vec<Server>,
    /// Where each server stands among them.
    positions: HashMap<ServerId, usize>,
}

impl Pool {
    /// Follows a newer list of the servers of this service.
    pub(crate) fn update(&mut self, entries: &[&ServerEntry], zone: &str) {
        self.service = entries.first().map(|entry| Arc::clone(&entry.service));
        let mut known: HashMap<ServerId, Server> =
            self.servers.drain(..).map(|server| (Arc::clone(&server.id), server)).collect();
        for entry in entries {
            let mut server = known.remove(&entry.id).unwrap_or_else(|| Server::new(entry, self.counts.add()));
            server.update(entry, zone);
            self.servers.push(server);
        }
        for gone in known.values() {
            self.counts.remove(gone.slot);
        }
        let positions = self.servers.iter().enumerate();
        self.positions = positions.map(|(at, server)| (Arc::clone(&server.id), at)).collect();
    }

    /// Whether any server may take this request.
    pub(crate) fn fits(&self, now: Duration, need: &Need<'_>) -> bool {
        self.servers.iter().any(|server| may_take(server, now, need))
    }

    /// Chooses the server with the lowest count among the best suited, and counts the send.
    pub(crate) fn choose(&mut self, now: Duration, need: &Need<'_>) -> Option<Choice> {
        self.refresh(now);
        let fitting = || self.servers.iter().filter(|server| may_take(server, now, need));
        let best = fitting().map(|server| suitability(server, now, need)).min()?;
        let among = || fitting().filter(|server| suitability(server, now, need) == best);
        let ranked = |server: &Server| (server.slot, preference(server, need));
        let lowest = self.counts.lowest_preferring(among().map(ranked))?;
        let usable = need.idle_usable.unwrap_or_default();
        let warm = among().filter(|server| server.is_warm(now, usable)).map(ranked);
        let slot = match self.counts.lowest_preferring(warm) {
            Some(warm) if self.counts.count(warm) <= self.counts.count(lowest) + WARM_DETOUR => warm,
            _ => lowest,
        };
        self.counts.sent(slot);
        let service = Arc::clone(self.service.as_ref()?);
        let chosen = self.servers.iter_mut().find(|server| server.slot == slot)?;
        chosen.sent();
        let (id, address) = (Arc::clone(&chosen.id), chosen.address);
        Some(Choice { id, address, service, version: chosen.versions.of(need.model) })
    }

    /// Places for more requests at the servers that fit.
    pub(crate) fn room(&self, now: Duration, need: &Need<'_>) -> usize {
        let fitting = self.servers.iter().filter(|server| may_take(server, now, need));
        let good = fitting.filter(|server| !server.health.is_avoided(now));
        good.map(|server| server.room(now) as usize).sum()
    }

    /// Places at the servers that fit, taken or free.
    pub(crate) fn places(&self, now: Duration, need: &Need<'_>) -> usize {
        let fits = |server: &&Server| server.open && server.versions.fits(now, need.model, need.version);
        let fitting = self.servers.iter().filter(fits).filter(|server| server.versions.may_hold(need.model));
        fitting.map(|server| server.places() as usize).sum()
    }

    pub(crate) fn has_room(&self, now: Duration, id: &str) -> bool {
        self.positions.get(id).is_some_and(|at| self.servers[*at].room(now) > 0)
    }

    pub(crate) fn finished(&mut self, now: Duration, id: &str, outcome: Outcome) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        server.finished(now, matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Full));
        match outcome {
            Outcome::Served => server.health.served(),
            Outcome::Error => server.health.erred(now),
            Outcome::Full => server.health.full(now),
            Outcome::Failed => server.health.failed(now),
            Outcome::Withdrawn => {}
        }
    }

    pub(crate) fn reported(&mut self, now: Duration, id: &str, load: u32, slots: u32) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        server.reported(now, load, slots);
        let slot = server.slot;
        self.counts.report(slot, u64::from(load));
    }

    pub(crate) fn version_seen(&mut self, id: &str, model: &str, version: u64) {
        if let Some(server) = self.server_mut(id) {
            server.versions.seen(model, version);
        }
    }

    pub(crate) fn version_refused(&mut self, now: Duration, id: &str, model: &str, version: u64) {
        if let Some(server) = self.server_mut(id) {
            server.versions.refused(now, model, version);
        }
    }

    pub(crate) fn model_loading(&mut self, now: Duration, id: &str, model: &str) {
        if let Some(server) = self.server_mut(id) {
            server.versions.is_loading(now, model);
        }
    }

    pub(crate) fn model_runs(&mut self, id: &str, model: &str) {
        if let Some(server) = self.server_mut(id) {
            server.versions.runs(model);
        }
    }

    /// Where a server has told nothing of late, the requests that are held open to it are its report.
    fn refresh(&mut self, now: Duration) {
        for server in &self.servers {
            if !server.has_report(now) {
                self.counts.report(server.slot, u64::from(server.own));
            }
        }
    }

    fn server_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.positions.get(id).map(|at| &mut self.servers[*at])
    }
}

fn may_take(server: &Server, now: Duration, need: &Need<'_>) -> bool {
    server.open
        && server.versions.fits(now, need.model, need.version)
        && (!need.with_room || has_place(server, now, need))
}

/// Who can wait for a free place does not go to a server that shows other models only.
fn has_place(server: &Server, now: Duration, need: &Need<'_>) -> bool {
    server.room(now) > 0 && server.versions.may_hold(need.model)
}

fn suitability(server: &Server, now: Duration, need: &Need<'_>) -> Suitability {
    if !server.versions.may_hold(need.model) {
        Suitability::Unlikely
    } else if need.tried.contains(&server.id) {
        Suitability::Tried
    } else if server.health.is_avoided(now) {
        Suitability::Avoided
    } else {
        Suitability::Good
    }
}

/// Among servers with equal counts, the one that has read the prompt comes first, then those of the own zone.
fn preference(server: &Server, need: &Need<'_>) -> u8 {
    match need.favourite {
        Some(favourite) if *favourite == server.id => 0,
        _ if server.near => 1,
        _ => 2,
    }
}
