//! Affinity between groups of items and servers. All items of a group have the same prompt. A server that has
//! run one of them has the prompt in its prefix cache.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use state::ServerId;

/// The maximum number of groups that are recorded.
const MAX_GROUPS: usize = 512;

/// Map from each group of items to the server to which its most recent item was sent.
///
/// Beyond [`MAX_GROUPS`], the group that was recorded first is evicted.
#[derive(Debug, Default)]
pub(crate) struct PrefixAffinity {
    servers: HashMap<Arc<str>, ServerId>,
    /// The keys of `servers`, in the order in which they were first recorded.
    insertion_order: VecDeque<Arc<str>>,
}

impl PrefixAffinity {
    /// Returns the server to which the most recent item of a group was sent.
    pub(crate) fn server(&self, group: &str) -> Option<ServerId> {
        self.servers.get(group).cloned()
    }

    /// Records that an item of a group is sent to a server.
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
