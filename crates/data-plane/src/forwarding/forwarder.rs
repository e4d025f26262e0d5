//! The forwarder, through which a process sends all of its requests to servers.

use std::sync::Arc;

use configuration::Configuration;
use state::View;
use tokio::sync::watch;

use crate::selection::ServerSelector;

/// Forwarder of requests to servers. Clones share the connections, the load and health of the servers, and
/// the hedge budget.
#[derive(Clone)]
pub struct Forwarder {
    pub(crate) selector: ServerSelector,
}

impl Forwarder {
    /// Creates a forwarder for a process in `zone`. It uses the server list and configuration of the newest
    /// view in the channel.
    #[must_use]
    pub fn new(view: watch::Receiver<Arc<View>>, zone: Arc<str>) -> Self {
        Self { selector: ServerSelector::new(view, zone) }
    }

    /// Returns the configuration in force; `None` until the control plane has supplied one.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.selector.configuration()
    }
}
