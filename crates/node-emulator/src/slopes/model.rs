//! Creates the fleets that quantities are measured with, and the configuration of their nodes.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use balancer::net::config::{Config, SettingNames};
use balancer::net::list::ServerList;
use balancer::{Balancer, DecisionSettings, EndpointUpdate, Idempotency, RequestClass, ServerEntry};

use super::SlopesError;
use crate::catalogue::{zone_names, Catalogue, Size, KIND};
use crate::node::{endpoint_update, read_list};

/// Number of nodes of the full-size fleet. Smaller fleets have three nodes for every two servers.
pub(super) const MAX_NODES: usize = 2_000;

/// Average number of servers of a service.
pub(super) const SERVERS_PER_SERVICE: usize = 32;

/// Returns the sizes of a fleet with this number of servers. Racks and services grow in proportion to it.
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

/// Returns the number of nodes of a fleet with this number of servers.
pub(super) fn node_count(servers: usize) -> usize {
    (servers * 3 / 2).clamp(1, MAX_NODES)
}

/// Returns the settings of a `Balancer` in a fleet of this number of nodes, with a single class of idempotent
/// requests.
pub(super) fn decision_settings(nodes: usize) -> DecisionSettings {
    let mut settings = DecisionSettings::new(vec![RequestClass::new(80.0, 400.0, Idempotency::Safe)]);
    settings.nodes = nodes;
    settings
}

/// Decodes a server list.
pub(super) fn decode_list(body: &[u8]) -> Result<ServerList, SlopesError> {
    read_list(body)
        .map_err(|error| SlopesError::Failed(format!("the server list cannot be decoded: {error}")))
}

/// Returns the complete list of a catalogue, as entries of the `Balancer`.
pub(super) fn server_entries(catalogue: &mut Catalogue) -> Result<Vec<ServerEntry>, SlopesError> {
    let list = decode_list(&catalogue.complete_list().body)?;
    match endpoint_update(&list, &zone_names(catalogue.size())) {
        EndpointUpdate::Snapshot(entries) => Ok(entries),
        _ => Err(SlopesError::Failed("the catalogue returned an incomplete list".into())),
    }
}

/// Creates a `Balancer` without servers.
pub(super) fn new_balancer(nodes: usize, seed: u64) -> Result<Balancer, SlopesError> {
    Balancer::new(decision_settings(nodes), seed).map_err(|error| SlopesError::Failed(error.to_string()))
}

/// Returns the configuration of a real node. None of its addresses has a listener.
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
