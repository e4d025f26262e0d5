//! Lists of discovery as the decisions take them.

use balancer::net::list::{ListDecoder, ListError, ListedMember, ServerList};
use balancer::{wire, EndpointUpdate, ServerId};

use crate::catalogue::{self};

/// A list of the protocol, from its JSON.
///
/// # Errors
///
/// Where it is none.
pub fn read_list(body: &[u8]) -> Result<ServerList, ListError> {
    let mut decoder = ListDecoder::new(usize::MAX);
    decoder.feed(body).and_then(|()| decoder.finish())
}

/// A list as the decisions take it.
#[must_use]
pub fn endpoint_update(list: &ServerList, zones: &[String]) -> EndpointUpdate {
    let entry = |member: &ListedMember| {
        let server = ServerId(catalogue::number(&member.id)?);
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
