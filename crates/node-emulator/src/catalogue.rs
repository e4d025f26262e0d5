//! The catalogue of the stand-in discovery service: all servers of the fleet, the version of their list, and
//! a bounded log of the changes.
//!
//! A server occupies a *slot*: a position in a rack that belongs to a service. A replacement occupies the
//! same slot under a new name and number. The number of a server is its index in the catalogue. Names encode
//! the numbers, so that emulated nodes do not have to store names.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;

/// The number of regions, zones, racks, services, servers and nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Number of regions; each has a discovery agent.
    pub regions: usize,
    /// Number of zones in all regions together.
    pub zones: usize,
    /// Number of racks in all zones together.
    pub racks: usize,
    /// Number of services; each has a contiguous range of the slots, of equal length up to rounding.
    pub services: usize,
    /// Number of servers in all services together, which is the number of slots.
    pub servers: usize,
    /// Number of nodes in all zones together.
    pub nodes: usize,
}

impl Size {
    /// Returns the rack of a slot. Consecutive slots are in different racks, so that the servers of a service
    /// are distributed over all zones.
    #[must_use]
    pub fn rack(&self, slot: usize) -> usize {
        slot % self.racks
    }

    /// Returns the service that a slot belongs to.
    #[must_use]
    pub fn service(&self, slot: usize) -> usize {
        slot * self.services / self.servers
    }

    /// Returns the zone of a rack. Called with the number of a node, it returns the zone of that node.
    #[must_use]
    pub fn zone(&self, rack: usize) -> usize {
        rack % self.zones
    }

    /// Returns the region that a zone belongs to.
    #[must_use]
    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions
    }

    /// Returns the slots in the racks for which `of_rack` returns true.
    pub fn slots(&self, of_rack: impl Fn(usize) -> bool) -> Vec<usize> {
        (0..self.servers).filter(|slot| of_rack(self.rack(*slot))).collect()
    }
}

/// The state of a server in the list of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The server accepts requests.
    Active,
    /// The server drains: it completes the requests in flight and is to receive no new ones.
    Leaving,
    /// The server has been removed from the list.
    Left,
}

/// Whether and how a server responds to requests. This is independent of the state that discovery lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The server responds.
    Up,
    /// The machine does not respond: the request stays open until the client gives up.
    Unresponsive,
    /// The process of the server has ended. Status 410 represents the refused connection.
    Terminated,
}

/// A server that is or was in the fleet.
#[derive(Clone, Debug)]
pub struct Server {
    /// The slot that the server occupies, or occupied before its replacement.
    pub slot: usize,
    /// The state of the server in the server list.
    pub phase: Phase,
    /// Whether the server responds. The list does not show this.
    pub reachability: Reachability,
    /// The listed weight, relative to a new server with 1.0.
    pub weight: f64,
    /// Time of the last start, as Unix time in milliseconds; 0 if the server ran before the emulation began.
    pub up_since_ms: u64,
    /// Number of requests in flight at the server.
    pub in_flight: u32,
}

/// A response of discovery: a complete list, or the changes since a version.
#[derive(Clone, Debug)]
pub struct ListResponse {
    /// The encoded list, as JSON.
    pub body: Bytes,
    /// Whether `body` is the complete list, not only changes.
    pub complete: bool,
    /// The number of servers in `body`.
    pub members: usize,
}

#[derive(Serialize)]
struct ListBody<'a> {
    revision: u64,
    complete: bool,
    members: Vec<MemberBody<'a>>,
}

#[derive(Serialize)]
struct MemberBody<'a> {
    id: String,
    host_port: SocketAddr,
    locality: &'a str,
    flavor: &'static str,
    cell: usize,
    phase: Phase,
    size: f64,
    up_since_ms: u64,
}

/// The name of the machine type that all emulated servers have.
pub const KIND: &str = "m1";

