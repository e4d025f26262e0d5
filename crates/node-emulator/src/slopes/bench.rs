//! Dispatches each quantity to the function that measures it, and owns the state that the measurements of a
//! run share.

use std::rc::Rc;

use balancer::net::node::Node;
use balancer::Balancer;

use super::decisions::tenant_start;
use super::discovery_cost::{change_bytes, make_list};
use super::memory::ROUGH_MEMORY_SAMPLE_BYTES;
use super::model::{fleet_size, SERVERS_PER_SERVICE};
use super::{new_point, Point, SlopesError};
use crate::catalogue::Catalogue;
use crate::quantity::Quantity;
use crate::traffic::TrafficTotals;
use crate::world::World;

/// An object whose memory was measured. It is retained until all memory is measured. Otherwise its freed
/// memory would be reused, and the growth of the process would be too low.
pub(super) enum RetainedState {
    Balancer(#[allow(dead_code, reason = "retained for its memory")] Box<Balancer>),
    Node(#[allow(dead_code, reason = "retained for its memory")] Rc<Node>),
}

/// State that the measurements of one run share.
pub(super) struct Bench {
    pub(super) seed: u64,
    /// Total memory in bytes of the objects that are built to measure the mean memory of one.
    pub(super) memory_sample_bytes: usize,
    /// Traffic of discovery since the start of the measurements of the current quantity.
    pub(super) traffic: TrafficTotals,
    /// All objects that memory was measured with.
    pub(super) retained_states: Vec<RetainedState>,
}

/// Measures the memory of a `Balancer` for each server, in bytes, with a margin for temporary objects. Must
/// be called before the process has freed memory: that would be reused, and the result would be too low.
///
/// # Errors
///
/// Fails if the list cannot be decoded or the `Balancer` cannot be created.
pub fn bytes_per_server() -> Result<u64, SlopesError> {
    const SERVERS: usize = 2_000;
    const MARGIN: f64 = 1.15;
    let mut bench = Bench::new(1, ROUGH_MEMORY_SAMPLE_BYTES);
    let bytes = bench.balancer_memory(SERVERS)? / SERVERS as f64;
    Ok((bytes * MARGIN).ceil() as u64)
}

impl Bench {
    pub(super) fn new(seed: u64, memory_sample_bytes: usize) -> Self {
        Self { seed, memory_sample_bytes, traffic: TrafficTotals::default(), retained_states: Vec::new() }
    }

    /// Measures a quantity at one size. A time is measured at least `repeats` times, unless the discovery
    /// client fails to read the list.
    pub(super) fn measure_point(
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
            Quantity::CompleteList => self.snapshot(size, repeats)?,
            Quantity::OneChange => self.one_change(size, repeats)?,
            Quantity::Request => self.request(size, repeats)?,
            Quantity::ListBytes => {
                vec![Catalogue::without_listeners(fleet_size(size)).complete_list().body.len() as f64]
            }
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
            Quantity::ServiceConnections => vec![self.connections(size, SERVERS_PER_SERVICE)?],
        };
        Ok(new_point(size, values))
    }

    /// Adds the traffic of a discovery service that is no longer used.
    pub(super) fn add_traffic(&mut self, world: &World) {
        let totals = world.discovery.totals();
        self.traffic.received_bytes += totals.received_bytes;
        self.traffic.sent_bytes += totals.sent_bytes;
        self.traffic.messages += totals.messages;
        self.traffic.connections += totals.connections;
    }
}
