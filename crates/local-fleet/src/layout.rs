//! Where everything listens: one loopback address for each machine, the same ports on all.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Ports that are free for what processes say to each other.
pub const INTERNAL_PORTS: (u16, u16) = (7660, 7675);
/// Clients and trainers.
const FRONT_PORT: u16 = 8144;
/// Readiness.
const READY_PORT: u16 = 8140;
/// The operator.
const CONTROL_PORT: u16 = 8146;
/// The list of servers.
const PLATFORM_PORT: u16 = 8142;
/// Servers.
const SERVER_PORT: u16 = 8080;

/// Last parts of addresses begin here.
const NODES_FROM: u8 = 1;
const STORES_FROM: u8 = 64;
const PLATFORM_AT: u8 = 128;
const PLAIN_FROM: u8 = 130;
const ENGINES_FROM: u8 = 160;

/// Machines of a kind that fit into the layout.
pub const MACHINES_MOST: u8 = 24;
/// Nodes that have a disk.
const NODES_WITH_DISK: u8 = 3;
/// Zones of the fleet.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The region of all zones.
pub const REGION: &str = "loopback";

/// The addresses of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The third part of all addresses; fleets with different ones can run side by side.
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
    fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, 10, self.subnet, last).into()
    }

    /// The address of a node, counted from 0.
    #[must_use]
    pub fn node_ip(&self, node: u8) -> IpAddr {
        self.ip(NODES_FROM + node)
    }

    /// The address of a store.
    #[must_use]
    pub fn store_ip(&self, store: u8) -> IpAddr {
        self.ip(STORES_FROM + store)
    }

    /// Where a node serves clients.
    #[must_use]
    pub fn front(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), FRONT_PORT).into()
    }

    /// Where a node tells whether it is ready.
    #[must_use]
    pub fn ready(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), READY_PORT).into()
    }

    /// Where a node serves the operator.
    #[must_use]
    pub fn control(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), CONTROL_PORT).into()
    }

    /// Where the operator finds nodes at first.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.nodes_with_disk()).map(|node| self.control(node)).collect()
    }

    /// The platform.
    #[must_use]
    pub fn platform(&self) -> SocketAddr {
        (self.ip(PLATFORM_AT), PLATFORM_PORT).into()
    }

    /// A plain server.
    #[must_use]
    pub fn plain_server(&self, server: u8) -> SocketAddr {
        (self.ip(PLAIN_FROM + server), SERVER_PORT).into()
    }

    /// An engine.
    #[must_use]
    pub fn engine(&self, engine: u8) -> SocketAddr {
        (self.ip(ENGINES_FROM + engine), SERVER_PORT).into()
    }

    /// The first so many nodes have a disk.
    #[must_use]
    pub fn nodes_with_disk(&self) -> u8 {
        self.nodes.min(NODES_WITH_DISK)
    }

    /// How many of the nodes with a disk, and how many stores, may be lost at once.
    #[must_use]
    pub fn machines_lost(&self) -> u8 {
        (self.nodes_with_disk().min(self.stores).max(1) - 1) / 2
    }

    /// The zone of the machine with this number of its kind.
    #[must_use]
    pub fn zone(&self, number: u8) -> &'static str {
        ZONES[usize::from(number) % ZONES.len()]
    }
}
