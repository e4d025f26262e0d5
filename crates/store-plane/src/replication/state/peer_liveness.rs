//! Which stores can be reached, by the results of the latest calls to them.

use std::collections::BTreeSet;

use batch::StoreId;

/// The results of the latest calls to other stores.
#[derive(Default)]
pub(crate) struct PeerLiveness {
    /// Stores whose latest call failed. Ownerships send them no requests until a heartbeat is answered.
    unreachable: BTreeSet<StoreId>,
    /// Stores with a heartbeat that was neither answered nor has failed; there is at most one a store.
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

    /// Marks a heartbeat as in flight; `false` if one already is.
    pub fn start_heartbeat(&mut self, store: StoreId) -> bool {
        self.heartbeats_in_flight.insert(store)
    }

    /// A store is no longer a member: there is nobody to reach, and no heartbeat is due.
    pub fn remove(&mut self, store: StoreId) {
        self.unreachable.remove(&store);
        self.heartbeats_in_flight.remove(&store);
    }

    /// A heartbeat was answered or has failed.
    pub fn finish_heartbeat(&mut self, store: StoreId, is_answered: bool) {
        self.heartbeats_in_flight.remove(&store);
        self.set_reachable(store, is_answered);
    }
}
