//! Affinity of groups of items to the servers whose prefix cache holds their common prompt.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use state::ServerId;

/// The maximum number of groups.
const MAX_GROUPS: usize = 512;

/// For each group of items, the server that one of them was sent to last.
///
/// Bounded: beyond [`MAX_GROUPS`], the group that was recorded first is evicted.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    servers: HashMap<Arc<str>, ServerId>,
    /// The groups in the order in which they were first recorded. Holds exactly the keys of `servers`.
    insertion_order: VecDeque<Arc<str>>,
}

impl PrefixAffinity {
    /// Returns the server that an item of this group was sent to last.
    pub(crate) fn server(&self, group: &str) -> Option<ServerId> {
        self.servers.get(group).cloned()
    }

    /// Records that an item of this group is sent to a server.
    pub(crate) fn record(&mut self, group: &Arc<str>, server: &ServerId) {
        let is_new = self.servers.insert(Arc::clone(group), Arc::clone(server)).is_none();
        if !is_new {
            return;
        }
        self.insertion_order.push_back(Arc::clone(group));
        if self.insertion_order.len() > MAX_GROUPS {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.servers.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/affinity.rs"]
mod tests;
