//! The catalogue: every server of the fleet, versioned, with a bounded log of its changes.
//!
//! A server occupies a *slot*: a position in a rack that belongs to a service. A replacement occupies the same slot
//! under a new name. Names encode the servers' numbers (indices), so that no emulated node has to store them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;

/// The number of regions, zones, racks, services, servers and nodes of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Regions; each has its own agent of discovery.
    pub regions: usize,
    /// Zones over all regions.
    pub zones: usize,
    /// Racks over all zones.
    pub racks: usize,
    /// Services; each has an equal range of the slots.
    pub services: usize,
    /// Servers over all services.
    pub servers: usize,
    /// Nodes over all zones.
    pub nodes: usize,
}

impl Size {
    /// The rack of a slot: neighbouring slots are in different racks, so that a service spreads over all zones.
    #[must_use]
    pub fn rack(&self, slot: usize) -> usize {
        slot % self.racks
    }

    /// The service of a slot.
    #[must_use]
    pub fn service(&self, slot: usize) -> usize {
        slot * self.services / self.servers
    }

    /// The zone of a rack; of a node as well, by its number.
    #[must_use]
    pub fn zone(&self, rack: usize) -> usize {
        rack % self.zones
    }

    /// The region of a zone.
    #[must_use]
    pub fn region(&self, zone: usize) -> usize {
        zone % self.regions
    }

    /// The slots in the racks for which `of_rack` is true.
    pub fn slots(&self, of_rack: impl Fn(usize) -> bool) -> Vec<usize> {
        (0..self.servers).filter(|slot| of_rack(self.rack(*slot))).collect()
    }
}

/// The state in which discovery lists a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes requests.
    Active,
    /// It drains: it finishes its requests in flight and takes no new ones.
    Leaving,
    /// It is off the list.
    Left,
}

/// What happens to a request to a server, whatever discovery lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It is answered.
    Up,
    /// The machine does not respond: the request stays open until the client gives up.
    Unresponsive,
    /// The process has ended: the connection is refused, which status 410 stands for.
    Terminated,
}

/// A server that is or was in the fleet.
#[derive(Clone, Debug)]
pub struct Server {
    /// The slot that it occupies.
    pub slot: usize,
    /// The state in which discovery lists it.
    pub phase: Phase,
    /// Whether it responds; discovery may not know.
    pub reachability: Reachability,
    /// Its listed weight.
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 where it ran before the emulation began.
    pub up_since_ms: u64,
    /// Requests in flight at it.
    pub in_flight: u32,
}

/// A response of discovery: a complete list, or the changes since a version.
#[derive(Clone, Debug)]
pub struct ListResponse {
    /// The list as JSON.
    pub body: Bytes,
    /// Whether it is the complete list.
    pub complete: bool,
    /// The number of servers in it.
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

/// The name of the only kind of machine.
pub const KIND: &str = "m1";

/// All servers, the version of their list, and its latest changes.
pub struct Catalogue {
    size: Size,
    zones: Vec<String>,
    /// The address of the servers of each rack, by rack.
    addresses: Vec<SocketAddr>,
    /// By number; a server that left keeps its number.
    servers: Vec<Server>,
    /// The number of the server in each slot, by slot.
    slots: Vec<usize>,
    /// When each version was published; the first is version 1, at index 0.
    published: Vec<Instant>,
    /// Versions and the numbers of the servers that they changed, oldest first.
    log: VecDeque<(u64, usize)>,
    max_log_entries: usize,
    /// The latest version of which some change is no longer in the log; changes are answered from there on only.
    last_truncated_revision: u64,
    /// The complete list of the newest version, once it was asked for.
    complete: Option<ListResponse>,
    /// Changes since earlier versions up to the newest, by earlier version.
    changes: HashMap<u64, ListResponse>,
}

impl Catalogue {
    /// The first version: every slot has a server that started long ago. The log holds at most `log_most` changes.
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

    /// A catalogue whose racks have addresses without listeners, to measure lists with.
    #[must_use]
    pub fn without_listeners(size: Size) -> Self {
        let address = |rack: usize| {
            let [.., third, fourth] = (rack as u32).to_be_bytes();
            SocketAddr::from((Ipv4Addr::new(127, 20, third, fourth), 8081))
        };
        Self::new(size, (0..size.racks).map(address).collect(), 1 << 16)
    }

