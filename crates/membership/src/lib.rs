//! Placement by rendezvous hashing, and failure detection by heartbeats.
//!
//! - [`rendezvous_score`] orders the replicas of batch jobs; the store plane calls it.
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
