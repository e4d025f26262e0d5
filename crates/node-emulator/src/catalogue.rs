//! The catalogue: every server of the fleet, versioned, with a bounded log of its changes.
//!
//! A server stands in a *slot*: a place in a rack that belongs to a service. What replaces it stands in the same slot
//! under a new name. Names are numbers in disguise, so that no hollow node has to keep them.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use bytes::Bytes;
use serde::Serialize;

/// How many there are of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Regions; each has its own agent of discovery.
    pub regions: usize,
    /// Zones over all regions.
    pub zones: usize,
    /// Racks over all zones.
    pub racks: usize,
    /// Services; each has an equal stretch of the slots.
    pub services: usize,
    /// Servers over all services.
    pub servers: usize,
    /// Nodes over all zones.
    pub nodes: usize,
}

impl Size {
    /// The rack of a slot: neighbours stand in different racks, so that a service spreads over all zones.
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

    /// The slots that a rack passes as true.
    pub fn slots(&self, of_rack: impl Fn(usize) -> bool) -> Vec<usize> {
        (0..self.servers).filter(|slot| of_rack(self.rack(*slot))).collect()
    }
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes requests.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is no longer there.
    Left,
}

/// What becomes of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It is answered.
    Up,
    /// The machine says nothing.
    Silent,
    /// No process is there any more.
    Gone,
}

/// A server: past, present, or both in the course of time.
#[derive(Clone, Debug)]
pub struct Server {
    /// Where it stands.
    pub slot: usize,
    /// What discovery says of it.
    pub phase: Phase,
    /// What is true of it.
    pub reach: Reach,
    /// Its listed weight.
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 for long ago.
    pub up_since_ms: u64,
    /// Requests that it holds.
    pub in_flight: u32,
}

/// An answer of discovery and what it holds.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The JSON.
    pub body: Bytes,
    /// Whether it is the complete list.
    pub complete: bool,
    /// How many servers it names.
    pub members: usize,
}

#[derive(Serialize)]
struct List<'a> {
    revision: u64,
    complete: bool,
    members: Vec<Member<'a>>,
}

#[derive(Serialize)]
struct Member<'a> {
    id: String,
    host_port: SocketAddr,
    locality: &'a str,
    flavor: &'static str,
    cell: usize,
    phase: Phase,
    size: f64,
    up_since_ms: u64,
}

/// The name of the only machine kind.
pub const KIND: &str = "m1";

/// The servers, the version of their list, and what changed lately.
pub struct Catalogue {
    size: Size,
    zones: Vec<String>,
    /// Where the servers of each rack listen.
    addresses: Vec<SocketAddr>,
    /// By number.
    servers: Vec<Server>,
    /// The number of the server in each slot.
    slots: Vec<usize>,
    /// When each version came to be; the first is version 1.
    published: Vec<Instant>,
    /// Versions and the numbers of the servers that they changed.
    log: VecDeque<(u64, usize)>,
    log_most: usize,
    /// The latest version whose changes are no longer in the log.
    forgotten: u64,
    complete: Option<Answer>,
    /// Answers since earlier versions, as of the newest.
    changes: HashMap<u64, Answer>,
}

impl Catalogue {
    /// The first version: every slot has a server that started long ago. The log holds at most `log_most` changes.
    #[must_use]
    pub fn new(size: Size, addresses: Vec<SocketAddr>, log_most: usize) -> Self {
        let server = |slot| Server {
            slot,
            phase: Phase::Active,
            reach: Reach::Up,
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
            log_most,
            forgotten: 1,
            complete: None,
            changes: HashMap::new(),
        }
    }

    /// A catalogue whose racks listen nowhere, to measure lists with.
    #[must_use]
    pub fn unheard(size: Size) -> Self {
        let address = |rack: usize| {
            let [.., third, fourth] = (rack as u32).to_be_bytes();
            SocketAddr::from((Ipv4Addr::new(127, 20, third, fourth), 8081))
        };
        Self::new(size, (0..size.racks).map(address).collect(), 1 << 16)
    }

    /// How many there are of each.
    #[must_use]
    pub fn size(&self) -> Size {
        self.size
    }

