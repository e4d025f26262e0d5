//! The addresses of a fleet: one loopback address for each machine, with the same ports on all machines of a
//! kind.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// First and last port for calls between the processes of the system.
pub const INTERNAL_PORTS: (u16, u16) = (7660, 7675);
/// Port at which nodes serve clients and trainers.
const CLIENT_PORT: u16 = 8144;
/// Port at which nodes answer readiness checks.
const READINESS_PORT: u16 = 8140;
/// Port at which nodes serve the operator; also the port of the seeds.
const OPERATOR_PORT: u16 = 8146;
/// Port at which the platform serves the list of servers.
const PLATFORM_PORT: u16 = 8142;
/// Port of plain servers and engines.
const SERVER_PORT: u16 = 8080;

/// Last octet of the first node's address. Further machines of each kind have the addresses that follow.
const FIRST_NODE_OCTET: u8 = 1;
/// Last octet of the first store's address.
const FIRST_STORE_OCTET: u8 = 64;
/// Last octet of the platform's address.
const PLATFORM_OCTET: u8 = 128;
/// Last octet of the first plain server's address.
const FIRST_PLAIN_SERVER_OCTET: u8 = 130;
/// Last octet of the first engine's address.
const FIRST_ENGINE_OCTET: u8 = 160;

/// Maximum number of machines of one kind, so that the address ranges of the kinds do not overlap.
pub const MAX_MACHINES_PER_KIND: u8 = 24;
/// Maximum number of nodes with a disk.
const MAX_NODES_WITH_DISK: u8 = 3;
/// Names of the fleet's zones, over which the machines of each kind are distributed in rotation.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Name of the region that contains all zones.
pub const REGION: &str = "loopback";

/// The number of machines of each kind in a fleet, and their addresses `127.10.SUBNET.x`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Third octet of all addresses; fleets in different subnets can run at the same time.
    pub subnet: u8,
    /// Number of traffic nodes.
    pub nodes: u8,
    /// Number of stores.
    pub stores: u8,
    /// Number of plain servers.
    pub plain_servers: u8,
    /// Number of engines.
    pub engines: u8,
}

impl Layout {
    fn ip(&self, last_octet: u8) -> IpAddr {
        Ipv4Addr::new(127, 10, self.subnet, last_octet).into()
    }

    /// Returns the IP address of a node, counted from 0.
    #[must_use]
    pub fn node_ip(&self, node: u8) -> IpAddr {
        self.ip(FIRST_NODE_OCTET + node)
    }

    /// Returns the IP address of a store, counted from 0.
    #[must_use]
    pub fn store_ip(&self, store: u8) -> IpAddr {
        self.ip(FIRST_STORE_OCTET + store)
    }

    /// Returns the address at which a node, counted from 0, serves clients and trainers.
    #[must_use]
    pub fn client_address(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), CLIENT_PORT).into()
    }

    /// Returns the address at which a node, counted from 0, answers readiness checks.
    #[must_use]
    pub fn readiness_address(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), READINESS_PORT).into()
    }

    /// Returns the address at which a node, counted from 0, serves the operator.
    #[must_use]
    pub fn operator_address(&self, node: u8) -> SocketAddr {
        (self.node_ip(node), OPERATOR_PORT).into()
    }

    /// Returns the addresses that the settings name as seeds: the operator addresses of the nodes with a
    /// disk.
    #[must_use]
    pub fn seeds(&self) -> Vec<SocketAddr> {
        (0..self.nodes_with_disk()).map(|node| self.operator_address(node)).collect()
    }

    /// Returns the address at which the platform serves the list of servers.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        (self.ip(PLATFORM_OCTET), PLATFORM_PORT).into()
    }

    /// Returns the address of a plain server, counted from 0.
    #[must_use]
    pub fn plain_server_address(&self, server: u8) -> SocketAddr {
        (self.ip(FIRST_PLAIN_SERVER_OCTET + server), SERVER_PORT).into()
    }

    /// Returns the address of an engine, counted from 0.
    #[must_use]
    pub fn engine_address(&self, engine: u8) -> SocketAddr {
        (self.ip(FIRST_ENGINE_OCTET + engine), SERVER_PORT).into()
    }

    /// Returns the number of nodes with a disk; the nodes with the lowest numbers have one.
    #[must_use]
    pub fn nodes_with_disk(&self) -> u8 {
        self.nodes.min(MAX_NODES_WITH_DISK)
    }

    /// Returns the number of nodes with a disk that may fail at the same time, and also of stores, so that a
    /// majority of the machines of each kind remains.
    #[must_use]
    pub fn tolerated_failures(&self) -> u8 {
        (self.nodes_with_disk().min(self.stores).max(1) - 1) / 2
    }

    /// Returns the zone of the machine with this number, counted from 0 among the machines of its kind.
    #[must_use]
    pub fn zone(&self, number: u8) -> &'static str {
        ZONES[usize::from(number) % ZONES.len()]
    }
}
