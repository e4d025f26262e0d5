//! The servers that read the prompts of groups last.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use state::ServerId;

/// Groups that are remembered.
const GROUPS_MOST: usize = 512;

/// For each group of items the server that one of them went to last: it has read the prompt that they share.
#[derive(Debug, Default)]
pub(crate) struct Favourites {
    servers: HashMap<Arc<str>, ServerId>,
    /// The groups, the oldest first.
    order: VecDeque<Arc<str>>,
}

impl Favourites {
    pub(crate) fn of(&self, group: &str) -> Option<ServerId> {
        self.servers.get(group).cloned()
    }

    pub(crate) fn note(&mut self, group: &Arc<str>, server: &ServerId) {
        let is_new = self.servers.insert(Arc::clone(group), Arc::clone(server)).is_none();
        if !is_new {
            return;
        }
        self.order.push_back(Arc::clone(group));
        if self.order.len() > GROUPS_MOST {
            if let Some(oldest) = self.order.pop_front() {
                self.servers.remove(&oldest);
            }
        }
    }
}
