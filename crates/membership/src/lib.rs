//! Placement by rendezvous hashing, and failure detection by heartbeats.
//!
//! - [`rendezvous_score`] assigns batch jobs to replica groups, and orders the stores of each group; the
//!   store plane calls it.
//! - [`rendezvous`] ranks members for a key, [`monitors`] and [`monitored_by`] distribute the monitoring of
//!   peers evenly over the members, and [`Detector`] suspects peers whose heartbeats are missing. No service
//!   of this workspace calls them at present.
//!
//! This crate does no I/O and reads no clock.

mod detector;
mod hash;
mod placement;

pub use detector::{Detector, DetectorTiming};
pub use hash::{hash, rendezvous_score};
pub use placement::{monitored_by, monitors, rendezvous};
