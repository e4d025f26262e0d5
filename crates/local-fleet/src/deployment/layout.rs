//! The addresses of a fleet: one loopback address for each machine, the same ports on all.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The range of ports for internal calls between processes.
pub const INTERNAL_PORTS: (u16, u16) = (7660, 7675);
/// The port for clients and trainers.
const CLIENT_PORT: u16 = 8144;
/// The port for readiness checks.
const READINESS_PORT: u16 = 8140;
/// The port for the operator.
const OPERATOR_PORT: u16 = 8146;
/// The port of the platform's server list.
const PLATFORM_PORT: u16 = 8142;
/// The port of plain servers and engines.
const SERVER_PORT: u16 = 8080;

/// The last octet of the first machine of each kind.
const FIRST_NODE_OCTET: u8 = 1;
const FIRST_STORE_OCTET: u8 = 64;
const PLATFORM_OCTET: u8 = 128;
const FIRST_PLAIN_SERVER_OCTET: u8 = 130;
const FIRST_ENGINE_OCTET: u8 = 160;

/// Machines of one kind that fit into the layout.
pub const MAX_MACHINES_PER_KIND: u8 = 24;
/// The first nodes have a disk; this many at most.
const MAX_NODES_WITH_DISK: u8 = 3;
/// Zones of the fleet.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The region of all zones.
pub const REGION: &str = "loopback";

/// The addresses of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The third octet of all addresses; fleets with different ones can run side by side.
    pub subnet: u8,
    /// Traffic nodes.
    pub nodes: u8,
    /// Stores.
    pub stores: u8,
    /// Plain servers.
    pub plain_servers: u8,
    /// Engine servers.
    pub engines: u8,
}

impl Layout {
    fn ip(&self, last_octet: u8) -> IpAddr {
        Ipv4Addr::new(127, 10, self.subnet, last_octet).into()
    }

    /// The address of a node, counted from 0.
    #[must_use]
    pub fn node_ip(&self, node: u8) -> IpAddr {
        self.ip(FIRST_NODE_OCTET + node)
    }

    /// The address of a store, counted from 0.
    #[must_use]
    pub fn store_ip(&self, store: u8) -> IpAddr {
        self.ip(FIRST_STORE_OCTET + store)
    }

    /// Where a node serves clients.
    #[must_use]
    pub fn client_address(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), CLIENT_PORT).into()
    }

    /// Where a node answers readiness checks.
    #[must_use]
    pub fn readiness_address(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), READINESS_PORT).into()
    }

    /// Where a node serves the operator.
    #[must_use]
    pub fn operator_address(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), OPERATOR_PORT).into()
    }

    /// The nodes that settings name as seeds, by the operator's address.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.nodes_with_disk()).map(|node| self.operator_address(node)).collect()
    }

    /// The address of the platform.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        (self.ip(PLATFORM_OCTET), PLATFORM_PORT).into()
    }

    /// The address of a plain server, counted from 0.
    #[must_use]
    pub fn plain_server_address(&self, server: u8) -> SocketAddr {
        (self.ip(FIRST_PLAIN_SERVER_OCTET + server), SERVER_PORT).into()
    }

    /// The address of an engine, counted from 0.
    #[must_use]
    pub fn engine_address(&self, engine: u8) -> SocketAddr {
        (self.ip(FIRST_ENGINE_OCTET + engine), SERVER_PORT).into()
    }

    /// How many nodes have a disk; these are the first ones.
    #[must_use]
    pub fn nodes_with_disk(&self) -> u8 {
        self.nodes.min(MAX_NODES_WITH_DISK)
    }

    /// How many of the nodes with a disk, and how many stores, may fail at once.
    #[must_use]
    pub fn tolerated_failures(&self) -> u8 {
        (self.nodes_with_disk().min(self.stores).max(1) - 1) / 2
    }

    /// The zone of the machine with this number of its kind.
    #[must_use]
    pub fn zone(&self, number: u8) -> &'static str {
        ZONES[usize::from(number) % ZONES.len()]
    }
}
