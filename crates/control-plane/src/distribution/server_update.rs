//! Updates of the server list: complete, or only the changes since a list that the receiver has.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::{ServerEntry, ServerId, ServerList, ServerListVersion};

/// How many lists are remembered to compute changes from.
const MAX_RECENT_LISTS: usize = 12;

/// Turns the list that a process has into the newest one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// The newest list.
    Complete(ServerList),
    /// The changes since an earlier list.
    Changes(ServerChanges),
}

/// The changes between two lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// The version of the list that the changes apply to.
    pub base: ServerListVersion,
    /// The version of the list that results.
    pub version: ServerListVersion,
    /// Servers that are new or differ.
    pub changed: Vec<ServerEntry>,
    /// Servers that are no longer listed.
    pub removed: Vec<ServerId>,
}

impl ServerUpdate {
    /// The newest list; `None` where the changes do not apply to the `present` list.
    #[must_use]
    pub fn apply(self, present: &ServerList) -> Option<ServerList> {
        match self {
            Self::Complete(list) => Some(list),
            Self::Changes(changes) => (changes.base == present.version).then(|| changes.apply(present)),
        }
    }
}

impl ServerChanges {
    /// The changes from `base` to `newest`.
    #[must_use]
    pub fn between(base: &ServerList, newest: &ServerList) -> Self {
        let changed = newest.servers.iter().filter(|server| find(base, &server.id) != Some(*server));
        let removed = base.servers.iter().filter(|server| find(newest, &server.id).is_none());
        Self {
            base: base.version,
            version: newest.version,
            changed: changed.cloned().collect(),
            removed: removed.map(|server| Arc::clone(&server.id)).collect(),
        }
    }

    fn apply(self, present: &ServerList) -> ServerList {
        let is_replaced =
            |id: &ServerId| self.removed.contains(id) || self.changed.iter().any(|new| new.id == *id);
        let kept = present.servers.iter().filter(|server| !is_replaced(&server.id)).cloned();
        let mut servers: Vec<ServerEntry> = kept.collect();
        servers.extend(self.changed);
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        ServerList { version: self.version, servers }
    }
}

fn find<'a>(list: &'a ServerList, id: &ServerId) -> Option<&'a ServerEntry> {
    let index = list.servers.binary_search_by(|server| server.id.cmp(id)).ok()?;
    list.servers.get(index)
}

/// The latest lists that a process has distributed.
#[derive(Debug, Default)]
pub struct RecentLists {
    lists: VecDeque<Arc<ServerList>>,
}

impl RecentLists {
    /// What a process needs to have `newest`, if it has the list of the version `receiver_version`; `None` where it
    /// needs nothing.
    pub fn update(
        &mut self,
        receiver_version: ServerListVersion,
        newest: &Arc<ServerList>,
    ) -> Option<ServerUpdate> {
        self.remember(newest);
        if newest.version <= receiver_version {
            return None;
        }
        // Lists that processes read for themselves may, though rarely, differ under the same version.
        let is_base =
            |list: &&Arc<ServerList>| list.version == receiver_version && receiver_version.local == 0;
        Some(match self.lists.iter().find(is_base) {
            Some(base) => ServerUpdate::Changes(ServerChanges::between(base, newest)),
            None => ServerUpdate::Complete((**newest).clone()),
        })
    }

    fn remember(&mut self, newest: &Arc<ServerList>) {
        if self.lists.back().is_some_and(|last| last.version >= newest.version) {
            return;
        }
        self.lists.push_back(Arc::clone(newest));
        if self.lists.len() > MAX_RECENT_LISTS {
            self.lists.pop_front();
        }
    }
}