/// All servers, the version of their list, and the log of its latest changes.
pub struct Catalogue {
    size: Size,
    zones: Vec<String>,
    /// The address that all servers of a rack share, by rack.
    addresses: Vec<SocketAddr>,
    /// All servers by number. Servers that left stay here, so that numbers are never reused.
    servers: Vec<Server>,
    /// The number of the server that occupies each slot, by slot.
    slots: Vec<usize>,
    /// The time of publication of each version. Version 1 is at index 0.
    published: Vec<Instant>,
    /// Pairs of a version and the number of a server that changed in it, oldest first.
    log: VecDeque<(u64, usize)>,
    max_log_entries: usize,
    /// The latest version of which some change is no longer in the log. Changes can be sent since this
    /// version or a later one; for earlier versions the complete list is sent.
    last_truncated_revision: u64,
    /// The complete list of the newest version; `None` until the first request for it.
    complete: Option<ListResponse>,
    /// Encoded changes up to the newest version, by the version since which they were requested.
    changes: HashMap<u64, ListResponse>,
}

impl Catalogue {
    /// Creates a catalogue at version 1, in which every slot is occupied by a server that started before the
    /// emulation. The log retains at most `max_log_entries` changes.
    #[must_use]
    pub fn new(size: Size, addresses: Vec<SocketAddr>, max_log_entries: usize) -> Self {
        let server = |slot| Server {
            slot,
            phase: Phase::Active,
            reachability: Reachability::Up,
            weight: 1.0,
            up_since_ms: 0,
            in_flight: 0,
        };
        Self {
            size,
            zones: zone_names(size),
            addresses,
            servers: (0..size.servers).map(server).collect(),
            slots: (0..size.servers).collect(),
            published: vec![Instant::now()],
            log: VecDeque::new(),
            max_log_entries,
            last_truncated_revision: 1,
            complete: None,
            changes: HashMap::new(),
        }
    }

    /// Creates a catalogue whose addresses have no listeners, for measurements of lists whose servers are
    /// never called.
    #[must_use]
    pub fn without_listeners(size: Size) -> Self {
        let address = |rack: usize| {
            let [.., third, fourth] = (rack as u32).to_be_bytes();
            SocketAddr::from((Ipv4Addr::new(127, 20, third, fourth), 8081))
        };
        Self::new(size, (0..size.racks).map(address).collect(), 1 << 16)
    }

    /// Returns the sizes of the fleet that the catalogue was created for.
    #[must_use]
    pub fn size(&self) -> Size {
        self.size
    }

