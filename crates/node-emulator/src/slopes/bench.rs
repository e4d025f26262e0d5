//! The measurements of one run, and what they share.

use std::rc::Rc;

use balancer::net::node::Node;
use balancer::Balancer;

use super::decisions::tenant_start;
use super::discovery_cost::{change_bytes, make_list};
use super::memory::MEMORY_GUESSED;
use super::model::{fleet, SERVERS_A_SERVICE};
use super::{point, Point, SlopesError};
use crate::catalogue::Catalogue;
use crate::quantity::Quantity;
use crate::traffic::Sums;
use crate::world::World;

/// A state that is kept until all memory is measured.
pub(super) enum State {
    Balancer(#[allow(dead_code, reason = "held for its memory")] Box<Balancer>),
    Node(#[allow(dead_code, reason = "held for its memory")] Rc<Node>),
}

pub(super) struct Bench {
    pub(super) seed: u64,
    pub(super) memory_seen: usize,
    pub(super) traffic: Sums,
    pub(super) states: Vec<State>,
}

/// Bytes that the decisions take for each server, and a margin for what comes and goes. What a process measures after
/// it has freed memory is too low: to be called first.
///
/// # Errors
///
/// Where the decisions do not take the list.
pub fn bytes_per_server() -> Result<u64, SlopesError> {
    const SERVERS: usize = 2_000;
    const MARGIN: f64 = 1.15;
    let mut bench = Bench::new(1, MEMORY_GUESSED);
    let bytes = bench.balancer_memory(SERVERS)? / SERVERS as f64;
    Ok((bytes * MARGIN).ceil() as u64)
}

impl Bench {
    pub(super) fn new(seed: u64, memory_seen: usize) -> Self {
        Self { seed, memory_seen, traffic: Sums::default(), states: Vec::new() }
    }

    pub(super) fn point(
        &mut self,
        quantity: Quantity,
        size: usize,
        repeats: usize,
    ) -> Result<Point, SlopesError> {
        let values = match quantity {
            Quantity::TenantMemory => vec![self.tenant_memory(size)?],
            Quantity::BalancerMemory => vec![self.balancer_memory(size)?],
            Quantity::NodeMemory => vec![self.node_memory(size)?],
            Quantity::TenantStart => tenant_start(size, repeats)?,
            Quantity::NodeStart => self.node_start(size, repeats)?,
            Quantity::WholeList => self.snapshot(size, repeats)?,
            Quantity::OneChange => self.one_change(size, repeats)?,
            Quantity::Request => self.request(size, repeats)?,
            Quantity::ListBytes => vec![Catalogue::unheard(fleet(size)).complete().body.len() as f64],
            Quantity::ChangeBytes => vec![change_bytes(size)],
            Quantity::ReadList => self.read_list(size, repeats)?.into_iter().map(|(cpu, _)| cpu).collect(),
            Quantity::ReadListTime => {
                self.read_list(size, repeats)?.into_iter().map(|(_, time)| time).collect()
            }
            Quantity::MakeList => make_list(size, repeats),
            Quantity::ServeList => self.serve_list(size, repeats)?,
            Quantity::ServeChange => {
                self.serve_change(size, repeats)?.into_iter().map(|(cpu, _)| cpu).collect()
            }
            Quantity::ServeChangeBytes => {
                self.serve_change(size, repeats)?.into_iter().map(|(_, bytes)| bytes).collect()
            }
            Quantity::Connections => vec![self.connections(1, size)?],
            Quantity::ServiceConnections => vec![self.connections(size, SERVERS_A_SERVICE)?],
        };
        Ok(point(size, values))
    }

    pub(super) fn count(&mut self, world: &World) {
        let sums = world.discovery.sums();
        self.traffic.received_bytes += sums.received_bytes;
        self.traffic.sent_bytes += sums.sent_bytes;
        self.traffic.messages += sums.messages;
        self.traffic.connections += sums.connections;
    }
}
