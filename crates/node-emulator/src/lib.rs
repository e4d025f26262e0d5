//! A model of the fleet that the node serves in: a stand-in discovery, hollow servers and hollow nodes on loopback
//! addresses of one process, driven by a scenario; and measures of single quantities against size.
//!
//! Hollow nodes run the project's own decisions ([`balancer::Balancer`]) and its own discovery client
//! ([`balancer::net::discovery`]). What is hollow: clients, the work of the servers, and the node's own sockets to
//! clients. All figures are those of the machine that the emulator runs on.

pub mod build;
pub mod catalogue;
pub mod counters;
pub mod discovery;
pub mod fit;
pub mod node;
pub mod play;
pub mod quantity;
pub mod report;
pub mod scenario;
pub mod server;
pub mod slopes;
pub mod steps;
pub mod traffic;
pub mod usage;
pub mod world;
