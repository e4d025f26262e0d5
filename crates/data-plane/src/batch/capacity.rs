//! Capacity of servers for items, and the criteria by which a server is selected for one.

use configuration::Target;
use dispatch::{SelectionCriteria, VersionRequirement};

use crate::forwarding::Forwarder;

impl Forwarder {
    /// How many more items the servers of these services can take that have this version or a newer one.
    #[must_use]
    pub fn free_capacity(&self, targets: &[Target], model: Option<&str>, oldest_version: u64) -> usize {
        let version = VersionRequirement::AtLeast(oldest_version);
        self.selector.free_capacity(&item_criteria(targets, model, version))
    }

    /// How many items those servers take at once in total, including the requests that they run now.
    #[must_use]
    pub fn total_capacity(&self, targets: &[Target], model: Option<&str>, oldest_version: u64) -> usize {
        let version = VersionRequirement::AtLeast(oldest_version);
        self.selector.total_capacity(&item_criteria(targets, model, version))
    }
}

/// The criteria for the server of an item. Items wait for free capacity, and the time to set up a connection doesn't
/// matter to them.
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
