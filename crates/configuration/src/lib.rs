//! The operator's configuration: the JSON document, its checks and changes, and the matching of requests to
//! routes.
//!
//! The operator sends either a complete document ([`replace`]) or a change of named items ([`patch`]). Both
//! functions return the text of the new document, which is stored unchanged. [`Configuration::parse`] checks
//! such a text and compiles it for matching.
//!
//! The operator defines the names of the JSON fields. [`ConfigurationError`] uses these names. The comments
//! of the fields of [`Route`], [`Target`], [`Service`], [`Engine`] and [`ConfigurationLimits`] begin with
//! them.

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