    /// The newest version.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.published.len() as u64
    }

    /// When a version came to be.
    #[must_use]
    pub fn published(&self, revision: u64) -> Option<Instant> {
        let at = usize::try_from(revision.checked_sub(1)?).ok()?;
        self.published.get(at).copied()
    }

    /// A server by its number.
    pub fn server(&mut self, number: usize) -> Option<&mut Server> {
        self.servers.get_mut(number)
    }

    /// Where a server listens.
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

    /// The numbers of the servers that now stand in these slots.
    #[must_use]
    pub fn numbers(&self, slots: &[usize]) -> Vec<usize> {
        slots.iter().map(|slot| self.slots[*slot]).collect()
    }

    // ---- Changes

    /// Servers begin to drain, or leave: one version.
    pub fn set_phase(&mut self, numbers: &[usize], phase: Phase) {
        for number in numbers {
            let server = &mut self.servers[*number];
            server.phase = phase;
        }
        self.commit(numbers);
    }

    /// Processes end, stop answering or come to be heard again; discovery does not know.
    pub fn set_reach(&mut self, numbers: &[usize], reach: Reach) {
        numbers.iter().for_each(|number| self.servers[*number].reach = reach);
    }

    /// Servers restart under their names: one version.
    pub fn restart(&mut self, numbers: &[usize], up_since_ms: u64) {
        for number in numbers {
            let server = &mut self.servers[*number];
            (server.phase, server.reach, server.up_since_ms) = (Phase::Active, Reach::Up, up_since_ms);
        }
        self.commit(numbers);
    }

    /// New servers come into these slots: one version. Those that stood there stay as they are, in the log.
    pub fn join(&mut self, slots: &[usize], up_since_ms: u64) {
        let first = self.servers.len();
        for slot in slots {
            self.slots[*slot] = self.servers.len();
            self.servers.push(Server {
                slot: *slot,
                phase: Phase::Active,
                reach: Reach::Up,
                weight: 1.0,
                up_since_ms,
                in_flight: 0,
            });
        }
        self.commit(&(first..self.servers.len()).collect::<Vec<_>>());
    }

    /// The configuration of a service changes, here the weight of its servers: one version.
    pub fn weigh(&mut self, service: usize, weight: f64) {
        let slots = 0..self.size.servers;
        let of_service: Vec<_> = slots.filter(|slot| self.size.service(*slot) == service).collect();
        let numbers = self.numbers(&of_service);
        numbers.iter().for_each(|number| self.servers[*number].weight = weight);
        self.commit(&numbers);
    }

    fn commit(&mut self, numbers: &[usize]) {
        self.published.push(Instant::now());
        let revision = self.revision();
        self.log.extend(numbers.iter().map(|number| (revision, *number)));
        while self.log.len() > self.log_most {
            let Some((dropped, _)) = self.log.pop_front() else { break };
            self.forgotten = dropped;
        }
        self.complete = None;
        self.changes.clear();
    }

    // ---- Answers

    /// The complete list: made once for each version.
    pub fn complete(&mut self) -> Answer {
        if let Some(complete) = &self.complete {
            return complete.clone();
        }
        // Those that left stand in no slot, but for machines that are gone and not replaced.
        let mut listed: BTreeSet<usize> = self.slots.iter().copied().collect();
        listed.extend((0..self.servers.len()).filter(|at| self.servers[*at].phase == Phase::Leaving));
        listed.retain(|at| self.servers[*at].phase != Phase::Left);
        let complete = self.answer(true, listed);
        self.complete = Some(complete.clone());
        complete
    }

    /// What changed since a version: the complete list where that is unknown or the log no longer reaches back to it.
    pub fn since(&mut self, revision: u64) -> Answer {
        if revision > self.revision() || revision < self.forgotten {
            return self.complete();
        }
        if let Some(answer) = self.changes.get(&revision) {
            return answer.clone();
        }
        let later = self.log.iter().rev().take_while(|(at, _)| *at > revision);
        let changed = later.map(|(_, number)| *number).collect();
        let answer = self.answer(false, changed);
        self.changes.insert(revision, answer.clone());
        answer
    }

    fn answer(&self, complete: bool, numbers: BTreeSet<usize>) -> Answer {
        let members: Vec<_> = numbers.iter().map(|number| self.member(*number)).collect();
        let count = members.len();
        let list = List { revision: self.revision(), complete, members };
        let body = serde_json::to_vec(&list).expect("plain values").into();
        Answer { body, complete, members: count }
    }

    fn member(&self, number: usize) -> Member<'_> {
        let server = &self.servers[number];
        let rack = self.size.rack(server.slot);
        Member {
            id: name(number),
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
pub fn name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// The number of a server, from its name.
#[must_use]
pub fn number(name: &str) -> Option<usize> {
    usize::from_str_radix(name.strip_prefix("s-")?, 16).ok()
}
