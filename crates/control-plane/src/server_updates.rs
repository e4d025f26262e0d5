//! Updates of the list of servers: whole, or only what changed since a list that the receiver holds.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::{ServerEntry, ServerId, ServerList, ServerListVersion};

/// How many lists are remembered, to tell what changed since.
const LISTS_KEPT: usize = 12;

/// What makes the list that a process holds the newest one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// The newest list.
    Whole(ServerList),
    /// What changed since an earlier list.
    Changes(ServerChanges),
}

/// What changed between two lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// The version of the list that the changes apply to.
    pub base: ServerListVersion,
    /// The version of the list that they lead to.
    pub version: ServerListVersion,
    /// Servers that are new or differ.
    pub changed: Vec<ServerEntry>,
    /// Servers that are gone.
    pub removed: Vec<ServerId>,
}

impl ServerUpdate {
    /// The newest list; `None` where the changes do not apply to the list that is `held`.
    #[must_use]
    pub fn apply(self, held: &ServerList) -> Option<ServerList> {
        match self {
            Self::Whole(list) => Some(list),
            Self::Changes(changes) => (changes.base == held.version).then(|| changes.apply(held)),
        }
    }
}

impl ServerChanges {
    /// What changed from `base` to `newest`.
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

    fn apply(self, held: &ServerList) -> ServerList {
        let is_replaced =
            |id: &ServerId| self.removed.contains(id) || self.changed.iter().any(|new| new.id == *id);
        let kept = held.servers.iter().filter(|server| !is_replaced(&server.id)).cloned();
        let mut servers: Vec<ServerEntry> = kept.collect();
        servers.extend(self.changed);
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        ServerList { version: self.version, servers }
    }
}

fn find<'a>(list: &'a ServerList, id: &ServerId) -> Option<&'a ServerEntry> {
    let at = list.servers.binary_search_by(|server| server.id.cmp(id)).ok()?;
    list.servers.get(at)
}

/// The newest lists that a process has distributed.
#[derive(Debug, Default)]
pub struct RecentLists {
    lists: VecDeque<Arc<ServerList>>,
}

impl RecentLists {
    /// What a process that holds the list of version `held` needs to have `newest`; `None` where it has it.
    pub fn update(&mut self, held: ServerListVersion, newest: &Arc<ServerList>) -> Option<ServerUpdate> {
        self.remember(newest);
        if newest.version <= held {
            return None;
        }
        // Lists that processes read for themselves may differ under the same version.
        let base = self.lists.iter().find(|list| list.version == held && held.local == 0);
        Some(match base {
            Some(base) => ServerUpdate::Changes(ServerChanges::between(base, newest)),
            None => ServerUpdate::Whole((**newest).clone()),
        })
    }

    fn remember(&mut self, newest: &Arc<ServerList>) {
        if self.lists.back().is_some_and(|last| last.version >= newest.version) {
            return;
        }
        self.lists.push_back(Arc::clone(newest));
        if self.lists.len() > LISTS_KEPT {
            self.lists.pop_front();
        }
    }
}
