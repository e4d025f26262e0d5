//! Immutable snapshot of control state and server list on which a process acts.

use std::sync::Arc;

use configuration::Configuration;

use crate::{ControlState, ServerList};

/// Newest state that a process has, as one immutable snapshot that is replaced as a unit.
///
/// A newer view never contains an older control state or server list than the one that it replaces.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Newest committed value of the register that this process has received.
    pub control: Arc<ControlState>,
    /// Operator's configuration in force, in compiled form; `None` until this process has received one.
    pub configuration: Option<Arc<Configuration>>,
    /// Newest list of model servers; empty until this process has received or read one.
    pub servers: Arc<ServerList>,
}
