//! Tracks which stores can be reached, by the outcomes of the latest calls to them.

use std::collections::BTreeSet;

use batch::StoreId;

/// The stores whose latest call failed, and the heartbeats in flight.
#[derive(Default)]
pub(crate) struct PeerLiveness {
    /// Stores whose latest call failed. Owners send them no requests until they answer a heartbeat.
    unreachable: BTreeSet<StoreId>,
    /// Stores with a heartbeat that was neither answered nor has failed; at most one for each store.
    heartbeats_in_flight: BTreeSet<StoreId>,
}

impl PeerLiveness {
    pub fn is_reachable(&self, store: StoreId) -> bool {
        !self.unreachable.contains(&store)
    }

    pub fn unreachable(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.unreachable.iter().copied()
    }

    pub fn set_reachable(&mut self, store: StoreId, is_reachable: bool) {
        if is_reachable {
            self.unreachable.remove(&store);
        } else {
            self.unreachable.insert(store);
        }
    }

    /// Marks a heartbeat as in flight; returns `false` if there already is one for the store.
    pub fn start_heartbeat(&mut self, store: StoreId) -> bool {
        self.heartbeats_in_flight.insert(store)
    }

    /// Removes a store that is no longer a member, so that it gets no heartbeats any more.
    pub fn remove(&mut self, store: StoreId) {
        self.unreachable.remove(&store);
        self.heartbeats_in_flight.remove(&store);
    }

    /// Records that a heartbeat was answered or has failed. The store counts as reachable only if it was
    /// answered.
    pub fn finish_heartbeat(&mut self, store: StoreId, is_answered: bool) {
        self.heartbeats_in_flight.remove(&store);
        self.set_reachable(store, is_answered);
    }
}
