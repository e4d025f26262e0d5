//! Converts server lists of discovery to updates of the `Balancer`.

use balancer::net::list::{ListDecoder, ListError, ListedMember, ServerList};
use balancer::{wire, EndpointUpdate, ServerId};

use crate::catalogue;

/// Decodes a server list of the discovery protocol.
///
/// # Errors
///
/// Fails if `body` is not a valid list.
pub fn read_list(body: &[u8]) -> Result<ServerList, ListError> {
    let mut decoder = ListDecoder::new(usize::MAX);
    decoder.feed(body).and_then(|()| decoder.finish())
}

/// Converts a list to an update. Servers whose names were not made by the emulator are omitted. A server in
/// none of `zones` gets the index after the last zone.
#[must_use]
pub fn endpoint_update(list: &ServerList, zones: &[String]) -> EndpointUpdate {
    let entry = |member: &ListedMember| {
        let server = ServerId(catalogue::server_number(&member.id)?);
        let zone = zones.iter().position(|zone| *zone == member.locality).unwrap_or(zones.len());
        Some(member.to_entry(server, zone, 0, wire::key(&member.id)))
    };
    let entries = list.members.iter().filter_map(entry).collect();
    if list.complete {
        EndpointUpdate::Snapshot(entries)
    } else {
        EndpointUpdate::Delta(entries)
    }
}
