//! The system under test: its processes with their addresses, settings and configuration, and faults to
//! inject.

mod configuration_file;
mod error;
mod fault;
mod fleet;
mod layout;
mod process;
mod settings_file;
mod timing_rules;

pub use configuration_file::{
    ClientLimits, ConfigurationFile, ConfigurationPatch, Names, RouteEntry, RouteRemovals, RouteUpdates,
    ServiceEntry,
};
pub use error::FleetError;
pub use fault::{ParseProcessFaultError, ProcessFault, ProcessFaultKind};
pub use fleet::Fleet;
pub use layout::{Layout, MAX_MACHINES_PER_KIND};
pub use settings_file::{MachineClass, SettingsFile, PLATFORM_CALLS_PER_SECOND, PLATFORM_LAG};
pub use timing_rules::TimingRules;
