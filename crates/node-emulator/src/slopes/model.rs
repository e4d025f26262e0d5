//! The fleets of a given size that are measured, and the configuration of their nodes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use balancer::net::config::{Config, SettingNames};
use balancer::net::list::ServerList;
use balancer::{Balancer, DecisionSettings, EndpointUpdate, Idempotency, RequestClass, ServerEntry};

use super::SlopesError;
use crate::catalogue::{zone_names, Catalogue, Size, KIND};
use crate::node::{endpoint_update, read_list};

/// The nodes of the full-size fleet; smaller fleets have three nodes for two servers, as those of the bench do.
pub(super) const MAX_NODES: usize = 2_000;

/// Servers of a service, on average.
pub(super) const SERVERS_PER_SERVICE: usize = 32;

/// A fleet of so many servers of a single service, its other sizes in proportion.
pub(super) fn fleet_size(servers: usize) -> Size {
    let zones = 10.min(servers);
    Size {
        regions: 4.min(zones),
        zones,
        racks: (servers / 50).max(zones),
        services: (servers / SERVERS_PER_SERVICE).max(1),
        servers,
        nodes: node_count(servers),
    }
}

pub(super) fn node_count(servers: usize) -> usize {
    (servers * 3 / 2).clamp(1, MAX_NODES)
}

pub(super) fn decision_settings(nodes: usize) -> DecisionSettings {
    let mut settings = DecisionSettings::new(vec![RequestClass::new(80.0, 400.0, Idempotency::Safe)]);
    settings.nodes = nodes;
    settings
}

pub(super) fn decode_list(body: &[u8]) -> Result<ServerList, SlopesError> {
    read_list(body).map_err(|error| SlopesError::Failed(format!("a list: {error}")))
}

pub(super) fn server_entries(catalogue: &mut Catalogue) -> Result<Vec<ServerEntry>, SlopesError> {
    let list = decode_list(&catalogue.complete_list().body)?;
    match endpoint_update(&list, &zone_names(catalogue.size())) {
        EndpointUpdate::Snapshot(entries) => Ok(entries),
        _ => Err(SlopesError::Failed("the whole list is not whole".into())),
    }
}

pub(super) fn new_balancer(nodes: usize, seed: u64) -> Result<Balancer, SlopesError> {
    Balancer::new(decision_settings(nodes), seed).map_err(|error| SlopesError::Failed(error.to_string()))
}

/// A real node's configuration, whose addresses have no listeners.
pub(super) fn node_config(size: Size, seed: u64, initial_list: ServerList) -> Config {
    let unused_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let names = SettingNames {
        classes: vec!["all".into()],
        tenants: Vec::new(),
        zones: zone_names(size),
        kinds: vec![KIND.into()],
    };
    Config {
        name: "hollow".into(),
        listen: unused_address,
        discovery: unused_address,
        seed,
        max_sockets: 1024,
        max_list_bytes: 48 << 20,
        initial_list,
        settings: decision_settings(size.nodes),
        names,
        idle_timeout: Duration::from_secs(60),
        dial_timeout: Duration::from_millis(400),
        max_pending: usize::MAX,
    }
}
