//! The servers of one service.

use std::sync::Arc;
use std::time::Duration;

use hsq::Counts;
use state::ServerEntry;

use crate::server::Server;
use crate::{Choice, Need, Outcome};

/// How well a server suits; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suitability {
    Good,
    Avoided,
    Tried,
}

/// The servers of one service with their counts.
#[derive(Debug, Default)]
pub struct Pool {
    counts: Counts,
    service: Option<Arc<str>>,
    servers: Vec<Server>,
}

impl Pool {
    /// Follows a newer list of the servers of this service.
    pub(crate) fn update(&mut self, entries: &[&ServerEntry], zone: &str) {
        self.service = entries.first().map(|entry| Arc::clone(&entry.service));
        let counts = &mut self.counts;
        self.servers.retain(|server| {
            let listed = entries.iter().any(|entry| entry.id == server.id);
            if !listed {
                counts.remove(server.slot);
            }
            listed
        });
        for entry in entries {
            if self.server_mut(&entry.id).is_none() {
                let slot = self.counts.add();
                self.servers.push(Server::new(entry, slot));
            }
            if let Some(server) = self.server_mut(&entry.id) {
                server.update(entry, zone);
            }
        }
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
        let among = fitting().filter(|server| suitability(server, now, need) == best);
        let near = |slot| self.servers.iter().any(|server| server.slot == slot && server.near);
        let slot = self.counts.lowest_preferring(among.map(|server| server.slot), near)?;
        self.counts.sent(slot);
        let service = Arc::clone(self.service.as_ref()?);
        let chosen = self.servers.iter_mut().find(|server| server.slot == slot)?;
        chosen.own += 1;
        let (id, address) = (Arc::clone(&chosen.id), chosen.address);
        Some(Choice { id, address, service, version: chosen.versions.of(need.model) })
    }

    /// Places for more requests at the servers that fit.
    pub(crate) fn room(&self, now: Duration, need: &Need<'_>) -> usize {
        let fitting = self.servers.iter().filter(|server| may_take(server, now, need));
        let good = fitting.filter(|server| !server.health.is_avoided(now));
        good.map(|server| server.room(now) as usize).sum()
    }

    pub(crate) fn has_room(&self, now: Duration, id: &str) -> bool {
        self.servers.iter().any(|server| &*server.id == id && server.room(now) > 0)
    }

    pub(crate) fn finished(&mut self, now: Duration, id: &str, outcome: Outcome) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        server.own = server.own.saturating_sub(1);
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

    /// Where a server has told nothing of late, the requests that are held open to it are its report.
    fn refresh(&mut self, now: Duration) {
        for server in &self.servers {
            if !server.has_report(now) {
                self.counts.report(server.slot, u64::from(server.own));
            }
        }
    }

    fn server_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.servers.iter_mut().find(|server| &*server.id == id)
    }
}

fn may_take(server: &Server, now: Duration, need: &Need<'_>) -> bool {
    server.open
        && server.versions.fits(now, need.model, need.version)
        && (!need.with_room || server.room(now) > 0)
}

fn suitability(server: &Server, now: Duration, need: &Need<'_>) -> Suitability {
    if need.tried.contains(&server.id) {
        Suitability::Tried
    } else if server.health.is_avoided(now) {
        Suitability::Avoided
    } else {
        Suitability::Good
    }
}
