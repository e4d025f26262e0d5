//! Implements [`Subscriber`] for the node: turns server lists into events for the decision logic.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::yield_now;

use super::{duration, Node};
use crate::net::discovery::{CallError, Subscriber};
use crate::net::list::{ListedMember, ServerList};
use crate::{BalancerEvent, EndpointUpdate, ServerEntry};

/// Maximum number of changes that are applied without yielding. All other tasks wait for some milliseconds
/// while they are applied.
const MAX_CHANGES_AT_ONCE: usize = 2000;

impl Node {
    /// Applies a list to the server directory, and returns the entries for the decision logic. Unchanged
    /// entries were dropped while the list was decoded, so the work is proportional to the changes even if
    /// the list is complete.
    pub(super) fn changes(&self, list: ServerList) -> Vec<ServerEntry> {
        let mut changes = self.update(list.members);
        changes.extend(self.servers.drain_unreadable(&list.unreadable, &self.upstream));
        if list.complete {
            changes.extend(self.servers.remove_unlisted(usize::MAX, &self.upstream));
        }
        changes
    }

    fn update(&self, members: Vec<ListedMember>) -> Vec<ServerEntry> {
        self.servers.update(members, &self.config.names, &self.upstream)
    }

    fn report_changes(self: &Rc<Self>, changes: Vec<ServerEntry>) {
        if !changes.is_empty() {
            self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(changes)));
        }
    }

    /// Removes the servers that a complete list has not named, and yields after each chunk.
    async fn remove_unlisted(self: &Rc<Self>) {
        loop {
            let removed = self.servers.remove_unlisted(MAX_CHANGES_AT_ONCE, &self.upstream);
            let done = removed.len() < MAX_CHANGES_AT_ONCE;
            self.report_changes(removed);
            if done {
                return;
            }
            yield_now().await;
        }
    }
}

impl Subscriber for Node {
    fn update_requested(&self) -> &Notify {
        &self.update_requested
    }

    fn discovery_moved(&self) -> &Notify {
        &self.discovery_moved
    }

    fn discovery_address(&self) -> SocketAddr {
        self.discovery.get()
    }

    fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    fn drain_grace(&self) -> Duration {
        duration(self.config.settings.drain_grace_ms)
    }

    async fn apply_in_chunks(self: &Rc<Self>, mut list: ServerList) {
        let mut members = std::mem::take(&mut list.members).into_iter();
        while members.len() > MAX_CHANGES_AT_ONCE {
            let chunk = members.by_ref().take(MAX_CHANGES_AT_ONCE).collect();
            self.report_changes(self.update(chunk));
            yield_now().await;
        }
        list.members = members.collect();
        if list.complete {
            self.report_changes(self.update(std::mem::take(&mut list.members)));
            self.report_changes(self.servers.drain_unreadable(&list.unreadable, &self.upstream));
            self.remove_unlisted().await;
        }
        self.apply(list);
    }

    fn apply(self: &Rc<Self>, list: ServerList) {
        self.failure_logged.set(false);
        // An entry without an id may be a change of any server. Without a version the next call fetches a
        // complete list, which shows the servers that remain.
        let all_applied = list.complete || list.unreadable.nameless == 0;
        self.revision.set(all_applied.then_some(list.revision));
        if let Some(reason) = &list.unreadable.first {
            let (count, all) = (list.unreadable.count(), list.entries);
            self.log(&format!(
                "skipped {count} of {all} entries of the server list, since they are invalid; the first error: {reason}"
            ));
        }
        let changes = self.changes(list);
        self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Delta(changes)));
    }

    fn unavailable(self: &Rc<Self>) {
        self.handle(BalancerEvent::EndpointsUpdated(EndpointUpdate::Unavailable));
    }

    fn max_list_bytes(&self) -> usize {
        self.config.max_list_bytes
    }

    fn list_started(&self) {
        self.servers.list_started();
    }

    fn is_unchanged(&self, member: &ListedMember) -> bool {
        self.servers.is_unchanged(member, &self.config.names)
    }

    fn spread_position(&self) -> f64 {
        self.spread_position
    }

    fn call_failed(&self, error: &CallError) {
        if !self.failure_logged.replace(true) {
            self.log(&format!("a call to discovery at {} has failed: {error}", self.discovery.get()));
        }
    }
}
