//! Emulates the fleet that the node serves in: a stand-in discovery service, servers and nodes on loopback addresses
//! of one process, driven by a scenario ([`scenario_run`]); and measures single quantities against size ([`slopes`]).
//!
//! Emulated nodes run the project's own decisions ([`balancer::Balancer`]) and its own discovery client
//! ([`balancer::net::discovery`]). Clients, the work of the servers and the node's sockets to clients are emulated.
//! All measured values are those of the machine that the emulator runs on.

pub mod build;
pub mod catalogue;
pub mod counters;
pub mod discovery;
pub mod fit;
pub mod node;
pub mod quantity;
pub mod report;
pub mod scenario;
pub mod scenario_run;
pub mod server;
pub mod slopes;
pub mod steps;
pub mod traffic;
pub mod usage;
pub mod world;
