//! Capacity of servers for items of batch jobs, and the criteria that select a server for an item.

use configuration::Target;
use dispatch::{SelectionCriteria, VersionRequirement};

use crate::forwarding::Forwarder;

impl Forwarder {
    /// Returns how many more items the servers of `targets` can accept now. Only servers that run
    /// `oldest_version` of `model` or a newer version count. Ejected servers count as 0.
    #[must_use]
    pub fn free_capacity(&self, targets: &[Target], model: Option<&str>, oldest_version: u64) -> usize {
        let version = VersionRequirement::AtLeast(oldest_version);
        self.selector.free_capacity(&item_criteria(targets, model, version))
    }

    /// Returns how many items the servers of `targets` can accept at the same time, including the requests in
    /// flight. The same versions count as in [`Self::free_capacity`]; ejected servers count as well.
    #[must_use]
    pub fn total_capacity(&self, targets: &[Target], model: Option<&str>, oldest_version: u64) -> usize {
        let version = VersionRequirement::AtLeast(oldest_version);
        self.selector.total_capacity(&item_criteria(targets, model, version))
    }
}

/// Builds the criteria that select the server of an item. An item is only sent to a server with free
/// capacity. The time to set up a connection is irrelevant for items, so idle connections are ignored.
pub(super) fn item_criteria<'a>(
    targets: &'a [Target],
    model: Option<&'a str>,
    version: VersionRequirement,
) -> SelectionCriteria<'a> {
    SelectionCriteria {
        targets,
        model,
        version,
        attempted: &[],
        prefix_cache_server: None,
        requires_free_capacity: true,
        max_idle_connection_age: None,
    }
}
