//! The list of servers: changes of it, and the subscription that brings them.

use super::servers::Server;
use super::{Balancer, RESUBSCRIBE};
use crate::interface::*;

/// More entries than this at once, and the ring is laid out anew: each moved alone would cost more.
const MOVED_MOST: usize = 300;

/// The longest wait for a new subscription, in parts of what may pass without; the shortest is a sixteenth.
const RESUBSCRIBE_MOST: f64 = 0.25;

/// A change counts as told after this time at the latest, whatever became of the calls. The wait is no longer
/// than this part of it: two of them, each with a call that is given up, are over by then.
const TOLD_MS: f64 = 6_000.0;
const TOLD_PART: f64 = 0.4;

/// Where lists are pushed, it is no longer than this part of the grace after a drain: what the agent has
/// counts as told, heard or not. It is no shorter than this time, whatever the settings say.
const PUSHED_MOST: f64 = 0.25;
const AGAIN_LEAST_MS: f64 = 50.0;

impl Balancer {
    pub(super) fn listing(&mut self, listing: Listing, actions: &mut Vec<Action>) {
        let (entries, complete) = match listing {
            Listing::Changes(entries) => (entries, false),
            Listing::Full(entries) | Listing::Cached(entries) => (entries, true),
            Listing::Failed if self.asking => return,
            Listing::Failed => return self.resubscribe(actions),
        };
        if std::mem::take(&mut self.failed_calls) > 0 {
            actions.push(Action::Note("the list of servers comes again".into()));
        }
        if self.settings.discovery == Discovery::Subscribe && !self.subscribed {
            self.subscribed = true;
            actions.push(Action::Subscribe);
        }
        let anew = complete || entries.len() > MOVED_MOST;
        for server in self.servers.slots.iter_mut().filter(|_| complete) {
            server.entry.availability = Availability::Gone;
        }
        let mut over = Vec::new();
        for entry in entries {
            let slot = self.servers.slot(entry.server.0);
            let from = self.servers.place(slot, self.settings.zone).filter(|_| !anew);
            let server = &mut self.servers.slots[slot];
            // What was learned of a process does not hold for its successor.
            if server.entry.started_at != entry.started_at {
                *server = Server { out: server.out, ..Server::default() };
            }
            server.entry = entry;
            over.extend(server.is_over().then_some(server.entry.server.0));
            if !anew {
                self.ring.shift(from, self.servers.place(slot, self.settings.zone));
            }
        }
        // Guards against growth with every server that ever was.
        if complete {
            over = self.servers.slot_of.keys().copied().collect();
        }
        for at in over {
            if self.servers.get(at).is_some_and(Server::is_over) {
                self.servers.remove(at);
            }
        }
        if anew {
            let slots = 0..self.servers.slots.len();
            self.ring.fill(slots.filter_map(|slot| self.servers.place(slot, self.settings.zone)));
        }
    }

    /// Guards against a lost subscription: without one the node would send to servers long gone.
    pub(super) fn resubscribe(&mut self, actions: &mut Vec<Action>) {
        if self.failed_calls == 0 {
            actions.push(Action::Note("the list of servers does not come".into()));
        }
        self.asking = true;
        let most = (self.settings.ask_within_ms * RESUBSCRIBE_MOST).min(TOLD_MS * TOLD_PART);
        let most = match self.settings.discovery {
            Discovery::Push => most.min(self.settings.drain_grace_ms * PUSHED_MOST),
            Discovery::Subscribe => most,
        };
        let most = most.max(AGAIN_LEAST_MS);
        let after_ms = most / 2_f64.powi(4 - self.failed_calls) * (0.5 + 0.5 * self.random.f64());
        self.failed_calls = (self.failed_calls + 1).min(4);
        actions.push(Action::SetTimer { timer: RESUBSCRIBE, after_ms });
    }
}
