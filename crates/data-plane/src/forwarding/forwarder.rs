//! The forwarder, by which a process sends requests to servers.

use std::sync::Arc;

use configuration::Configuration;
use state::View;
use tokio::sync::watch;

use crate::selection::ServerSelector;

/// Forwards requests to servers. Clones share connections, load, health and budgets.
#[derive(Clone)]
pub struct Forwarder {
    pub(crate) selector: ServerSelector,
}

impl Forwarder {
    /// Creates a forwarder in this zone, which always acts on the newest view.
    #[must_use]
    pub fn new(view: watch::Receiver<Arc<View>>, zone: Arc<str>) -> Self {
        Self { selector: ServerSelector::new(view, zone) }
    }

    /// The configuration in force; `None` until the control plane has supplied one.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.selector.configuration()
    }
}
