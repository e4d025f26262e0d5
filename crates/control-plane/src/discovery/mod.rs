//! Discovery: how a process finds the acceptors of the register and the servers that the platform lists.
//!
//! This module owns [`BootstrapAnnouncements`] and [`AcceptorGossip`], which contain what other processes
//! have sent by internal calls, and [`ListReader`], the only reader of the platform's list. [`Bootstrap`]
//! runs only at the first start of a system. After that, [`StoreMembership`] keeps a store machine
//! registered.

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
