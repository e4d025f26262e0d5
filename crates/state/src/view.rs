//! The immutable snapshot that a process acts on.

use std::sync::Arc;

use configuration::Configuration;

use crate::{ControlState, ServerList};

/// The newest state that a process has, as one immutable snapshot that is replaced as a unit.
///
/// A newer view never contains an older control state or server list than the one that it replaces.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The committed value of the register.
    pub control: Arc<ControlState>,
    /// The operator's configuration in force, compiled; `None` before the first one.
    pub configuration: Option<Arc<Configuration>>,
    /// The server list.
    pub servers: Arc<ServerList>,
}