    /// The sizes of the fleet.
    #[must_use]
    pub fn size(&self) -> Size {
        self.size
    }

    /// The newest version.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.published.len() as u64
    }

    /// When a version was published; `None` for one that was not.
    #[must_use]
    pub fn published_at(&self, revision: u64) -> Option<Instant> {
        let index = usize::try_from(revision.checked_sub(1)?).ok()?;
        self.published.get(index).copied()
    }

    /// A server by its number.
    pub fn server(&mut self, number: usize) -> Option<&mut Server> {
        self.servers.get_mut(number)
    }

    /// The address of a server.
    #[must_use]
    pub fn address(&self, number: usize) -> Option<SocketAddr> {
        self.servers.get(number).map(|server| self.addresses[self.size.rack(server.slot)])
    }

    /// The region of a server.
    #[must_use]
    pub fn region(&self, number: usize) -> Option<usize> {
        let rack = self.size.rack(self.servers.get(number)?.slot);
        Some(self.size.region(self.size.zone(rack)))
    }

    /// The numbers of the servers that now occupy these slots.
    #[must_use]
    pub fn servers_in(&self, slots: &[usize]) -> Vec<usize> {
        slots.iter().map(|slot| self.slots[*slot]).collect()
    }

    // ---- Changes

    /// Changes the listed state of servers, in one new version.
    pub fn set_phase(&mut self, numbers: &[usize], phase: Phase) {
        for number in numbers {
            let server = &mut self.servers[*number];
            server.phase = phase;
        }
        self.publish(numbers);
    }

    /// Sets whether servers respond; the list does not change.
    pub fn set_reachability(&mut self, numbers: &[usize], reachability: Reachability) {
        numbers.iter().for_each(|number| self.servers[*number].reachability = reachability);
    }

    /// Restarts servers under their names, in one new version.
    pub fn restart(&mut self, numbers: &[usize], up_since_ms: u64) {
        for number in numbers {
            let server = &mut self.servers[*number];
            (server.phase, server.reachability, server.up_since_ms) =
                (Phase::Active, Reachability::Up, up_since_ms);
        }
        self.publish(numbers);
    }

    /// Adds new servers in these slots, in one new version. The servers that occupied them keep their state.
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

    /// Changes the configuration of a service, here the weight of its servers, in one new version.
    pub fn set_service_weight(&mut self, service: usize, weight: f64) {
        let slots = 0..self.size.servers;
        let of_service: Vec<_> = slots.filter(|slot| self.size.service(*slot) == service).collect();
        let numbers = self.servers_in(&of_service);
        numbers.iter().for_each(|number| self.servers[*number].weight = weight);
        self.publish(&numbers);
    }

    /// Publishes a new version in which these servers changed.
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

    // ---- Responses

    /// The complete list; encoded once for each version.
    pub fn complete_list(&mut self) -> ListResponse {
        if let Some(complete) = &self.complete {
            return complete.clone();
        }
        // Servers that left occupy no slot, except those of failed machines that were not replaced.
        let mut listed: BTreeSet<usize> = self.slots.iter().copied().collect();
        listed.extend((0..self.servers.len()).filter(|number| self.servers[*number].phase == Phase::Leaving));
        listed.retain(|number| self.servers[*number].phase != Phase::Left);
        let complete = self.encode(true, listed);
        self.complete = Some(complete.clone());
        complete
    }

    /// What changed since a version: the complete list where that is unknown or the log no longer reaches back to it.
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

    fn encode(&self, complete: bool, numbers: BTreeSet<usize>) -> ListResponse {
        let members: Vec<_> = numbers.iter().map(|number| self.member(*number)).collect();
        let count = members.len();
        let list = ListBody { revision: self.revision(), complete, members };
        let body = serde_json::to_vec(&list).expect("plain values").into();
        ListResponse { body, complete, members: count }
    }

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

/// The names of all zones, in order.
#[must_use]
pub fn zone_names(size: Size) -> Vec<String> {
    (0..size.zones).map(|zone| format!("region{}-zone{zone}", size.region(zone))).collect()
}

/// The name of a server.
#[must_use]
pub fn server_name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// The number of a server, from its name.
#[must_use]
pub fn server_number(name: &str) -> Option<usize> {
    usize::from_str_radix(name.strip_prefix("s-")?, 16).ok()
}
