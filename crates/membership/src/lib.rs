//! Placement by rendezvous hashing, and failure detection by heartbeats.
//!
//! - [`rendezvous_score`] orders the replicas of batch jobs; the store plane calls it.
//! - [`rendezvous`] ranks members for a key, [`monitors`] and [`monitored_by`] spread the work of monitoring peers, and
//!   [`Detector`] suspects peers whose heartbeats are missing. No service of this workspace calls them at present.
//!
//! Nothing here does I/O or reads a clock.

mod detector;
mod hash;
mod placement;

pub use detector::{Detector, DetectorTiming};
pub use hash::{hash, rendezvous_score};
pub use placement::{monitored_by, monitors, rendezvous};