    /// Returns the newest version; the first one is 1.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.published.len() as u64
    }

    /// Returns the time of publication of a version; `None` if it has not been published.
    #[must_use]
    pub fn published_at(&self, revision: u64) -> Option<Instant> {
        let index = usize::try_from(revision.checked_sub(1)?).ok()?;
        self.published.get(index).copied()
    }

    /// Returns a server by its number, even if it has left; `None` if no server has had the number.
    pub fn server(&mut self, number: usize) -> Option<&mut Server> {
        self.servers.get_mut(number)
    }

    /// Returns the address of a server by number, which is the address of its rack.
    #[must_use]
    pub fn address(&self, number: usize) -> Option<SocketAddr> {
        self.servers.get(number).map(|server| self.addresses[self.size.rack(server.slot)])
    }

    /// Returns the region of a server by number.
    #[must_use]
    pub fn region(&self, number: usize) -> Option<usize> {
        let rack = self.size.rack(self.servers.get(number)?.slot);
        Some(self.size.region(self.size.zone(rack)))
    }

    /// Returns the numbers of the servers that currently occupy `slots`.
    #[must_use]
    pub fn servers_in(&self, slots: &[usize]) -> Vec<usize> {
        slots.iter().map(|slot| self.slots[*slot]).collect()
    }

    /// Changes the listed state of servers and publishes one new version.
    pub fn set_phase(&mut self, numbers: &[usize], phase: Phase) {
        for number in numbers {
            let server = &mut self.servers[*number];
            server.phase = phase;
        }
        self.publish(numbers);
    }

    /// Sets whether servers respond. The list and its version do not change.
    pub fn set_reachability(&mut self, numbers: &[usize], reachability: Reachability) {
        numbers.iter().for_each(|number| self.servers[*number].reachability = reachability);
    }

    /// Restarts servers under their old names and publishes one new version in which they are active.
    pub fn restart(&mut self, numbers: &[usize], up_since_ms: u64) {
        for number in numbers {
            let server = &mut self.servers[*number];
            (server.phase, server.reachability, server.up_since_ms) =
                (Phase::Active, Reachability::Up, up_since_ms);
        }
        self.publish(numbers);
    }

    /// Adds new servers in `slots` and publishes one new version. The servers that occupied the slots keep
    /// their state.
    pub fn join(&mut self, slots: &[usize], up_since_ms: u64) {
        let first = self.servers.len();
        for slot in slots {
            self.slots[*slot] = self.servers.len();
            self.servers.push(Server {
                slot: *slot,
                phase: Phase::Active,
                reachability: Reachability::Up,
                weight: 1.0,
                up_since_ms,
                in_flight: 0,
            });
        }
        self.publish(&(first..self.servers.len()).collect::<Vec<_>>());
    }

    /// Sets the weight of all servers of a service and publishes one new version. Changes of the weight
    /// represent changes of the configuration.
    pub fn set_service_weight(&mut self, service: usize, weight: f64) {
        let slots = 0..self.size.servers;
        let of_service: Vec<_> = slots.filter(|slot| self.size.service(*slot) == service).collect();
        let numbers = self.servers_in(&of_service);
        numbers.iter().for_each(|number| self.servers[*number].weight = weight);
        self.publish(&numbers);
    }

    /// Publishes a new version in which `numbers` changed, and discards the encoded responses.
    fn publish(&mut self, numbers: &[usize]) {
        self.published.push(Instant::now());
        let revision = self.revision();
        self.log.extend(numbers.iter().map(|number| (revision, *number)));
        while self.log.len() > self.max_log_entries {
            let Some((revision, _)) = self.log.pop_front() else { break };
            self.last_truncated_revision = revision;
        }
        self.complete = None;
        self.changes.clear();
    }

    /// Returns the complete list of the newest version. It is encoded once for each version.
    pub fn complete_list(&mut self) -> ListResponse {
        if let Some(complete) = &self.complete {
            return complete.clone();
        }
        // The servers that occupy the slots, and draining servers that were replaced. Servers that left
        // without a replacement, such as those of failed machines, still occupy their slots and are filtered
        // out.
        let mut listed: BTreeSet<usize> = self.slots.iter().copied().collect();
        listed.extend((0..self.servers.len()).filter(|number| self.servers[*number].phase == Phase::Leaving));
        listed.retain(|number| self.servers[*number].phase != Phase::Left);
        let complete = self.encode(true, listed);
        self.complete = Some(complete.clone());
        complete
    }

    /// Returns the servers that changed since a version, each in its current state. Returns the complete list
    /// if the version is unknown or the log no longer has all later changes.
    pub fn changes_since(&mut self, revision: u64) -> ListResponse {
        if revision > self.revision() || revision < self.last_truncated_revision {
            return self.complete_list();
        }
        if let Some(response) = self.changes.get(&revision) {
            return response.clone();
        }
        let later_changes = self.log.iter().rev().take_while(|(changed_in, _)| *changed_in > revision);
        let changed = later_changes.map(|(_, number)| *number).collect();
        let response = self.encode(false, changed);
        self.changes.insert(revision, response.clone());
        response
    }

    /// Encodes the servers in `numbers` as a list of the newest version.
    fn encode(&self, complete: bool, numbers: BTreeSet<usize>) -> ListResponse {
        let members: Vec<_> = numbers.iter().map(|number| self.member(*number)).collect();
        let count = members.len();
        let list = ListBody { revision: self.revision(), complete, members };
        let body = serde_json::to_vec(&list).expect("the list has only serializable values").into();
        ListResponse { body, complete, members: count }
    }

    /// Returns the entry of a server in the list.
    fn member(&self, number: usize) -> MemberBody<'_> {
        let server = &self.servers[number];
        let rack = self.size.rack(server.slot);
        MemberBody {
            id: server_name(number),
            host_port: self.addresses[rack],
            locality: &self.zones[self.size.zone(rack)],
            flavor: KIND,
            cell: rack,
            phase: server.phase,
            size: server.weight,
            up_since_ms: server.up_since_ms,
        }
    }
}

/// Returns the names of all zones, by index.
#[must_use]
pub fn zone_names(size: Size) -> Vec<String> {
    (0..size.zones).map(|zone| format!("region{}-zone{zone}", size.region(zone))).collect()
}

/// Returns the name of the server with this number.
#[must_use]
pub fn server_name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Returns the number of the server with this name; `None` if the name was not made by [`server_name`].
#[must_use]
pub fn server_number(name: &str) -> Option<usize> {
    usize::from_str_radix(name.strip_prefix("s-")?, 16).ok()
}
