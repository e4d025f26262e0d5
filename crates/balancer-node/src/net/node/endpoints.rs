//! The directory of listed servers: assigns their ids in the decision logic, and finds what a new list
//! changes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::net::config::SettingNames;
use crate::net::list::{ListedMember, UnreadableEntries};
use crate::net::upstream::Upstream;
use crate::{wire, Availability, ServerEntry, ServerId};

/// A server as described by the last list that named it.
struct ListedServer {
    entry: ServerEntry,
    address: SocketAddr,
    /// Number of the last list that named the server, as counted by [`ServerDirectory::list_started`].
    named_in: u64,
}

/// The listed servers. Methods that apply parts of a list return the changed entries for the decision logic,
/// and update the connections in [`Upstream`] accordingly.
#[derive(Default)]
pub(super) struct ServerDirectory {
    /// Keyed by the id in the list.
    servers: RefCell<HashMap<String, ListedServer>>,
    /// The last [`ServerId`] that was assigned. Ids are never reused, since an attempt at a removed server
    /// may end late.
    last_server: Cell<usize>,
    /// Number of lists that have begun to arrive, including the present one.
    lists: Cell<u64>,
}

impl ServerDirectory {
    /// Records that a list begins to arrive. Must be called before its entries are applied.
    pub(super) fn list_started(&self) {
        self.lists.set(self.lists.get() + 1);
    }

    /// Marks a server as named by the present list, and returns whether its description is unchanged.
    pub(super) fn is_unchanged(&self, member: &ListedMember, names: &SettingNames) -> bool {
        let mut servers = self.servers.borrow_mut();
        let Some(listed) = servers.get_mut(&member.id) else { return false };
        listed.named_in = self.lists.get();
        listed.address == member.host_port
            && listed.entry == entry(member, listed.entry.server, listed.entry.key, names)
    }

    /// Applies entries of a list, and assigns ids to new servers.
    pub(super) fn update(
        &self,
        members: Vec<ListedMember>,
        names: &SettingNames,
        upstream: &Upstream,
    ) -> Vec<ServerEntry> {
        let mut servers = self.servers.borrow_mut();
        let mut changes = Vec::with_capacity(members.len());
        for member in members {
            let next = ServerId(self.last_server.get() + 1);
            let listed_id = servers.get(&member.id).map(|listed| listed.entry.server);
            let entry = entry(&member, listed_id.unwrap_or(next), wire::key(&member.id), names);
            if entry.availability == Availability::Removed {
                let removed = servers.remove(&member.id);
                changes.extend(removed.map(|server| remove(&server.entry, upstream)));
                continue;
            }
            self.last_server.set(self.last_server.get().max(entry.server.0));
            let (address, ready) = (member.host_port, entry.availability == Availability::Ready);
            upstream.update(entry.server, address, entry.started_at, ready);
            let named_in = self.lists.get();
            servers.insert(member.id, ListedServer { entry: entry.clone(), address, named_in });
            changes.push(entry);
        }
        changes
    }

    /// Applies unreadable entries. Whether such a server is ready is unknown, so it is treated as draining.
    pub(super) fn drain_unreadable(
        &self,
        unreadable: &UnreadableEntries,
        upstream: &Upstream,
    ) -> Vec<ServerEntry> {
        let mut servers = self.servers.borrow_mut();
        let mut changes = Vec::new();
        for id in &unreadable.ids {
            let Some(listed) = servers.get_mut(id) else { continue };
            listed.named_in = self.lists.get();
            if listed.entry.availability == Availability::Ready {
                listed.entry.availability = Availability::Draining;
                upstream.update(listed.entry.server, listed.address, listed.entry.started_at, false);
                changes.push(listed.entry.clone());
            }
        }
        changes
    }

    /// Removes at most `max` of the servers that a complete list has not named.
    pub(super) fn remove_unlisted(&self, max: usize, upstream: &Upstream) -> Vec<ServerEntry> {
        let mut changes = Vec::new();
        self.servers.borrow_mut().retain(|_, server| {
            let is_kept = server.named_in == self.lists.get() || changes.len() >= max;
            if !is_kept {
                changes.push(remove(&server.entry, upstream));
            }
            is_kept
        });
        changes
    }
}

/// Returns the decision logic's entry for a listed server. A zone or machine kind that the settings do not
/// name gets the index after the last one.
fn entry(member: &ListedMember, server: ServerId, key: u64, names: &SettingNames) -> ServerEntry {
    let index = |names: &[String], name: &String| names.iter().position(|n| n == name).unwrap_or(names.len());
    let zone = index(&names.zones, &member.locality);
    member.to_entry(server, zone, index(&names.kinds, &member.flavor), key)
}

fn remove(entry: &ServerEntry, upstream: &Upstream) -> ServerEntry {
    upstream.remove(entry.server);
    ServerEntry { availability: Availability::Removed, ..entry.clone() }
}
