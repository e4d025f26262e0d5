//! Updates of the server list: the complete list, or only the changes since a list that the receiver has.
//!
//! Most changes are versions that servers have loaded, because a rollout changes every server. These are sent
//! as a few bytes per server instead of complete entries.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use state::{ServerEntry, ServerId, ServerList, ServerListVersion};

/// Number of recent lists that are kept to compute changes from: the lists of the last 6 s during a rollout.
/// Lists share the entries in which they do not differ, so each list takes only 8 bytes per server.
const MAX_RECENT_LISTS: usize = 40;

/// Update from the server list that a process has to the newest one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// Complete newest list.
    Complete(Arc<ServerList>),
    /// Changes since an earlier list of a leader.
    Changes(Arc<ServerChanges>),
}

/// Changes between two server lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Version of the list that the changes apply to.
    pub base: ServerListVersion,
    /// Version of the list after the changes.
    pub version: ServerListVersion,
    /// Servers that are new or differ in more than model versions, in the order of their ids.
    pub changed: Vec<Arc<ServerEntry>>,
    /// Servers that are no longer listed, in the order of their ids.
    pub removed: Vec<ServerId>,
    /// New model versions of the servers that differ only in model versions.
    pub versions: Vec<VersionChange>,
}

/// New version of one model at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionChange {
    /// Position of the server in the list that the changes apply to.
    pub server: u32,
    /// Position of the model among the models of the server, in the order of their names.
    pub model: u32,
    /// Version of the model that the server has in the newer list.
    pub version: u64,
}

impl ServerUpdate {
    /// Applies the update to the list `base` and returns the newest list, or `None` if the changes do not
    /// apply to `base`.
    #[must_use]
    pub fn apply(&self, base: &ServerList) -> Option<Arc<ServerList>> {
        match self {
            Self::Complete(list) => Some(Arc::clone(list)),
            Self::Changes(changes) if changes.base == base.version => changes.apply(base).map(Arc::new),
            Self::Changes(_) => None,
        }
    }
}

impl ServerChanges {
    /// Computes the changes from `base` to `newest`. The servers of both lists are in the order of their ids.
    #[must_use]
    pub fn between(base: &ServerList, newest: &ServerList) -> Self {
        let mut changes = Self {
            base: base.version,
            version: newest.version,
            changed: Vec::new(),
            removed: Vec::new(),
            versions: Vec::new(),
        };
        let mut earlier = base.servers.iter().enumerate().peekable();
        for server in &newest.servers {
            while let Some((_, removed)) = earlier.next_if(|(_, earlier)| earlier.id < server.id) {
                changes.removed.push(Arc::clone(&removed.id));
            }
            match earlier.next_if(|(_, earlier)| earlier.id == server.id) {
                Some((position, earlier)) => changes.record_difference(position, earlier, server),
                None => changes.changed.push(Arc::clone(server)),
            }
        }
        changes.removed.extend(earlier.map(|(_, removed)| Arc::clone(&removed.id)));
        changes
    }

    fn record_difference(&mut self, position: usize, earlier: &Arc<ServerEntry>, newer: &Arc<ServerEntry>) {
        if Arc::ptr_eq(earlier, newer) || earlier == newer {
            return;
        }
        if !newer.differs_in_versions_only(earlier) {
            self.changed.push(Arc::clone(newer));
            return;
        }
        let server = u32::try_from(position).unwrap_or(u32::MAX);
        let models = (0_u32..).zip(earlier.models.values().zip(newer.models.values()));
        let changed_versions = models.filter(|(_, (before, after))| before != after);
        self.versions.extend(changed_versions.map(|(model, (_, version))| VersionChange {
            server,
            model,
            version: *version,
        }));
    }

    /// Returns the list after the changes, or `None` if a new model version refers to a server or a model
    /// that is not in `base`.
    fn apply(&self, base: &ServerList) -> Option<ServerList> {
        let mut servers = base.servers.clone();
        for change in &self.versions {
            let server = servers.get_mut(usize::try_from(change.server).ok()?)?;
            let model = usize::try_from(change.model).ok()?;
            *Arc::make_mut(server).models.values_mut().nth(model)? = change.version;
        }
        if !self.changed.is_empty() || !self.removed.is_empty() {
            servers = self.merge_changed(servers);
        }
        Some(ServerList { version: self.version, servers })
    }

    /// Merges the changed servers into `servers` and omits the removed ones. All three lists are in the order
    /// of the servers' ids.
    fn merge_changed(&self, servers: Vec<Arc<ServerEntry>>) -> Vec<Arc<ServerEntry>> {
        let mut merged = Vec::with_capacity(servers.len() + self.changed.len());
        let mut changed = self.changed.iter().cloned().peekable();
        let mut removed = self.removed.iter().peekable();
        for server in servers {
            while let Some(new) = changed.next_if(|new| new.id < server.id) {
                merged.push(new);
            }
            let is_removed = removed.next_if(|removed| **removed == server.id).is_some();
            match changed.next_if(|new| new.id.cmp(&server.id) == Ordering::Equal) {
                Some(new) => merged.push(new),
                None if is_removed => {}
                None => merged.push(server),
            }
        }
        merged.extend(changed);
        merged
    }
}

/// List that was distributed, and the changes from it to the newest list. The changes are computed when a
/// receiver first needs them.
#[derive(Debug)]
struct RecentList {
    list: Arc<ServerList>,
    changes: Option<Arc<ServerChanges>>,
}

impl RecentList {
    fn changes_to(&mut self, newest: &ServerList) -> Arc<ServerChanges> {
        match &self.changes {
            Some(known) if known.version == newest.version => Arc::clone(known),
            _ => {
                let changes = Arc::new(ServerChanges::between(&self.list, newest));
                self.changes = Some(Arc::clone(&changes));
                changes
            }
        }
    }
}

/// Latest server lists that a process has distributed, from which changes are computed.
#[derive(Debug, Default)]
pub struct RecentLists {
    lists: VecDeque<RecentList>,
}

impl RecentLists {
    /// Returns the update to `newest` for a process that has a list with the version `receiver_version`, and
    /// a list of a leader with the version `receiver_base`, to which changes may apply. Returns `None` if
    /// `newest` is not newer.
    pub fn update(
        &mut self,
        receiver_version: ServerListVersion,
        receiver_base: ServerListVersion,
        newest: &Arc<ServerList>,
    ) -> Option<ServerUpdate> {
        self.record_list(newest);
        if newest.version <= receiver_version {
            return None;
        }
        // Lists that processes have read themselves can, in rare cases, differ although they have the same
        // version, so changes are computed only from lists of a leader.
        let is_base =
            |recent: &&mut RecentList| recent.list.version == receiver_base && receiver_base.local == 0;
        Some(match self.lists.iter_mut().find(is_base) {
            Some(base) => ServerUpdate::Changes(base.changes_to(newest)),
            None => ServerUpdate::Complete(Arc::clone(newest)),
        })
    }

    fn record_list(&mut self, newest: &Arc<ServerList>) {
        if self.lists.back().is_some_and(|last| last.list.version >= newest.version) {
            return;
        }
        self.lists.push_back(RecentList { list: Arc::clone(newest), changes: None });
        if self.lists.len() > MAX_RECENT_LISTS {
            self.lists.pop_front();
        }
    }
}
