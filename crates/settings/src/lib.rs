//! The settings file of a process: its fields, their defaults and their checks.
//!
//! The platform writes the file as TOML and puts its path into the environment variable [`PATH_VARIABLE`]. A
//! process reads the file at its start and again on SIGHUP ([`NodeSettings::from_env`]). Unknown fields are
//! ignored, so that the platform may add fields at any time, and each optional field has a default.
//!
//! The platform defines the field names of the file; the Rust names follow the terms of the code that uses
//! them.

mod error;
mod fault_tolerance;
mod listen_addresses;
mod node_settings;
mod parse;
mod platform_list;
mod resource_limits;
mod timing_rules;

pub use error::SettingsError;
pub use fault_tolerance::FaultTolerance;
pub use listen_addresses::ListenAddresses;
pub use node_settings::{NodeSettings, PATH_VARIABLE};
pub use platform_list::PlatformListSettings;
pub use resource_limits::ResourceLimits;
pub use timing_rules::TimingRules;
