//! The snapshot that a process acts on.

use std::sync::Arc;

use configuration::Configuration;

use crate::{ControlState, ServerList};

/// What a process knows, as one immutable snapshot that is swapped whole.
///
/// A newer view never holds an older control state or list than the one that it replaces.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The committed value of the register.
    pub control: Arc<ControlState>,
    /// The operator's configuration in force, compiled; `None` before the first.
    pub configuration: Option<Arc<Configuration>>,
    /// The list of servers.
    pub servers: Arc<ServerList>,
}
