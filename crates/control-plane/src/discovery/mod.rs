//! How a process finds the others: the acceptors of the register, and the servers that the platform lists.
//!
//! Owns [`BootstrapAnnouncements`] and [`AcceptorGossip`], which internal calls of other processes write, and the
//! reading of the platform's list, which [`ListReader`] alone adopts into the view. [`Bootstrap`] runs only at the first
//! start of a system; [`StoreMembership`] keeps a store machine registered afterwards.

mod acceptor_gossip;
mod bootstrap;
mod gossip_schedule;
mod list_reader;
mod platform;
mod store_membership;

pub(crate) use acceptor_gossip::send_gossip;
pub use acceptor_gossip::{AcceptorGossip, GossipMessage, GossipSender};
pub use bootstrap::{Announcement, Bootstrap, BootstrapAnnouncements, Capability};
pub use list_reader::ListReader;
pub use platform::{ListSource, Platform, PlatformError};
pub use store_membership::StoreMembership;
