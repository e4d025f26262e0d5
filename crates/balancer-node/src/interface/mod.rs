//! Interface of the decision logic: its settings, events and actions.
//!
//! All times are in milliseconds. Events carry durations only; the time of an event is a separate argument of
//! [`Balancer::handle`](crate::Balancer::handle).

mod endpoints;
mod events;
mod settings;

pub use endpoints::*;
pub use events::*;
pub use settings::*;
