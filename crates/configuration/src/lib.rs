//! The operator's configuration: types, checks, patches and route matching.
//!
//! The operator sends a whole document ([`replace`]) or a change of named items ([`patch`]). Both give the text
//! of the document that is to be stored, in the operator's own words. [`Configuration::parse`] checks such a
//! text and compiles it for matching.

mod change;
mod compile;
mod document;
mod error;
mod host;
mod route;
mod service;

pub use change::{patch, replace};
pub use compile::Configuration;
pub use error::ConfigurationError;
pub use route::{Route, RouteKind, Target};
pub use service::{ConfigurationLimits, Engine, Service};
