//! The operator's configuration: its form, its checks, changes of it and the matching of requests to routes.
//!
//! The operator sends either a complete document ([`replace`]) or a change of named items ([`patch`]). Both return the
//! text of the new document, which is stored as it is. [`Configuration::parse`] checks such a text and compiles it
//! for matching.
//!
//! The names of fields in JSON belong to the operator; [`ConfigurationError`] uses them.

mod change;
mod compile;
mod configuration;
mod document;
mod error;
mod host;
mod limits;
mod route;
mod service;

pub use change::{patch, replace};
pub use configuration::Configuration;
pub use error::ConfigurationError;
pub use limits::ConfigurationLimits;
pub use route::{Route, RouteKind, Target};
pub use service::{Engine, Service};
