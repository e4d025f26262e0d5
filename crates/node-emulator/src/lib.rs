//! Emulates the fleet around a traffic node, in one process on loopback addresses: a stand-in discovery
//! service, servers and nodes, driven by a scenario ([`scenario_run`]). It also measures single quantities,
//! such as the memory of a node, against the size of the fleet ([`slopes`]).
//!
//! Emulated nodes run the real load balancer ([`balancer::Balancer`]) and the real discovery client
//! ([`balancer::net::discovery`]). Clients, the work of the servers and the node's sockets to clients are
//! emulated. All measured values depend on the machine that the emulator runs on.

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
