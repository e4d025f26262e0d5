//! Who exists, and who monitors whom, by rendezvous hashing.
//!
//! [`rendezvous`] ranks members for a key (copies of batch jobs by their [`rendezvous_score`]), [`monitors`] and [`monitored_by`] spread the work of watching, and
//! [`Detector`] judges silence. Nothing here does I/O or reads a clock.

mod detector;
mod hash;
mod placement;

pub use detector::{Detector, Timing};
pub use hash::{hash, rendezvous_score};
pub use placement::{monitored_by, monitors, rendezvous};
